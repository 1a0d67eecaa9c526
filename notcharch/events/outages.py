"""Events of outages of the store."""

from typing import ClassVar

from notcharch.events.event import Event


class StoreOutageKnown(Event, frozen=True):
    """The store counts as down: heartbeats have had no answer for so long."""

    number: ClassVar[int] = 2800
    group: str
    seconds: float


class StoreOutageOver(Event, frozen=True):
    """The store answers again after an outage."""

    number: ClassVar[int] = 2801
    group: str
    seconds: float


class RefusedInOutage(Event, frozen=True):
    """A call was refused at once, because its admission needs the store."""

    number: ClassVar[int] = 2802
    request: str
    program: str
    is_owners_decision: bool
    """Whether the owner of the program's account said so, not this daemon alone."""
    outage_seconds: float
    retry_after_seconds: float
