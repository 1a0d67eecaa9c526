"""Whole events of a stream, cut out of the bytes as they come."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventFramer:
    """Holds back the bytes of an event until the event is whole.

    An engine may break off within an event, and the events of another run may follow
    only after a whole one.
    """

    def __init__(self) -> None:
        """Begin before the first event."""
        self._remainder = b""
        self.events = 0
        """How many whole events were given out."""
        self.last_id: bytes | None = None
        """The id of the last whole event that had one."""

    def feed(self, data: bytes) -> bytes:
        """Take bytes; give those of events that are whole now."""
        held = self._remainder + data
        end = held.rfind(EVENT_END)
        if end < 0:
            self._remainder = held
            return b""
        end += len(EVENT_END)
        whole = held[:end]
        self._remainder = held[end:]
        self.events += whole.count(EVENT_END)
        self._read_id(whole)
        return whole

    def _read_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip()
                return

    def remainder(self) -> bytes:
        """Give what follows the last whole event."""
        return self._remainder

    def discard_remainder(self) -> None:
        """Forget a broken event: another run follows."""
        self._remainder = b""


def data_lines(output: bytes) -> bytes:
    """Give the data of each event of a stream, each followed by a line feed."""
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
