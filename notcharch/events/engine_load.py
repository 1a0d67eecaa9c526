"""Events of the exchange of engine loads: 2900 to 2999."""

from typing import ClassVar

from notcharch.events.event import Event


class LoadExchangeChanged(Event, frozen=True):
    """The loads of a service's engines are exchanged from now on, or not any more."""

    number: ClassVar[int] = 2900
    service: str
    mode: str
    """One of `notcharch.scheduling.load_trackers.ExchangeMode`."""
    slots: int
    """Slots of the service's engines in total."""
    members: int
    """Number of known daemons."""
    mean_run_seconds: float | None


class LoadTrackerSilent(Event, frozen=True):
    """A load tracker did not answer repeatedly; it is asked once a second until it does."""

    number: ClassVar[int] = 2901
    tracker: str
    service: str
    cause: str


class LoadTrackerAnswers(Event, frozen=True):
    """A load tracker that was silent answers again."""

    number: ClassVar[int] = 2902
    tracker: str


class LoadTrackingRestarted(Event, frozen=True):
    """This daemon was paused; it answers for the engines it tracks again after a second."""

    number: ClassVar[int] = 2903
    seconds: float
    """Time since the tick before the pause."""
    engines: int
