"""Events of the leaders of programs (numbers 400 to 499)."""

from typing import ClassVar

from notcharch.events.event import Event
from notcharch.values.identifiers import (
    AttemptNumber,
    CallSequence,
    EngineName,
    LogOffset,
    PartitionNumber,
    ProgramId,
)


class AttemptAbandoned(Event, frozen=True):
    """An attempt was given up, since its gateway no longer drives it."""

    number: ClassVar[int] = 400
    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber
    reason: str


class OutcomeLost(Event, frozen=True):
    """An unrepeatable call may have run; it is answered with outcome_unknown."""

    number: ClassVar[int] = 401
    program: ProgramId
    sequence: CallSequence


class ProgramsSwept(Event, frozen=True):
    """Idle or too old programs were ended, or ended ones forgotten."""

    number: ClassVar[int] = 402
    partition: PartitionNumber
    ended: int
    forgotten: int


class ReleaseDelayed(Event, frozen=True):
    """An engine has not confirmed a release after several tries; they go on."""

    number: ClassVar[int] = 403
    program: ProgramId
    engine: EngineName
    tries: int
    reason: str


class UsageAboveBound(Event, frozen=True):
    """An engine reported more tokens than the reservation, which bounds them."""

    number: ClassVar[int] = 404
    program: ProgramId
    sequence: CallSequence
    overrun_tokens: int


class LateOutcomeRefused(Event, frozen=True):
    """A gateway finished an attempt that had been given up; a newer one counts."""

    number: ClassVar[int] = 405
    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber


class SweepFailed(Event, frozen=True):
    """A periodic step of the leader raised an exception: a defect of the program."""

    number: ClassVar[int] = 406
    reason: str


class HistoriesPagedOut(Event, frozen=True):
    """Turns of idle programs left the memory; the log service has them."""

    number: ClassVar[int] = 407
    partition: PartitionNumber
    pages: int
    plain_bytes: int


class PageOutDelayed(Event, frozen=True):
    """Histories are above their bound, and nothing can leave the memory now."""

    number: ClassVar[int] = 408
    held_bytes: int
    bound_bytes: int


class PagesUnreadable(Event, frozen=True):
    """Pages cannot be read; calls of programs that need them are refused."""

    number: ClassVar[int] = 409
    reason: str


class PagesReadable(Event, frozen=True):
    """Pages can be read again."""

    number: ClassVar[int] = 410


class PageDamaged(Event, frozen=True):
    """The log service gives another content than was written; it was not used."""

    number: ClassVar[int] = 411
    partition: PartitionNumber
    program: ProgramId
    offset: LogOffset
    reason: str
