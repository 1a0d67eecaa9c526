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
        self._waiting: deque[bytes] = deque()
        self.relayed = 0
        """Number of events that passed."""
        self.held_bytes = 0
        """Memory of the events that wait."""

    @property
    def waiting(self) -> int:
        """Number of events that wait."""
        return len(self._waiting)

    def add(self, data: bytes, events: int) -> bytes:
        """Add complete events; return those that pass, as the same object if all do."""
        if not self._waiting and self._fits(events):
            self.relayed += events
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
        return self._take(len(self._waiting))

    def _fits(self, events: int) -> bool:
        return self._granted is None or self.relayed + events <= self._granted

    def _free_events(self) -> int:
        """Return how many of the events that wait may pass."""
        if self._granted is None:
            return len(self._waiting)
        return min(len(self._waiting), max(self._granted - self.relayed, 0))

    def _hold(self, data: bytes) -> None:
        events = split_events(data)
        if events:
            self._waiting.extend(events)
        else:
            self._waiting[-1] += data
        self.held_bytes += len(data) + len(events) * HELD_EVENT_BYTES

    def _take(self, count: int) -> bytes:
        if not count:
            return b""
        taken = b"".join([self._waiting.popleft() for _ in range(count)])
        self.relayed += count
        self.held_bytes -= len(taken) + count * HELD_EVENT_BYTES
        return taken
