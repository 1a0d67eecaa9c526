"""Replicated commands of programs and their results.

Times are seconds since 1970, durations are seconds. A command carries every table
cell that it depends on: replicas may have different versions of the table and must
not read it while applying a command.
"""

import msgspec

from notcharch.errors import Problem, Ran
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
    """Table cells that an admission depends on.

    `budget_tokens` comes from the row of the tree's root, the other cells from the
    program's row.
    """

    budget_tokens: int
    calls_per_program: int
    max_age_seconds: float


class ReleaseDuty(msgspec.Struct, frozen=True, order=True):
    """Obligation to release a program's memory on an engine until it confirms.

    `number` increases with each duty of the partition, so that a late confirmation
    of an earlier duty cannot confirm a newer one for the same program and engine.
    """

    program: ProgramId
    engine: EngineName
    number: int


class ExpiryCheck(msgspec.Struct, frozen=True):
    """A program to check for expiry, with the cells of its row."""

    program: ProgramId
    idle_seconds: float
    max_age_seconds: float


class BeginProgram(Command, frozen=True):
    """Create a program; idempotent for the same service, tenant and parent."""

    program: ProgramId
    service: ServiceName
    tenant: TenantName
    budget_tokens: int
    parent: ProgramId | None = None


class AdmitAttempt(Command, frozen=True):
    """Reserve budget for an attempt at the next call, or join a running attempt."""

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

    A second command for another engine states that the earlier engine certainly
    did not run the attempt; only the attempt's gateway sends it.
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
    """End an attempt whose gateway does not finish it; `reason` is for the caller."""

    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber
    reason: str


class StopProgram(Command, frozen=True):
    """End a program and its children at its tenant's request."""

    program: ProgramId
    tenant: TenantName


class ExpirePrograms(Command, frozen=True):
    """End programs that are idle or too old; remove ended ones after retention."""

    checks: tuple[ExpiryCheck, ...]
    retention_seconds: float


class ConfirmReleases(Command, frozen=True):
    """Drop duties whose engine confirmed the release or was removed."""

    duties: tuple[ReleaseDuty, ...]


class WrittenPage(msgspec.Struct, frozen=True):
    """Turns of a program, from `first_turn` (0-based), that the log service stores.

    `offset` is the offset of their record in the partition's history stream;
    `digest` is the digest of their uncompressed bytes.
    """

    program: ProgramId
    first_turn: int
    turn_count: int
    offset: LogOffset
    digest: bytes


class PageOut(Command, frozen=True):
    """Replace turns that the log service stores by references to them."""

    pages: tuple[WrittenPage, ...]


class ReadBarrier(Command, frozen=True):
    """Change nothing; its commit proves that later reads are current."""


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
"""All commands that `ProgramsState` applies."""


class CommandDone(CommandResult, frozen=True):
    """The command took effect, now or in an earlier application."""


class AttemptAdmitted(CommandResult, frozen=True):
    """A new attempt was admitted in `epoch` and has its reservation.

    `message_count` is the number of history messages before the new ones. `ran_before`
    tells whether an earlier attempt at the call may have run.
    """

    attempt: AttemptNumber
    epoch: Epoch
    service: ServiceName
    message_count: int
    prompt_tokens: int
    attained_tokens: int
    started_at: float
    prefix: PrefixLocation | None
    ran_before: Ran


class AttemptJoined(CommandResult, frozen=True):
    """The same call is already running as this attempt."""

    attempt: AttemptNumber


class CallFinishedBefore(CommandResult, frozen=True):
    """The same call already has its final outcome, which the state stores."""


class DispatchAccepted(CommandResult, frozen=True):
    """The dispatch is recorded; the gateway opens the stream with this epoch."""

    epoch: Epoch


class AttemptFinished(CommandResult, frozen=True):
    """The outcome is stored; `problem` is the stored form of a failure.

    `overrun_tokens` is the reported usage beyond the reservation; it is above zero
    only if an engine counts tokens differently than expected.
    """

    problem: Problem | None
    overrun_tokens: int = 0


class AttemptSuperseded(CommandResult, frozen=True):
    """The outcome was too late to be stored; its usage was settled."""

    problem: Problem


class ProgramsExpired(CommandResult, frozen=True):
    """Numbers of programs that the sweep ended and removed."""

    ended: int
    forgotten: int


class PagesDropped(CommandResult, frozen=True):
    """Number of pages dropped; the others no longer matched the history."""

    count: int
