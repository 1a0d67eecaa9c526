"""Holds the events of a stream that are not granted yet. Pure.

Events come out in the order in which they came in, byte for byte.
"""

from collections import deque

from notcharch.calls.event_stream import split_events

HELD_EVENT_BYTES = 48
"""Memory of an event that waits, besides its bytes."""


class GrantGate:
    """Lets as many events of one stream pass as are granted."""

    def __init__(self, granted: int | None) -> None:
        """Let `granted` events pass; all of them if it is None."""
        self._granted = granted
        self._held: deque[bytes] = deque()
        self.waiting = 0
        """Number of events that wait."""
        self.relayed = 0
        """Number of events that passed."""
        self.held_bytes = 0
        """Memory of the events that wait."""

    @property
    def is_open(self) -> bool:
        """Whether all events are granted."""
        return self._granted is None

    def add(self, data: bytes, events: int) -> bytes:
        """Add complete events; return those that pass, as the same object if all do."""
        if not self.waiting:
            relayed = self.relayed + events
            if self._granted is None or relayed <= self._granted:
                self.relayed = relayed
                return data
        self._hold(data)
        return self._take(self._free_events())

    def grant(self, granted: int | None) -> bytes:
        """Let so many events pass in total, or all; return those that waited for it."""
        if self._granted is not None and (granted is None or granted > self._granted):
            self._granted = granted
        return self._take(self._free_events())

    def release(self) -> bytes:
        """Return all events that wait, whatever is granted."""
        return self._take(self.waiting)

    def _free_events(self) -> int:
        """Return how many of the events that wait may pass."""
        if self._granted is None:
            return self.waiting
        return min(self.waiting, max(self._granted - self.relayed, 0))

    def _hold(self, data: bytes) -> None:
        events = split_events(data)
        if events:
            self._held.extend(events)
        else:
            self._held[-1] += data
        self.waiting = len(self._held)
        self.held_bytes += len(data) + len(events) * HELD_EVENT_BYTES

    def _take(self, count: int) -> bytes:
        if not count:
            return b""
        taken = b"".join([self._held.popleft() for _ in range(count)])
        self.relayed += count
        self.waiting -= count
        self.held_bytes -= len(taken) + count * HELD_EVENT_BYTES
        return taken
