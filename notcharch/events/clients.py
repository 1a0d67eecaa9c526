"""Events of the clients of the outside systems, numbers 900 to 999."""

from typing import ClassVar

from notcharch.events.event import Event


class EngineStreamBroken(Event, frozen=True):
    """An engine's stream broke; it is resumed from event `next_event` on."""

    number: ClassVar[int] = 900
    engine_address: str
    request_id: str
    next_event: int
    cause: str


class EngineStreamFailed(Event, frozen=True):
    """An engine's stream ended without a whole answer."""

    number: ClassVar[int] = 901
    engine_address: str
    request_id: str
    problem: str
    ran: str


class EngineCancelFailed(Event, frozen=True):
    """An engine could not be told to cancel; it cancels by itself after a while."""

    number: ClassVar[int] = 902
    engine_address: str
    request_id: str
    problem: str
