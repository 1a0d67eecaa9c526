"""Events of programs' accounts and their owners: 2300 to 2399."""

from typing import ClassVar

from notcharch.events.event import Event
from notcharch.values.doubts import DoubtSource


class PartitionTakenOver(Event, frozen=True):
    """This daemon owns a partition and has read what was written before."""

    number: ClassVar[int] = 2300
    partition: int
    epoch: int
    records: int
    programs: int
    seconds: float
    doubted_tokens: int
    """Tokens that former owners may have let programs use."""
    history_doubt_seconds: float
    """How long records may be missing; 0 if none is."""


class PartitionGivenUp(Event, frozen=True):
    """This daemon owns a partition no more."""

    number: ClassVar[int] = 2301
    partition: int
    epoch: int
    cause: str


class BudgetRefused(Event, frozen=True):
    """An owner refused a call: the program's budget is spent."""

    number: ClassVar[int] = 2303
    request: str
    program: str
    partition: int
    epoch: int
    budget_tokens: int
    used_tokens: int
    under_way_tokens: int
    most_tokens: int


class TurnDenied(Event, frozen=True):
    """No partition keeps the turn that a call goes on from."""

    number: ClassVar[int] = 2304
    request: str
    program: str
    turn: str


class TurnAdopted(Event, frozen=True):
    """A turn of another program was copied to this program's partition."""

    number: ClassVar[int] = 2305
    request: str
    program: str
    turn: str


class TurnRefusedByLog(Event, frozen=True):
    """The log service does not take a turn that has run; its caller's stream is cut."""

    number: ClassVar[int] = 2307
    request: str
    program: str
    input_bytes: int
    output_bytes: int


class HistoryTooLong(Event, frozen=True):
    """A call was refused before it ran: the turns before it can't be kept or sent."""

    number: ClassVar[int] = 2308
    request: str
    program: str
    turn: str
    cause: str


class HistoryIncomplete(Event, frozen=True):
    """An owner can't tell whether it stored a turn: its log lost records too early."""

    number: ClassVar[int] = 2309
    partition: int
    epoch: int
    turn: str


class OwnerUnanswered(Event, frozen=True):
    """An owner didn't answer as one; the call waits or is refused."""

    number: ClassVar[int] = 2306
    request: str
    program: str
    partition: int
    owner: str
    view_age_seconds: float
    waited_seconds: float
    question: str


class BudgetDoubted(Event, frozen=True):
    """An owner refused a call for now: what its program has used is not known."""

    number: ClassVar[int] = 2310
    request: str
    program: str
    partition: int
    epoch: int
    budget_tokens: int
    used_tokens: int
    doubted_tokens: int
    unproven_tokens: int
    under_way_tokens: int
    most_tokens: int
    retry_seconds: float
    sources: tuple[DoubtSource, ...] = ()
    """Where the doubted and the unproven tokens come from."""


class DoubtTaken(Event, frozen=True):
    """An owner counts tokens of a program that were not certainly generated."""

    number: ClassVar[int] = 2311
    program: str
    partition: int
    epoch: int
    tokens: int
    sources: tuple[DoubtSource, ...]
    omitted_lines: int
    """Lines of further programs that were left out before this one."""


class GatewayLost(Event, frozen=True):
    """An owner doubts the calls of a process."""

    number: ClassVar[int] = 2312
    daemon: str
    incarnation: int
    cause: str
    newest_incarnation: int | None = None
    """The other process of the daemon that is connected."""
