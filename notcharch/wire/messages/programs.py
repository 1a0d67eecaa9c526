"""Requests that a gateway sends to the leader of a program's partition.

The life of one call: `AdmitCall` reserves budget and fixes the sequence,
`DispatchCall` records the engine before anything is sent to it, `FinishCall`
stores the answer and settles the budget. Each reply is sent only after the
change is in the journal of the partition.
"""

from notcharch.errors import Problem, Ran
from notcharch.values.chat import Answer, ChatMessage, PrefixLocation
from notcharch.values.identifiers import (
    AttemptNumber,
    CallSequence,
    EngineName,
    Epoch,
    Member,
    ProgramId,
    ServiceName,
    TenantName,
)
from notcharch.wire.messages.base import Message


class CreateProgram(Message, frozen=True):
    """Begin a program; repeating the same `program` id is harmless.

    The gateway draws the id (in the parent's partition for a child), so a
    repeated request names the same program. Reply: `ProgramCreated`.
    """

    program: ProgramId
    service: ServiceName
    tenant: TenantName
    parent: ProgramId | None = None


class ProgramCreated(Message, frozen=True):
    """The program is in the journal."""

    program: ProgramId


class AdmitCall(Message, frozen=True):
    """Ask to run one call of a program.

    `body_digest` recognises a repeat of the same call; `messages` are only the
    new ones; `max_tokens` bounds the answer. `parameter_tokens` bounds what the
    call's parameters (its tools, for example) add to the prompt. Reply:
    `CallAdmitted`, `CallInProgress`, `CallAnswered` or `Refusal`.
    """

    program: ProgramId
    tenant: TenantName
    sequence: CallSequence
    body_digest: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    repeatable: bool
    gateway: Member
    parameter_tokens: int = 0


class CallAdmitted(Message, frozen=True):
    """The call may run now, as this attempt, by the asking gateway.

    `history` is every earlier message of the program, oldest first; the new
    messages follow it in the prompt. `prompt_tokens` is an upper bound in
    tokens. `attained_tokens` is the service that the whole program tree has
    had so far. `started_at` is the program's first call, in seconds since
    1970. `epoch` is the leader's. `ran_before` tells whether an earlier attempt
    at the call may have run; an older leader does not say so.
    """

    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber
    epoch: Epoch
    service: ServiceName
    history: tuple[ChatMessage, ...]
    prompt_tokens: int
    attained_tokens: int
    started_at: float
    prefix: PrefixLocation | None = None
    ran_before: Ran = Ran.UNKNOWN


class CallInProgress(Message, frozen=True):
    """The call is running by another gateway or an earlier request; await it."""

    sequence: CallSequence
    attempt: AttemptNumber


class CallAnswered(Message, frozen=True):
    """The stored answer of a finished call."""

    sequence: CallSequence
    answer: Answer


class CallFailed(Message, frozen=True):
    """The stored final failure of a call."""

    sequence: CallSequence
    problem: Problem


class AwaitAnswer(Message, frozen=True):
    """Wait up to `wait_seconds` for a call's answer.

    Reply: `CallAnswered`, `CallFailed`, `CallInProgress` or `Refusal`.
    """

    program: ProgramId
    tenant: TenantName
    sequence: CallSequence
    wait_seconds: float


class DispatchCall(Message, frozen=True):
    """Record, before opening the stream, the engine on which an attempt will run."""

    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber
    engine: EngineName


class DispatchRecorded(Message, frozen=True):
    """The dispatch is in the journal; the stream may be opened with `epoch`."""

    epoch: Epoch


class FinishCall(Message, frozen=True):
    """End an attempt: with an answer, or with a problem.

    A problem with `ran: no` gives the whole reservation back and, for a
    repeatable call or when nothing was dispatched, lets the caller try the
    same sequence again.
    """

    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber
    answer: Answer | None = None
    problem: Problem | None = None


class FinishRecorded(Message, frozen=True):
    """The outcome is in the journal.

    `problem` is a failure as it was stored, to be given to the caller in place of
    the gateway's own: its `ran` speaks for all attempts at the call.
    """

    problem: Problem | None = None


class EndProgram(Message, frozen=True):
    """End a program and its children; harmless when repeated."""

    program: ProgramId
    tenant: TenantName


class ProgramEnded(Message, frozen=True):
    """The end is recorded; engines release its memory from now on."""


class ReadHistory(Message, frozen=True):
    """Read a page of committed history, from message `start`, oldest first."""

    program: ProgramId
    tenant: TenantName
    start: int
    limit: int


class HistoryPage(Message, frozen=True):
    """A page of history; `total` counts all messages of the program."""

    messages: tuple[ChatMessage, ...]
    start: int
    total: int


class DescribeProgram(Message, frozen=True):
    """Ask for a program's state. Reply: `ProgramDescription`."""

    program: ProgramId
    tenant: TenantName | None
    """None for an operator, who sees every tenant's programs."""


class ProgramDescription(Message, frozen=True):
    """What a caller or operator may know of a program; tokens and seconds."""

    program: ProgramId
    service: ServiceName
    tenant: TenantName
    parent: ProgramId | None
    ended: bool
    next_sequence: CallSequence
    message_count: int
    budget_tokens: int
    reserved_tokens: int
    spent_tokens: int
    started_at: float


class ListPrograms(Message, frozen=True):
    """Ask a daemon for the programs of the partitions that it leads."""

    limit: int
    service: ServiceName | None = None


class ProgramListing(Message, frozen=True):
    """Programs of one daemon's partitions; `truncated` when there were more."""

    programs: tuple[ProgramDescription, ...]
    truncated: bool


class CheckProgramsLive(Message, frozen=True):
    """Ask the leader which of these programs have ended or are unknown."""

    programs: tuple[ProgramId, ...]


class ProgramsNotLive(Message, frozen=True):
    """The programs of the question whose engine memory must be released.

    `epoch` is the answering leader's: the fence with which they are released.
    """

    programs: tuple[ProgramId, ...]
    epoch: Epoch = Epoch(0)
