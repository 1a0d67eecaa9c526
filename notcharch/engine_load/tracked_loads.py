"""The state of a load tracker: calls in flight by engine and daemon. Pure.

The state is soft: every daemon refreshes its counts, and a count without a refresh
expires. So nothing has to be handed over or stored.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping

import msgspec

from notcharch.engine_load.messages import EngineCallsChanged, FinishedCall
from notcharch.scheduling.engine_load import EngineLoad
from notcharch.values.identifiers import Member

COUNT_EXPIRY_SECONDS = 1.5
"""A count expires this long after its last notice: three refreshes were then missed."""
WHOLE_AFTER_SECONDS = 1.0
"""An engine's count is complete after two refreshes; earlier ones would be too low."""
MAX_TICK_GAP_SECONDS = 0.5
"""A longer time between two ticks is a pause, in which notices were not read in time."""
DISMISSED_SECONDS = 2.5
"""How long an engine's tracker keeps answering after another one was elected: the
handover of 1.25 s, and a second by which views of the members differ."""
MIN_FINISHED_CALLS = 3
"""With fewer calls, one call in a slow period would define an engine's speed."""
RECENT_CALL_WEIGHT = 0.05
"""Weight of the last call in the mean interval. Engines differ lastingly in speed; a slow
period of some hundred ms is over before a call that is placed by it."""
INTERVAL_DIGITS = 5
"""Decimal places of an interval in a reply; intervals are some milliseconds."""


class _Count(msgspec.Struct):
    """The calls in flight of one daemon at one engine, by its last notice."""

    engine: "_TrackedEngine"
    incarnation: int
    sequence: int
    calls: int
    received_at: float


class _TrackedEngine:
    """One engine: its calls in flight and its speed."""

    def __init__(self, id: str, service: str, since: float) -> None:
        """Begin without calls."""
        self.id = id
        self.service = service
        self.since = since
        self.elected_until = since
        """Until when it is kept without calls; infinite while this daemon is elected."""
        self.in_flight = 0
        self.counts = 0
        """Number of daemons with an unexpired count."""
        self._finished = 0
        self._interval_seconds = 0.0

    def record_interval(self, seconds: float) -> None:
        """Add the event interval of a finished call to the mean."""
        self._finished += 1
        weight = max(1 / self._finished, RECENT_CALL_WEIGHT)
        self._interval_seconds += weight * (seconds - self._interval_seconds)

    def load(self) -> EngineLoad:
        """Return the load as it is sent to daemons."""
        if self._finished < MIN_FINISHED_CALLS:
            return EngineLoad(self.id, self.in_flight)
        interval = round(self._interval_seconds, INTERVAL_DIGITS)
        return EngineLoad(self.id, self.in_flight, interval)


class TrackedLoads:
    """The engines that a daemon tracks."""

    def __init__(self, now: float) -> None:
        """Begin without engines."""
        self._services: dict[str, dict[str, _TrackedEngine]] = {}
        self._counts: OrderedDict[tuple[str, str], _Count] = OrderedDict()
        """By engine and daemon; the least recently received first."""
        self._ticked_at = now

    def tick(self, now: float) -> float:
        """Note that the process runs; return the length of a pause, 0 without one.

        After a pause, tracking starts again: the counts have missed notices.
        """
        self._expire(now)
        for engine in self._all():
            self._drop_unused(engine, now)
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap < MAX_TICK_GAP_SECONDS:
            return 0.0
        for engines in self._services.values():
            for engine in engines.values():
                engine.since = now
        return gap

    def is_pause_unnoticed(self, now: float) -> bool:
        """Return whether the process was paused since the last tick."""
        return now - self._ticked_at >= MAX_TICK_GAP_SECONDS

    def elect(self, engines: Mapping[str, str], now: float) -> None:
        """Track the engines of which this daemon is the tracker, given with services."""
        for tracked in self._all():
            if engines.get(tracked.id) != tracked.service:
                tracked.elected_until = min(
                    tracked.elected_until, now + DISMISSED_SECONDS
                )
        for id, service in engines.items():
            self._engine(service, id, now).elected_until = math.inf

    def apply(self, sender: Member, notice: EngineCallsChanged, now: float) -> None:
        """Record a daemon's notice; an older one than the last does not change counts."""
        self._expire(now)
        for id, calls in notice.calls.items():
            self._set_count(sender, notice, id, max(calls, 0), now)
        for finished in notice.finished:
            self._record_finished(notice.service, finished)

    def loads(self, service: str, now: float) -> tuple[EngineLoad, ...]:
        """Return the loads of the service's engines that have been tracked long enough."""
        self._expire(now)
        return tuple(
            engine.load()
            for engine in self._services.get(service, {}).values()
            if now - engine.since >= WHOLE_AFTER_SECONDS
        )

    @property
    def engine_count(self) -> int:
        """The number of tracked engines."""
        return sum(len(engines) for engines in self._services.values())

    def _all(self) -> list[_TrackedEngine]:
        return [
            engine for engines in self._services.values() for engine in engines.values()
        ]

    def _engine(self, service: str, id: str, now: float) -> _TrackedEngine:
        engines = self._services.setdefault(service, {})
        engine = engines.get(id)
        if engine is None:
            engine = engines[id] = _TrackedEngine(id, service, now)
        return engine

    def _set_count(
        self,
        sender: Member,
        notice: EngineCallsChanged,
        id: str,
        calls: int,
        now: float,
    ) -> None:
        key = (id, str(sender.daemon))
        version = (sender.incarnation, notice.sequence)
        previous = self._counts.get(key)
        if previous is not None:
            if (previous.incarnation, previous.sequence) >= version:
                return
            previous.engine.in_flight -= previous.calls
            previous.engine.counts -= 1
        engine = self._engine(notice.service, id, now)
        engine.in_flight += calls
        engine.counts += 1
        self._counts[key] = _Count(engine, *version, calls, now)
        self._counts.move_to_end(key)

    def _record_finished(self, service: str, finished: FinishedCall) -> None:
        engine = self._services.get(service, {}).get(finished.engine)
        seconds = finished.event_interval_seconds
        if engine is not None and math.isfinite(seconds) and seconds > 0:
            engine.record_interval(seconds)

    def _expire(self, now: float) -> None:
        while self._counts:
            key, count = next(iter(self._counts.items()))
            if now - count.received_at < COUNT_EXPIRY_SECONDS:
                return
            del self._counts[key]
            count.engine.in_flight -= count.calls
            count.engine.counts -= 1
            self._drop_unused(count.engine, now)

    def _drop_unused(self, engine: _TrackedEngine, now: float) -> None:
        """Forget an engine that is neither elected nor reported."""
        if engine.elected_until > now or engine.counts:
            return
        engines = self._services.get(engine.service, {})
        engines.pop(engine.id, None)
        if not engines:
            self._services.pop(engine.service, None)
