"""Cuts a byte stream into whole server-sent events without reading them.

An event ends with an empty line. Its number is its `id:` line; it is looked for only
when a stream breaks or goes on after a break, never for each token.
"""

import re

EVENT_END = b"\n\n"
LAST_EVENT = b"data: [DONE]\n\n"
_LATER_ID = b"\nid: "
_ID_LINE = re.compile(rb"^id: ?(\d+)$", re.MULTILINE)


LONGEST_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Gives whole events; keeps back the beginning of one that is cut off."""

    def __init__(self) -> None:
        """Begin at the boundary of an event."""
        self._rest = b""

    @property
    def is_overlong(self) -> bool:
        """Tell whether the event that is cut off is longer than any may be."""
        return len(self._rest) > LONGEST_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Give the whole events that are complete with `data`, as one piece."""
        if self._rest:
            data = self._rest + data
        if data.endswith(EVENT_END):
            self._rest = b""
            return data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            return b""
        end += len(EVENT_END)
        self._rest = data[end:]
        return data[:end]


def first_event_number(events: bytes) -> int | None:
    """Give the number of the first event that has one."""
    match = _ID_LINE.search(events)
    return int(match.group(1)) if match else None


def last_event_number(events: bytes) -> int | None:
    """Give the number of the last event that has one."""
    start = events.rfind(_LATER_ID)
    if start < 0:
        return first_event_number(events)
    return first_event_number(events[start + 1 :])


def events_from(events: bytes, number: int) -> bytes:
    """Drop whole events before the one of this number."""
    kept = [
        event
        for event in events.split(EVENT_END)[:-1]
        if _is_at_or_after(event, number)
    ]
    return b"".join(event + EVENT_END for event in kept)


def _is_at_or_after(event: bytes, number: int) -> bool:
    own_number = first_event_number(event)
    return own_number is None or own_number >= number
