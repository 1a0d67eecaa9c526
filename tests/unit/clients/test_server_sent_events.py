"""Events are returned complete however the bytes are split."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from notcharch.clients.server_sent_events import (
    EventSplitter,
    events_from,
    first_event_number,
    last_event_number,
)
from tests.contract.stream_text import events

ALL_EVENTS = events(4)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, len(ALL_EVENTS)), max_size=8))
def test_any_cut_gives_whole_events_as_soon_as_they_are_there(places):
    splitter = EventSplitter()
    given_out = b""
    cuts = [0, *sorted(places), len(ALL_EVENTS)]
    for start, end in itertools.pairwise(cuts):
        piece = splitter.feed(ALL_EVENTS[start:end])
        assert piece == b"" or piece.endswith(b"\n\n")
        given_out += piece
        last_boundary = ALL_EVENTS[:end].rfind(b"\n\n")
        assert len(given_out) == (last_boundary + 2 if last_boundary >= 0 else 0)
    assert given_out == ALL_EVENTS


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@settings(derandomize=True, deadline=None)
@given(places=st.lists(st.integers(0, 300), max_size=8))
def test_events_of_any_line_end_are_returned_with_line_feeds(line_end, places):
    text = ALL_EVENTS.replace(b"\n", line_end)
    splitter = EventSplitter()
    cuts = [0, *sorted(min(place, len(text)) for place in places), len(text)]
    pieces = [splitter.feed(text[start:end]) for start, end in itertools.pairwise(cuts)]
    assert b"".join(pieces) == ALL_EVENTS


NUMBERS = (
    pytest.param(b"", None, None, id="nothing"),
    pytest.param(b"data: [DONE]\n\n", None, None, id="no number"),
    pytest.param(b"id: 7\ndata: {}\n\n", 7, 7, id="one"),
    pytest.param(b"data: {}\nid: 7\n\n", 7, 7, id="number after the data"),
    pytest.param(b"id: 7\ndata: 1\n\nid: 8\ndata: 1\n\n", 7, 8, id="two"),
    pytest.param(
        b'id: 7\ndata: "\\nid: 9"\n\n: comment\n\n', 7, 7, id="text like a number"
    ),
)


@pytest.mark.parametrize(("text", "first", "last"), NUMBERS)
def test_numbers_of_events(text, first, last):
    assert first_event_number(text) == first
    assert last_event_number(text) == last


@pytest.mark.parametrize("number", range(6))
def test_events_before_a_number_are_dropped(number):
    assert events_from(events(4), number) == events(4, number)
