"""This daemon's calls in flight, and which of them its notices have to report. Pure."""

from collections.abc import Iterable, Mapping

import msgspec

from notcharch.engine_load.messages import EngineCallsChanged, FinishedCall
from notcharch.scheduling.load_trackers import TrackerViews


class _ServiceCalls(msgspec.Struct):
    """The calls of one service."""

    in_flight: dict[str, int] = {}
    """By engine; without zeros."""
    changed: dict[str, None] = {}
    """Engines whose number has changed since the last notice, in order: equal calls then
    give equal notices in every process, which a set of names does not."""
    finished: list[FinishedCall] = []
    """Finished calls that were not reported yet."""


class OwnCalls:
    """Counts calls by engine, and makes the notices for trackers."""

    def __init__(self) -> None:
        """Begin without calls."""
        self._services: dict[str, _ServiceCalls] = {}
        self._sequence = 0

    def started(self, service: str, engine: str) -> None:
        """Count a call that is sent to an engine."""
        calls = self._services.setdefault(service, _ServiceCalls())
        calls.in_flight[engine] = calls.in_flight.get(engine, 0) + 1
        calls.changed[engine] = None

    def ended(self, service: str, engine: str, interval_seconds: float | None) -> None:
        """Count its end, and keep the mean interval of its events, if any."""
        calls = self._services.get(service)
        if calls is None or engine not in calls.in_flight:
            return
        calls.in_flight[engine] -= 1
        if calls.in_flight[engine] == 0:
            del calls.in_flight[engine]
        calls.changed[engine] = None
        if interval_seconds is not None:
            calls.finished.append(FinishedCall(engine, round(interval_seconds, 6)))

    def in_flight(self, service: str) -> Mapping[str, int]:
        """Return the calls in flight by engine, without zeros."""
        calls = self._services.get(service)
        return calls.in_flight if calls is not None else {}

    @property
    def services(self) -> tuple[str, ...]:
        """The services that have had calls."""
        return tuple(self._services)

    def discard_changes(self, service: str) -> None:
        """Report none of the changes so far."""
        calls = self._services.get(service)
        if calls is not None:
            calls.changed.clear()
            calls.finished.clear()

    def take_changes(
        self, service: str, views: TrackerViews
    ) -> dict[str, EngineCallsChanged]:
        """Return the notices of what has changed since the last ones, by tracker."""
        calls = self._services[service]
        engines, finished = calls.changed, calls.finished
        calls.changed, calls.finished = {}, []
        return self._notices(service, engines, finished, views)

    def take_refresh(
        self, service: str, views: TrackerViews
    ) -> dict[str, EngineCallsChanged]:
        """Return the notices of all engines with calls in flight, by tracker."""
        return self._notices(service, self._services[service].in_flight, (), views)

    def _notices(
        self,
        service: str,
        engines: Iterable[str],
        finished: Iterable[FinishedCall],
        views: TrackerViews,
    ) -> dict[str, EngineCallsChanged]:
        in_flight = self._services[service].in_flight
        counts: dict[str, dict[str, int]] = {}
        for engine in engines:
            for tracker in views.reported_to(service, engine):
                counts.setdefault(tracker, {})[engine] = in_flight.get(engine, 0)
        intervals: dict[str, list[FinishedCall]] = {}
        for call in finished:
            for tracker in views.reported_to(service, call.engine):
                intervals.setdefault(tracker, []).append(call)
        return {
            tracker: self._notice(service, calls, intervals.get(tracker, ()))
            for tracker, calls in counts.items()
        }

    def _notice(
        self, service: str, calls: dict[str, int], finished: Iterable[FinishedCall]
    ) -> EngineCallsChanged:
        self._sequence += 1
        return EngineCallsChanged(service, self._sequence, calls, tuple(finished))
