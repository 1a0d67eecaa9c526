"""The events that wait for a grant: none is lost, repeated or relayed too early."""

import itertools

from hypothesis import example, given
from hypothesis import strategies as st

from notcharch.calls.event_stream import EventFramer, split_events
from notcharch.calls.grant_gate import HELD_EVENT_BYTES, GrantGate

ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\ndata: b\n\n"
THREE = b"id: 3\ndata: c\n\n"

PIECES = st.lists(
    st.sampled_from(
        [b"data: a", b"id: 1", b":", b"\n", b"\n\n", b"\r\n", b"\r\n\r\n", b"\r", b"x"]
    ),
    max_size=40,
).map(b"".join)
"""Streams of events with all line ends, blank lines and comments."""


def parts(text: bytes, cuts: list[int]) -> list[bytes]:
    ends = sorted({min(cut, len(text)) for cut in cuts} | {0, len(text)})
    return [text[start:end] for start, end in itertools.pairwise(ends)]


@given(PIECES, st.lists(st.integers(0, 200)))
@example(b"data: a\n\n\n\n\r", [])
def test_events_are_split_as_they_are_counted(text, cuts):
    """A count that differs from the split would let events pass beyond the grant."""
    framer = EventFramer()
    for part in parts(text, cuts):
        before = framer.events
        complete = framer.feed(part)
        events = split_events(complete)
        assert len(events) == framer.events - before
        if events:
            assert b"".join(events) == complete


@given(
    PIECES,
    st.lists(st.integers(0, 200)),
    st.integers(0, 5),
    st.lists(st.tuples(st.integers(0, 60), st.integers(0, 8))),
)
def test_all_events_come_out_in_order_and_never_more_than_granted(
    text, cuts, first_grant, raises
):
    """A gate that loses or repeats bytes breaks streams; one that leaks breaks budgets."""
    gate = GrantGate(first_grant)
    framer = EventFramer()
    granted, came_in, came_out = first_grant, b"", b""
    for number, part in enumerate(parts(text, cuts)):
        before = framer.events
        complete = framer.feed(part)
        if complete:
            came_in += complete
            came_out += gate.add(complete, framer.events - before)
        for at, more in raises:
            if at == number:
                granted += more
                came_out += gate.grant(granted)
        assert gate.relayed <= granted
        assert gate.relayed + gate.waiting == framer.events
        assert gate.relayed == min(framer.events, granted)
        assert came_in.startswith(came_out)
        assert (gate.held_bytes == 0) == (gate.waiting == 0) == (came_in == came_out)
    came_out += gate.release()
    assert (came_out, gate.waiting, gate.held_bytes) == (came_in, 0, 0)
    assert gate.relayed == framer.events


def test_events_within_the_grant_are_the_same_object():
    """A copy of each event would cost every stream, also without a grant."""
    for granted in (None, 2):
        gate = GrantGate(granted)
        events = ONE + TWO
        assert gate.add(events, 2) is events


def test_events_beyond_the_grant_wait_for_it():
    """A caller must not get more events than are granted."""
    gate = GrantGate(1)
    assert gate.add(ONE + TWO + THREE, 3) == ONE
    assert (gate.relayed, gate.waiting) == (1, 2)
    assert gate.held_bytes == len(TWO + THREE) + 2 * HELD_EVENT_BYTES
    assert gate.grant(2) == TWO
    assert gate.grant(None) == THREE
    assert gate.add(ONE, 1) == ONE


def test_a_grant_does_not_shrink():
    """A late answer of a former owner must not take back what another one granted."""
    gate = GrantGate(3)
    assert gate.grant(1) == b""
    assert gate.add(ONE + TWO + THREE, 3) == ONE + TWO + THREE
    gate.grant(None)
    assert gate.grant(3) == b""
    assert gate.add(ONE, 1) == ONE
