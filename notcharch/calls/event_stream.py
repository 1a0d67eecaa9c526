"""Framing of server-sent events in a byte stream."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


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
        end = buffered.rfind(EVENT_END)
        if end < 0:
            self._remainder = buffered
            return b""
        end += len(EVENT_END)
        complete = buffered[:end]
        self._remainder = buffered[end:]
        self.events += complete.count(EVENT_END)
        self._read_id(complete)
        return complete

    def _read_id(self, complete: bytes) -> None:
        for line in reversed(complete.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip()
                return

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._remainder

    def discard_remainder(self) -> None:
        """Discard an incomplete event before another run."""
        self._remainder = b""


def data_lines(output: bytes) -> bytes:
    """Return the data of all events of a stream, each followed by a line feed."""
    parts: list[bytes] = []
    for event in output.split(EVENT_END):
        lines = [
            line[len(b"data:") :].removeprefix(b" ")
            for line in event.split(b"\n")
            if line.startswith(b"data:")
        ]
        if lines:
            parts.append(b"\n".join(lines) + b"\n")
    return b"".join(parts)
