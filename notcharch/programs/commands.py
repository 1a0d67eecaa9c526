"""The replicated commands of programs, and what applying them gives.

Sequences, attempts and token counts are integers, times are seconds since 1970,
lengths of time are seconds. A command carries every cell of the table that it
depends on: a replica must not read its own table, which may be of another version.
"""

import msgspec

from notcharch.errors import Problem
from notcharch.partitions.interface import Command, CommandResult
from notcharch.values.chat import Answer, ChatMessage, PrefixLocation
from notcharch.values.identifiers import (
    AttemptNumber,
    CallSequence,
    EngineName,
    Epoch,
    LogOffset,
    Member,
    ProgramId,
    ServiceName,
    TenantName,
)


class AdmissionLimits(msgspec.Struct, frozen=True):
    """The cells of the table that an admission depends on.

    `budget_tokens` is the cell of the tree's root's row, the others are those of
    the program's own row.
    """

    budget_tokens: int
    calls_per_program: int
    max_age_seconds: float


class ReleaseDuty(msgspec.Struct, frozen=True, order=True):
    """An engine that may hold memory of a program, until it confirms that not.

    `number` grows with each duty of the partition, so that a late confirmation of
    an earlier one cannot confirm a newer one for the same program and engine.
    """

    program: ProgramId
    engine: EngineName
    number: int


class ExpiryCheck(msgspec.Struct, frozen=True):
    """One program to look at, with the cells of its row."""

    program: ProgramId
    idle_seconds: float
    max_age_seconds: float


class BeginProgram(Command, frozen=True):
    """Create a program; a repeat for the same service and parent is harmless."""

    program: ProgramId
    service: ServiceName
    tenant: TenantName
    budget_tokens: int
    parent: ProgramId | None = None


class AdmitAttempt(Command, frozen=True):
    """Reserve budget for an attempt at the program's next call, or join one."""

    program: ProgramId
    tenant: TenantName
    sequence: CallSequence
    body_digest: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    repeatable: bool
    gateway: Member
    limits: AdmissionLimits
    parameter_tokens: int = 0


class RecordDispatch(Command, frozen=True):
    """Record the intent to run an attempt on an engine.

    A second one for another engine states that the earlier engine certainly did
    not run the attempt: only the attempt's own gateway sends it.
    """

    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber
    engine: EngineName


class FinishAttempt(Command, frozen=True):
    """End an attempt with an answer or with a problem."""

    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber
    answer: Answer | None = None
    problem: Problem | None = None


class AbandonAttempt(Command, frozen=True):
    """End an attempt whose gateway no longer drives it; `reason` is for the caller."""

    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber
    reason: str


class StopProgram(Command, frozen=True):
    """End a program and its children at its tenant's request."""

    program: ProgramId
    tenant: TenantName


class ExpirePrograms(Command, frozen=True):
    """End the programs that are idle or too old; forget those ended long ago."""

    checks: tuple[ExpiryCheck, ...]
    retention_seconds: float


class ConfirmReleases(Command, frozen=True):
    """Drop duties whose engine confirmed the release, or is gone."""

    duties: tuple[ReleaseDuty, ...]


class WrittenPage(msgspec.Struct, frozen=True):
    """Turns of a program, from turn `first_turn` (0-based) on, that the log has.

    `offset` is that of their record in the partition's stream of histories;
    `digest` is that of the turns' plain bytes.
    """

    program: ProgramId
    first_turn: int
    turn_count: int
    offset: LogOffset
    digest: bytes


class PageOut(Command, frozen=True):
    """Drop turns that the log service surely has, and keep references to them."""

    pages: tuple[WrittenPage, ...]


class ReadBarrier(Command, frozen=True):
    """Change nothing; its commit proves that the reads after it are current."""


COMMANDS: tuple[type[Command], ...] = (
    BeginProgram,
    AdmitAttempt,
    RecordDispatch,
    FinishAttempt,
    AbandonAttempt,
    StopProgram,
    ExpirePrograms,
    ConfirmReleases,
    PageOut,
    ReadBarrier,
)
"""Every command that `ProgramsState` applies."""


class CommandDone(CommandResult, frozen=True):
    """The command took effect, now or when it was applied before."""


class AttemptAdmitted(CommandResult, frozen=True):
    """A new attempt has its reservation; `epoch` is the one it was applied in.

    `message_count` is the length of the history that goes before the new messages.
    """

    attempt: AttemptNumber
    epoch: Epoch
    service: ServiceName
    message_count: int
    prompt_tokens: int
    attained_tokens: int
    started_at: float
    prefix: PrefixLocation | None


class AttemptJoined(CommandResult, frozen=True):
    """The same call already runs as this attempt."""

    attempt: AttemptNumber


class CallFinishedBefore(CommandResult, frozen=True):
    """The same call has its final outcome, which can be read from the state."""


class DispatchAccepted(CommandResult, frozen=True):
    """The intent is recorded; the stream is opened under this epoch."""

    epoch: Epoch


class AttemptFinished(CommandResult, frozen=True):
    """The outcome is stored; `problem` is how it was stored when it is a failure.

    `overrun_tokens` is by how much the reported usage passed the reservation, which
    only an engine that counts otherwise than agreed can cause.
    """

    problem: Problem | None
    overrun_tokens: int = 0


class AttemptSuperseded(CommandResult, frozen=True):
    """The outcome came too late and was not stored; its usage was still settled."""

    problem: Problem


class ProgramsExpired(CommandResult, frozen=True):
    """How many programs the sweep ended and how many it forgot."""

    ended: int
    forgotten: int


class PagesDropped(CommandResult, frozen=True):
    """How many of the pages were dropped; the others did not fit any more."""

    count: int
