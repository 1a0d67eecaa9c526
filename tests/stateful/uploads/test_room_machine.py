"""Uploads share a bounded memory: never above it, nobody waits for ever.

Random lives, the same ones in each run, and deliberate faults in the code that they must
catch.
"""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from notcharch.http.request_room import RequestRoom, RoomDecision
from notcharch.values.memory_pool import HeldPart
from tests.stateful.runs import RUN, assert_caught
from tests.stateful.uploads.room_machine import RoomMachine

LIVES = settings(RUN, max_examples=150, stateful_step_count=30)
FAULT_RUN = settings(
    LIVES,
    max_examples=1500,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)
"""Ends with the first life that catches the fault, without a search for a shorter one."""


def test_uploads_stay_within_their_memory_and_end():
    run_state_machine_as_test(RoomMachine, settings=LIVES)


def random_lives():
    run_state_machine_as_test(RoomMachine, settings=FAULT_RUN)


def nothing_is_kept_free_for_the_first(monkeypatch):
    """Let uploads that grow each hold a part, and wait for each other."""
    monkeypatch.setattr(RequestRoom, "_kept_free", lambda *_: 0)


def an_end_wakes_nobody(monkeypatch):
    def ended(room, memory):
        room.large -= memory.large
        memory.large = 0
        room._growing.pop(memory, None)
        room._forget(memory)

    monkeypatch.setattr(RequestRoom, "ended", ended)


def nobody_looks_again(monkeypatch):
    monkeypatch.setattr("notcharch.http.request_room.RETRY_SECONDS", 1e9)


def large_requests_have_no_share(monkeypatch):
    monkeypatch.setattr(
        RequestRoom, "_fits", lambda room, ask: room._held.fits(ask.size)
    )


def a_request_that_left_still_waits(monkeypatch):
    monkeypatch.setattr(RequestRoom, "_forget", lambda *_: None)


def room_is_given_twice(monkeypatch):
    take = RequestRoom._take

    def twice(room, ask):
        take(room, ask)
        room._held.change(ask.size)

    monkeypatch.setattr(RequestRoom, "_take", twice)


def what_is_whole_keeps_what_it_does_not_need(monkeypatch):
    def whole(room, memory, size):
        memory.shrink(size)
        room._growing.pop(memory, None)

    monkeypatch.setattr(RequestRoom, "whole", whole)


def a_shrunk_part_is_counted_as_before(monkeypatch):
    def shrink(part, size):
        part.size = min(part.size, size)
        return 0

    monkeypatch.setattr(HeldPart, "shrink", shrink)


def any_number_waits(monkeypatch):
    ask = RequestRoom.ask

    def unbounded(room, *args):
        room._max_waiting = 10**6
        return ask(room, *args)

    monkeypatch.setattr(RequestRoom, "ask", unbounded)


def those_without_room_are_read(monkeypatch):
    ask = RequestRoom.ask

    def granted(room, *args):
        decision = ask(room, *args)
        if decision is RoomDecision.WAITING:
            room._forget(args[0])
            return RoomDecision.GRANTED
        return decision

    monkeypatch.setattr(RequestRoom, "ask", granted)


FAULTS = [
    nothing_is_kept_free_for_the_first,
    an_end_wakes_nobody,
    nobody_looks_again,
    large_requests_have_no_share,
    a_request_that_left_still_waits,
    room_is_given_twice,
    what_is_whole_keeps_what_it_does_not_need,
    a_shrunk_part_is_counted_as_before,
    any_number_waits,
    those_without_room_are_read,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_each_deliberate_fault_is_caught(fault, monkeypatch):
    assert_caught(fault, random_lives, monkeypatch)
