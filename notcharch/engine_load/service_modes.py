"""Whether the loads of each service are exchanged, computed once per tick."""

from typing import Protocol

from notcharch.events.engine_load import LoadExchangeChanged
from notcharch.events.event import emit
from notcharch.scheduling.load_trackers import ExchangeMode, exchange_mode

MIN_LOG_INTERVAL_SECONDS = 10.0
"""Between two log lines on a service, whose mean run may vary around a threshold."""


class ServiceFigures(Protocol):
    """What decides whether a service's loads are exchanged."""

    def engine_slots(self, service: str) -> int:
        """Return the slots of a service's largest engine; 0 without engines."""

    def mean_run_seconds(self, service: str) -> float | None:
        """Return the mean duration of a service's calls; None while unknown."""


class ServiceModes:
    """The mode of each service, until `recompute`."""

    def __init__(self, figures: ServiceFigures) -> None:
        """Begin without known modes."""
        self._figures = figures
        self._modes: dict[str, ExchangeMode] = {}
        self._logged: dict[str, tuple[ExchangeMode, float]] = {}
        """The last logged mode, and when."""

    def recompute(self) -> None:
        """Compute the modes again when they are needed next."""
        self._modes.clear()

    def mode(self, service: str, members: int, now: float) -> ExchangeMode:
        """Return the mode of a service."""
        known = self._modes.get(service)
        if known is None:
            known = self._modes[service] = self._compute(service, members, now)
        return known

    def _compute(self, service: str, members: int, now: float) -> ExchangeMode:
        slots = self._figures.engine_slots(service)
        seconds = self._figures.mean_run_seconds(service)
        mode = exchange_mode(slots, members, seconds)
        logged, at = self._logged.get(service, (ExchangeMode.OFF, None))
        is_due = at is None or now - at >= MIN_LOG_INTERVAL_SECONDS
        if mode is not logged and is_due:
            self._logged[service] = (mode, now)
            rounded = None if seconds is None else round(seconds, 4)
            emit(LoadExchangeChanged(service, mode.value, slots, members, rounded))
        return mode
