"""Events of a daemon's life: 1100 to 1199."""

from typing import ClassVar

from notcharch.events.event import Event


class DaemonStarted(Event, frozen=True):
    """The daemon listens on its addresses."""

    number: ClassVar[int] = 1100
    daemon: str
    incarnation: int
    zone: str
    http_address: str
    peer_address: str


class DaemonDraining(Event, frozen=True):
    """The daemon takes no new calls; running ones go on."""

    number: ClassVar[int] = 1101
    daemon: str
    running_calls: int


class DrainTimedOut(Event, frozen=True):
    """Calls still ran when the longest drain was over, and were cut off."""

    number: ClassVar[int] = 1102
    daemon: str
    running_calls: int


class DaemonStopped(Event, frozen=True):
    """The daemon handed its duties over and stops."""

    number: ClassVar[int] = 1103
    daemon: str
    drain_seconds: float


class DaemonSuperseded(Event, frozen=True):
    """A later process has this daemon's name; this one stops."""

    number: ClassVar[int] = 1104
    daemon: str
    incarnation: int
