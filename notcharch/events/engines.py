"""Events of engines' stewards and of the choice of engines: 500 … 599."""

from typing import ClassVar

from notcharch.events.event import Event


class PeriodicTaskFailed(Event, frozen=True):
    """A periodic task of a steward raised an error; it runs again next time."""

    number: ClassVar[int] = 500
    task: str
    error: str


class StewardshipBegun(Event, frozen=True):
    """This daemon recorded its claim and grants calls of the engine from now on."""

    number: ClassVar[int] = 501
    engine: str
    epoch: int


class StewardshipEnded(Event, frozen=True):
    """This daemon stopped granting calls of the engine; `reason` says why."""

    number: ClassVar[int] = 502
    engine: str
    reason: str


class ClaimFailed(Event, frozen=True):
    """A claim of stewardship could not be recorded; it is tried again."""

    number: ClassVar[int] = 503
    engine: str
    code: str
    message: str


class EngineClosed(Event, frozen=True):
    """The engine gets no new work; its waiting calls were sent elsewhere."""

    number: ClassVar[int] = 504
    engine: str
    waiting: int


class EngineOpened(Event, frozen=True):
    """The engine gets new work again."""

    number: ClassVar[int] = 505
    engine: str


class GatewayFreed(Event, frozen=True):
    """Grants and waiting calls of a dead gateway process were freed."""

    number: ClassVar[int] = 506
    engine: str
    gateway: str
    incarnation: int


class CacheEventsLost(Event, frozen=True):
    """Cache events were lost; the engine's own list is read to catch up."""

    number: ClassVar[int] = 507
    engine: str
    lost: int
    restarted: bool


class PrefixesSwept(Event, frozen=True):
    """The engine held prefixes of programs that are not live; they are released."""

    number: ClassVar[int] = 508
    engine: str
    programs: int


class ReleaseFenced(Event, frozen=True):
    """The engine refused a release because it saw a higher epoch of the program."""

    number: ClassVar[int] = 509
    engine: str
    program: str
    epoch: int


class OrderFenced(Event, frozen=True):
    """The engine refused an order because it saw a higher steward epoch."""

    number: ClassVar[int] = 510
    engine: str
    epoch: int


class CallPlacementFailed(Event, frozen=True):
    """No engine was found for a call; its caller was told when to come back."""

    number: ClassVar[int] = 511
    program: str
    pool: str
    code: str


class GrantReturnFailed(Event, frozen=True):
    """An engine's steward could not be told of a returned grant or a withdrawal."""

    number: ClassVar[int] = 512
    engine: str
    message: str


class PrefixMoved(Event, frozen=True):
    """A program's cached prefix was moved between engines; tokens and seconds."""

    number: ClassVar[int] = 513
    program: str
    source: str
    target: str
    tokens: int
    seconds: float


class PrefixNotMoved(Event, frozen=True):
    """A prefix could not be moved; the target engine computes it again."""

    number: ClassVar[int] = 514
    program: str
    source: str
    target: str
    seconds: float
