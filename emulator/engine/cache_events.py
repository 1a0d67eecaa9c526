"""Cache events as an engine publishes them: late, and some never."""

from bisect import bisect_right
from random import Random

import attrs

from notcharch.clients.ports import CacheEvent, CacheEventKind, CacheEvents
from notcharch.values.identifiers import ProgramId

KEPT_EVENTS = 20_000
"""Older events are dropped, which readers see as a gap."""


@attrs.frozen
class _DatedEvent:
    visible_at: float
    event: CacheEvent


class CacheEventLog:
    """Numbered events with a delay and a part that is lost."""

    def __init__(self, delay_seconds: float, loss: float, random: Random) -> None:
        """Publish each event after a delay; lose a part (0.0 … 1.0) of them."""
        self.delay_seconds = delay_seconds
        self.loss = loss
        self._random = random
        self._sequence = 0
        self._events: list[_DatedEvent] = []

    def add(
        self, now: float, kind: CacheEventKind, program: ProgramId, tokens: int
    ) -> None:
        """Give an event its number; a lost one leaves a gap."""
        self._sequence += 1
        if self._random.random() < self.loss:
            return
        event = CacheEvent(self._sequence, kind, program, tokens)
        visible_at = now + self.delay_seconds
        if self._events:
            visible_at = max(visible_at, self._events[-1].visible_at)
        self._events.append(_DatedEvent(visible_at, event))
        if len(self._events) >= 2 * KEPT_EVENTS:
            del self._events[:KEPT_EVENTS]

    def read(self, now: float, after: int, limit: int) -> CacheEvents:
        """Give visible events after a sequence number.

        `next` is the last sequence given or, when there is none, the last visible
        one, which is below `after` once the engine has restarted.
        """
        visible = bisect_right(self._events, now, key=_visible_at)
        start = bisect_right(self._events, after, hi=visible, key=_sequence)
        found = tuple(dated.event for dated in self._events[start:visible][:limit])
        if found:
            return CacheEvents(found, found[-1].sequence)
        return CacheEvents((), _sequence(self._events[visible - 1]) if visible else 0)

    def forget(self) -> None:
        """Begin again from sequence 0, as a restart does."""
        self._sequence = 0
        self._events.clear()


def _visible_at(dated: _DatedEvent) -> float:
    return dated.visible_at


def _sequence(dated: _DatedEvent) -> int:
    return dated.event.sequence
