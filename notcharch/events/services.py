"""Events of services' limits and their leases: 600 … 699."""

from typing import ClassVar

from notcharch.events.event import Event


class AllotmentRequestFailed(Event, frozen=True):
    """The limiter of a service gave no useful reply; the holder asks again."""

    number: ClassVar[int] = 600
    service: str
    code: str
    message: str


class LeaseLapsed(Event, frozen=True):
    """A lease lapsed while calls ran under it; nothing new starts until it is renewed."""

    number: ClassVar[int] = 601
    service: str
    running: int


class HolderDropped(Event, frozen=True):
    """The slots of a process that is surely dead were freed."""

    number: ClassVar[int] = 602
    service: str
    holder: str
    incarnation: int
    slots: int


class SlotsContended(Event, frozen=True):
    """Holders above their part were told that others wait; at most twice a second."""

    number: ClassVar[int] = 603
    service: str
    told: int
