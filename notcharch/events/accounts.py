"""Events of programs' accounts and their owners: 2300 to 2399."""

from typing import ClassVar

from notcharch.events.event import Event


class PartitionTakenOver(Event, frozen=True):
    """This daemon owns a partition and has read what was written before."""

    number: ClassVar[int] = 2300
    partition: int
    epoch: int
    records: int
    programs: int
    seconds: float


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
