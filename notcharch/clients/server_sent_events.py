"""Splits a byte stream into complete server-sent events without parsing them.

Lines end in LF, CRLF or CR, and are returned with LF. An event ends with an empty line. Its number, from its `id:` line, is parsed only when
a stream breaks or is resumed, never for each token.
"""

import re

from notcharch.values.line_ends import with_line_feeds

EVENT_END = b"\n\n"
LAST_EVENT = b"data: [DONE]\n\n"
_LATER_ID = b"\nid: "
_ID_LINE = re.compile(rb"^id: ?(\d+)$", re.MULTILINE)


LONGEST_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Returns complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        """Start at an event boundary."""
        self._incomplete = b""
        self._ends_with_return = False
        """Whether the last byte was a CR, which an LF may follow."""

    @property
    def is_overlong(self) -> bool:
        """Return whether the incomplete event exceeds `LONGEST_EVENT_BYTES`."""
        return len(self._incomplete) > LONGEST_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by `data`, concatenated."""
        if data and (self._ends_with_return or b"\r" in data):
            data = self._with_line_feeds(data)
        if self._incomplete:
            data = self._incomplete + data
        if data.endswith(EVENT_END):
            self._incomplete = b""
            return data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._incomplete = data
            return b""
        end += len(EVENT_END)
        self._incomplete = data[end:]
        return data[:end]

    def _with_line_feeds(self, data: bytes) -> bytes:
        if self._ends_with_return:
            data = data.removeprefix(b"\n")
        self._ends_with_return = data.endswith(b"\r")
        return with_line_feeds(data)


def first_event_number(events: bytes) -> int | None:
    """Return the number of the first event that has one."""
    match = _ID_LINE.search(events)
    return int(match.group(1)) if match else None


def last_event_number(events: bytes) -> int | None:
    """Return the number of the last event that has one."""
    start = events.rfind(_LATER_ID)
    if start < 0:
        return first_event_number(events)
    return first_event_number(events[start + 1 :])


def events_from(events: bytes, number: int) -> bytes:
    """Drop the events before event `number`."""
    remaining = [
        event
        for event in events.split(EVENT_END)[:-1]
        if _is_at_or_after(event, number)
    ]
    return b"".join(event + EVENT_END for event in remaining)


def _is_at_or_after(event: bytes, number: int) -> bool:
    event_number = first_event_number(event)
    return event_number is None or event_number >= number
