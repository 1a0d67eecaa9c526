"""Framing of server-sent events in a byte stream (the HTML standard, 9.2.5).

Lines end in LF, CRLF or CR, and an event ends with an empty line. The bytes are relayed
unchanged.
"""

import re

from notcharch.values.line_ends import with_line_feeds

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
COMMENT = b":"
LINE_ENDS = b"\r\n"
_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_ANY_EVENT_END = re.compile(_LINE_END + _LINE_END)
_LF_EVENT_END = re.compile(EVENT_END)


class EventFramer:
    """Buffers the bytes of an event until the event is complete.

    A stream may be interrupted within an event, and can be resumed at another engine only
    after a complete one.
    """

    def __init__(self) -> None:
        """Start before the first event."""
        self._remainder = b""
        self.events = 0
        """Number of complete events so far."""
        self.last_id: bytes | None = None
        """Id of the last complete event that had one."""

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those of the events that are now complete."""
        buffered = self._remainder + data
        has_returns = b"\r" in buffered
        end = _last_event_end(buffered) if has_returns else _last_lf_end(buffered)
        complete = buffered[:end]
        self._remainder = buffered[end:]
        if complete:
            self.events += (
                _count_events(complete) if has_returns else complete.count(EVENT_END)
            )
            self._read_id(complete)
        return complete

    def _read_id(self, complete: bytes) -> None:
        for line in reversed(complete.splitlines()):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip()
                return

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._remainder

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes after the last complete event begin another one.

        Empty lines and complete comments don't.
        """
        remainder = self._remainder.lstrip(LINE_ENDS)
        if not remainder:
            return False
        is_inside_line = remainder[-1:] not in LINE_ENDS
        return is_inside_line or any(
            line and not line.startswith(COMMENT) for line in remainder.splitlines()
        )

    def discard_remainder(self) -> None:
        """Discard an incomplete event before another run."""
        self._remainder = b""


def _last_lf_end(text: bytes) -> int:
    """Return the end of the last complete event of lines that end in LF; else 0."""
    end = text.rfind(EVENT_END)
    return 0 if end < 0 else end + len(EVENT_END)


def _last_event_end(text: bytes) -> int:
    """Return the end of the last complete event; 0 if there is none.

    An LF after it, which completes a CRLF, may not have been received yet.
    """
    end = 0
    for match in _ANY_EVENT_END.finditer(text):
        end = match.end()
    return end


def _count_events(complete: bytes) -> int:
    if b"\r" not in complete:
        return complete.count(EVENT_END)
    blocks = _ANY_EVENT_END.split(complete)
    return sum(bool(block.strip(LINE_ENDS)) for block in blocks)


def split_events(complete: bytes) -> list[bytes]:
    """Return complete events one by one, as many as a framer counted.

    Empty lines before an event are part of it, and those after the last one of the last.
    """
    has_returns = b"\r" in complete
    event_end = _ANY_EVENT_END if has_returns else _LF_EVENT_END
    ends: list[int] = []
    block_start = 0
    for match in event_end.finditer(complete):
        block = complete[block_start : match.start()]
        if not has_returns or block.strip(LINE_ENDS):
            ends.append(match.end())
        block_start = match.end()
    if not ends:
        return []
    ends[-1] = len(complete)
    return [complete[start:end] for start, end in zip([0, *ends], ends, strict=False)]


def data_lines(output: bytes) -> bytes:
    """Return the data of all events of a stream, each followed by a line feed."""
    parts: list[bytes] = []
    for event in with_line_feeds(output).split(EVENT_END):
        lines = [
            line[len(b"data:") :].removeprefix(b" ")
            for line in event.split(b"\n")
            if line.startswith(b"data:")
        ]
        if lines:
            parts.append(b"\n".join(lines) + b"\n")
    return b"".join(parts)
