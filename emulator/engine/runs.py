"""One accepted request of an engine: its state, its answer and who reads it."""

import enum
from typing import Protocol

import attrs
import msgspec
from twisted.internet.interfaces import IDelayedCall

from emulator.engine.answers import PlannedAnswer
from emulator.engine.prefix_cache import CacheHold, PrefixChain
from notcharch.clients.ports import EngineRequest
from notcharch.values.chat import TokenUsage


class RunState(enum.Enum):
    """The states of the protocol page."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class RunStatus(msgspec.Struct, frozen=True):
    """The reply about one request; `events` counts those of its stream so far."""

    state: RunState
    events: int


class RunListener(Protocol):
    """Reads a run's events; they are numbered, so it keeps its own offset."""

    def run_progressed(self, run: "EngineRun") -> None:
        """More events are there, or the run has ended."""

    def run_broken(self, run: "EngineRun") -> None:
        """Learn that the connection was cut; the run may go on without it."""


@attrs.define(eq=False)
class EngineRun:
    """A request from its acceptance to its end."""

    request: EngineRequest
    answer: PlannedAnswer
    order: int
    chain: PrefixChain
    prompt_tokens: int
    accepted_at: float
    state: RunState = RunState.QUEUED
    hold: CacheHold | None = None
    cached_tokens: int = 0
    prefill_left: int = 0
    tokens: int = 0
    """Answer tokens given so far."""

    first_step: int | None = None
    """The batch's step that gave the first token."""

    first_token_at: float | None = None
    ended_at: float | None = None
    event_head: str = ""
    """The start of each chunk of the stream, once it was written."""

    listeners: list[RunListener] = attrs.field(factory=list)
    abandonment: IDelayedCall | None = None
    """Cancels the run when no reader returns in time."""

    @property
    def ended(self) -> bool:
        """Whether the stream is complete or cancelled."""
        return self.state in (RunState.FINISHED, RunState.CANCELLED)

    @property
    def events(self) -> int:
        """Count the stream's events so far: one a token, and one for the end."""
        return self.tokens + (self.state is RunState.FINISHED)

    @property
    def usage(self) -> TokenUsage:
        """Give the tokens used so far."""
        return TokenUsage(self.prompt_tokens, self.tokens, self.cached_tokens)

    @property
    def status(self) -> RunStatus:
        """Give the protocol's reply about this run."""
        return RunStatus(self.state, self.events)

    def filled_tokens(self) -> int:
        """Count the tokens, from the prompt's start, whose cache has been filled."""
        return self.prompt_tokens - self.prefill_left + self.tokens

    def tell_listeners(self) -> None:
        """Let the readers take new events."""
        for listener in tuple(self.listeners):
            listener.run_progressed(self)
