"""Relays one stream to its caller: complete and granted events, the head with the first."""

from collections.abc import Callable

from notcharch.calls.event_stream import EventFramer
from notcharch.calls.grant_gate import GrantGate
from notcharch.calls.reply import Reply
from notcharch.http.messages import ResponseHead


def _discard(_: bytes) -> None:
    pass


class StreamRelay:
    """The stream of one call, from the data of its runs to the reply."""

    def __init__(
        self, reply: Reply, write: Callable[[bytes], None], *, keeps_output: bool
    ) -> None:
        """Pass events on by `write`; keep them for `take_output` if they are stored.

        Nothing is relayed before `grant` is called.
        """
        self._reply = reply
        self._write = write
        self._keeps_output = keeps_output
        self._framer = EventFramer()
        self._gate = GrantGate(0)
        self._output = bytearray()
        self._pending_head: ResponseHead | None = None
        """Head of a stream of which no event was relayed yet.

        It is relayed with the first event: until then the call can still end in an error
        response instead of an aborted connection.
        """
        self.is_begun = False
        """Whether the head was relayed to the caller."""

    # The runs

    def run_started(self, head: ResponseHead) -> None:
        """Hold the head of a run, unless an earlier run completed an event."""
        if not self.events:
            self._pending_head = head

    @property
    def has_head(self) -> bool:
        """Whether the head of a run was relayed or is held."""
        return self.is_begun or self._pending_head is not None

    def feed(self, data: bytes) -> bytes:
        """Add data of a run; return the events that are now complete."""
        return self._framer.feed(data)

    def run_failed(self) -> None:
        """Discard the head of the run, unless an event was completed."""
        if not self.events:
            self._pending_head = None

    def discard_remainder(self) -> None:
        """Discard an incomplete event before another run."""
        self._framer.discard_remainder()

    @property
    def events(self) -> int:
        """Number of complete events that were received so far."""
        return self._framer.events

    @property
    def last_id(self) -> bytes | None:
        """Id of the last complete event that had one."""
        return self._framer.last_id

    @property
    def unfinished_bytes(self) -> int:
        """Bytes after the last complete event."""
        return len(self._framer.remainder())

    @property
    def is_inside_event(self) -> bool:
        """Whether the data so far ends inside an event."""
        return self._framer.is_inside_event

    @property
    def held_bytes(self) -> int:
        """How many bytes are held to be stored, or as an unfinished event."""
        return len(self._output) + self.unfinished_bytes

    # The caller

    @property
    def relayed(self) -> int:
        """Number of events that were relayed so far."""
        return self._gate.relayed

    @property
    def waiting(self) -> int:
        """Number of events that wait for a grant."""
        return self._gate.waiting

    @property
    def waiting_bytes(self) -> int:
        """Memory of the events that wait for a grant."""
        return self._gate.held_bytes

    def relay(self, events: bytes) -> None:
        """Relay those of further complete events that are granted; the others wait."""
        if self._keeps_output:
            self._output += events
        further = self.events - self.relayed - self.waiting
        self._relay_passed(self._gate.add(events, further))

    def grant(self, events: int | None) -> None:
        """Relay the events that waited for a grant of so many in total, or of all."""
        self._relay_passed(self._gate.grant(events))

    def _relay_passed(self, events: bytes) -> None:
        if events:
            self._relay_head()
            self._write(events)

    def take_output(self) -> bytes:
        """Return all events that are to be stored, and hold them no longer."""
        output = bytes(self._output)
        self._output.clear()
        return output

    def relay_end(self) -> None:
        """Relay the events that wait, and what follows the last one."""
        self._relay_head()
        self._relay_passed(self._gate.release())
        remainder = self._framer.remainder()
        if remainder:
            self._reply.write(remainder)

    def close(self) -> None:
        """Relay nothing any more, and let go of the call: it is freed with its body."""
        self._write = _discard

    def _relay_head(self) -> None:
        head, self._pending_head = self._pending_head, None
        if head is not None:
            self.is_begun = True
            self._reply.begin(head)
