"""The record of one program in the replicated state."""

import enum
import hashlib

import msgspec

from notcharch.errors import Problem, Ran
from notcharch.programs.budget import TreeBudget
from notcharch.programs.history import History
from notcharch.values.chat import PrefixLocation
from notcharch.values.identifiers import (
    AttemptNumber,
    CallSequence,
    EngineName,
    Member,
    ProgramId,
    ServiceName,
    TenantName,
)

DIGEST_BYTES = 16


class CallPhase(enum.Enum):
    """Phase of the newest attempt at the program's open call."""

    ADMITTED = "admitted"
    """The budget is reserved; nothing has run."""

    DISPATCHED = "dispatched"
    """The dispatch to an engine is recorded; it may have run."""

    FAILED = "failed"
    """It ended without an answer; the call may be tried again."""


class EndReason(enum.Enum):
    """Why a program ended."""

    REQUESTED = "requested"
    IDLE = "idle"
    AGE = "age"
    PARENT = "parent"


class OpenCall(msgspec.Struct, array_like=True):
    """The admitted call of a program that has no final outcome yet.

    `messages` has the new messages, encoded as in `turns`. The newest attempt was
    dispatched to `engines` and runs on the last one. `may_have_run` is true if any
    attempt may have reached an engine.
    """

    sequence: CallSequence
    digest: bytes
    repeatable: bool
    messages: bytes
    attempt: AttemptNumber
    phase: CallPhase
    gateway: Member
    reserved_tokens: int
    phase_at: float
    engines: tuple[EngineName, ...] = ()
    may_have_run: bool = False
    failure: Problem | None = None

    @property
    def running(self) -> bool:
        """Whether a gateway may still be running the newest attempt."""
        return self.phase is not CallPhase.FAILED


class ProgramRecord(msgspec.Struct, array_like=True):
    """One program. Only the root of a tree has a `budget`.

    `context_tokens` is an upper bound of the history's tokens in a prompt. `engines`
    may hold memory of the program. `finished` counts calls with a final outcome.
    """

    program: ProgramId
    service: ServiceName
    tenant: TenantName
    parent: ProgramId | None
    root: ProgramId
    created_at: float
    active_at: float
    started_at: float | None = None
    ended_at: float | None = None
    end_reason: EndReason | None = None
    finished: int = 0
    context_tokens: int = 0
    prefix: PrefixLocation | None = None
    engines: tuple[EngineName, ...] = ()
    children: tuple[ProgramId, ...] = ()
    call: OpenCall | None = None
    budget: TreeBudget | None = None
    tree_size: int = 1
    history: History = msgspec.field(default_factory=History)

    @property
    def ended(self) -> bool:
        """Whether the program has ended and refuses new calls."""
        return self.ended_at is not None

    @property
    def next_sequence(self) -> CallSequence:
        """Sequence of the call that may be admitted next."""
        return CallSequence(self.finished + 1)

    @property
    def running_call(self) -> OpenCall | None:
        """The open call while an attempt at it may be running, else None."""
        if self.call is not None and self.call.running:
            return self.call
        return None

    @property
    def ran_so_far(self) -> Ran:
        """Whether an attempt at the next call may have run."""
        call = self.call
        may_have_run = call is not None and call.may_have_run
        return Ran.UNKNOWN if may_have_run else Ran.NO


def call_digest(body_digest: str, repeatable: bool) -> bytes:
    """Return the digest that identifies a repeat of a call."""
    text = f"{int(repeatable)}{body_digest}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
