"""Requests to the steward of an engine: queueing, grants, quotes, release."""

from notcharch.values.chat import TokenUsage
from notcharch.values.identifiers import (
    AttemptNumber,
    CallSequence,
    EngineName,
    Epoch,
    GrantId,
    Member,
    ProgramId,
    ServiceName,
)
from notcharch.wire.messages.base import Message


class EnqueueCall(Message, frozen=True):
    """Queue a call at an engine. Tokens are counts; waits are seconds.

    `share` and `priority` are the cells of the service's row (a lower number
    is a higher priority). `attained_tokens` is what the whole program tree has
    had. If the expected wait exceeds `defer_above_seconds`, the steward
    answers `CallDeferred` at once and queues nothing, so that the gateway may
    choose another engine. After `give_up_seconds` in the queue the reply is a
    `Refusal` with `retry_after` and `ran: no`.

    Reply: `CallGranted`, `CallDeferred` or `Refusal`.
    """

    engine: EngineName
    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber
    service: ServiceName
    gateway: Member
    share: float
    priority: int
    attained_tokens: int
    prompt_tokens: int
    cached_tokens: int
    max_tokens: int
    defer_above_seconds: float
    give_up_seconds: float
    begun: bool
    """Whether the program had an answer before: it goes before a new one."""


class CallGranted(Message, frozen=True):
    """The gateway may open one stream on the engine.

    `address` is `host:port`. `steward_epoch` fences the engine's orders.
    """

    grant: GrantId
    engine: EngineName
    address: str
    steward_epoch: Epoch


class CallDeferred(Message, frozen=True):
    """The queue is longer than the caller's limit; nothing was queued."""

    expected_wait_seconds: float


class CancelQueued(Message, frozen=True):
    """Withdraw a queued call whose caller is gone; harmless when repeated."""

    engine: EngineName
    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber


class GrantReturned(Message, frozen=True):
    """The stream of a grant has ended, with the usage if there was one."""

    engine: EngineName
    grant: GrantId
    usage: TokenUsage | None
    succeeded: bool


class QuoteEngine(Message, frozen=True):
    """Ask what a call would wait at an engine. Reply: `EngineQuote`."""

    engine: EngineName
    program: ProgramId
    prompt_tokens: int


class EngineQuote(Message, frozen=True):
    """A steward's estimate; `cached_tokens` is the prefix it believes is held."""

    engine: EngineName
    expected_wait_seconds: float
    prefill_tokens_per_second: float
    cached_tokens: int
    accepting: bool


class ReleasePrefix(Message, frozen=True):
    """Free an ended program's memory on an engine; retried until confirmed."""

    engine: EngineName
    program: ProgramId
    epoch: Epoch


class PrefixReleased(Message, frozen=True):
    """The engine confirmed that it holds nothing of the program."""


class DrainEngine(Message, frozen=True):
    """Stop (or resume) giving an engine new work."""

    engine: EngineName
    drain: bool


class ListEngines(Message, frozen=True):
    """Ask a daemon for the engines that it stewards. Reply: `EngineListing`."""


class EngineDescription(Message, frozen=True):
    """A steward's view of its engine; `load_age_seconds` is the load's age."""

    engine: EngineName
    pool: str
    zone: str
    state: str
    queued: int
    granted: int
    slots: int
    free_blocks: int
    total_blocks: int
    load_age_seconds: float
    steward: Member
    steward_epoch: Epoch


class EngineListing(Message, frozen=True):
    """The engines of one steward daemon."""

    engines: tuple[EngineDescription, ...]


class Acknowledged(Message, frozen=True):
    """A request was carried out and has nothing else to say."""
