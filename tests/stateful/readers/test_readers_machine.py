"""Slow readers give way to nobody who reads: random lives, and faults that they catch."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from notcharch.http import peer_buffers
from notcharch.http.peer_buffers import PeerBuffers, peers_to_cut
from tests.stateful.readers.readers_machine import Connection, ReadersMachine
from tests.stateful.runs import RUN, assert_caught

LIVES = settings(RUN, max_examples=200, stateful_step_count=40)
FAULT_RUN = settings(
    LIVES,
    max_examples=1500,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)
"""Ends with the first life that catches the fault, without a search for a shorter one."""


def test_who_reads_is_never_cut_and_memory_is_bounded():
    run_state_machine_as_test(ReadersMachine, settings=LIVES)


def random_lives():
    run_state_machine_as_test(ReadersMachine, settings=FAULT_RUN)


def those_that_hold_most_are_cut_first(monkeypatch):
    def largest_first(held, limit):
        return peers_to_cut(sorted(held, key=lambda one: -one.unread), limit)

    monkeypatch.setattr(peer_buffers, "peers_to_cut", largest_first)


def those_that_came_first_are_cut_first(monkeypatch):
    """Keep the place of a connection that has read."""

    def changed(buffers, peer, unread, received=0):
        before = buffers._counted.get(peer)
        if before is not None:
            buffers.total -= before.unread + before.received
        buffers._counted[peer] = peer_buffers._Counted(unread, received)
        buffers.total += unread + received
        if not (unread or received):
            del buffers._counted[peer]
        if buffers._must_check():
            buffers._cut()

    monkeypatch.setattr(PeerBuffers, "changed", changed)


def what_was_just_given_counts(monkeypatch):
    monkeypatch.setattr(Connection, "takes_bytes", False)


def sockets_are_asked_once(monkeypatch):
    """Ask no more until the total was within the limit again."""
    cut = PeerBuffers._cut

    def once(buffers):
        cut(buffers)
        buffers._check_above = 10**9
        buffers._changes = -(10**9)

    monkeypatch.setattr(PeerBuffers, "_cut", once)


def nobody_is_cut(monkeypatch):
    monkeypatch.setattr(peer_buffers, "peers_to_cut", lambda *_: [])


def senders_are_cut_first(monkeypatch):
    def senders_first(held, limit):
        known = list(held)
        senders = [one for one in known if one.received and not one.is_stalled]
        total = sum(one.size for one in known)
        if total <= limit:
            return []
        return [one.peer for one in senders] or peers_to_cut(known, limit)

    monkeypatch.setattr(peer_buffers, "peers_to_cut", senders_first)


def a_cut_connection_still_counts(monkeypatch):
    cut = PeerBuffers._cut

    def counted(buffers):
        total = buffers.total
        cut(buffers)
        buffers.total = total

    monkeypatch.setattr(PeerBuffers, "_cut", counted)


def requests_that_wait_keep_the_place_of_a_reader(monkeypatch):
    monkeypatch.setattr(peer_buffers, "_has_read_all", lambda _: False)


FAULTS = [
    requests_that_wait_keep_the_place_of_a_reader,
    those_that_hold_most_are_cut_first,
    those_that_came_first_are_cut_first,
    what_was_just_given_counts,
    sockets_are_asked_once,
    nobody_is_cut,
    senders_are_cut_first,
    a_cut_connection_still_counts,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_each_deliberate_fault_is_caught(fault, monkeypatch):
    assert_caught(fault, random_lives, monkeypatch)
