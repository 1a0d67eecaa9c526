"""Relays one stream to its caller: complete and granted events, the head with the first."""

from collections.abc import Callable

from notcharch.calls.call_log import CallLog
from notcharch.calls.event_stream import EventFramer
from notcharch.calls.grant_gate import GrantGate
from notcharch.calls.interface import Ticket
from notcharch.calls.reply import Reply
from notcharch.calls.waiting_output import WaitingOutput
from notcharch.http.messages import ResponseHead


def _ignore(events: bytes) -> None:
    """Stand for the caller of a stream that is over."""


class StreamRelay:
    """The stream of one call, from the data of its runs to the reply."""

    def __init__(
        self,
        reply: Reply,
        write: Callable[[bytes], None],
        log: CallLog,
        waiting_output: WaitingOutput,
        *,
        keeps_output: bool,
    ) -> None:
        """Pass events on by `write`; keep them for `take_output` if they are stored.

        Events that wait are counted in `waiting_output`. Nothing is relayed before `admit`.
        """
        self._reply = reply
        self._write = write
        self._log = log
        self._waiting_output = waiting_output
        self._keeps_output = keeps_output
        self._ticket: Ticket | None = None
        """The ticket of the call; None before its admission and after its end."""
        self._all_granted: Callable[[], None] | None = None
        """What waits until no event does."""
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

    def admit(self, ticket: Ticket) -> None:
        """Relay within the grant of a ticket."""
        self._ticket = ticket
        ticket.watch_grant(self._grant_grown)
        self._gate.grant(ticket.granted_events)

    def close(self) -> None:
        """Relay nothing any more, and let go of the call: it is freed with its body."""
        self._ticket = self._all_granted = None
        self._write = _ignore

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
        complete_events = self._framer.feed(data)
        self._log.unfinished_bytes = len(self._framer.remainder())
        return complete_events

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

    def relay(self, events: bytes) -> None:
        """Relay those of further complete events that are granted; the others wait."""
        if self._keeps_output:
            self._output += events
        gate = self._gate
        received = self._log.events_received = self._framer.events
        further = received - gate.relayed - gate.waiting
        self._relay_passed(gate.add(events, further))
        if gate.is_open:
            self._log.events_relayed(gate.relayed)
        else:
            self._report()

    def _grant_grown(self) -> None:
        """Relay events that waited for the grant."""
        if self._ticket is None:
            return
        self._relay_passed(self._gate.grant(self._ticket.granted_events))
        self._report()
        if self._all_granted is not None:
            self.when_all_granted(self._all_granted)

    def _report(self) -> None:
        """Report what was relayed, and count the events that wait."""
        gate = self._gate
        if self._ticket is None:
            return
        if gate.relayed != self._log.events:
            self._log.events_relayed(gate.relayed)
        self._waiting_output.hold_ungranted(gate.held_bytes)
        self._ticket.relayed(gate.relayed, gate.waiting)

    def when_all_granted(self, then: Callable[[], None]) -> None:
        """Call `then` once no event waits for a grant; not after `close`."""
        self._all_granted = then if self._gate.waiting else None
        if not self._gate.waiting:
            then()

    def _relay_passed(self, events: bytes) -> None:
        if events:
            if self._pending_head is not None:
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
        self._report()

    def _relay_head(self) -> None:
        head, self._pending_head = self._pending_head, None
        if head is not None:
            self.is_begun = True
            self._reply.begin(head)
