"""A call on its way through a simulation, and who hears of it."""

from typing import Protocol

import attrs

from experiments.simulation.workload import ServiceSection
from notcharch.values.chat import ChatMessage, TokenUsage
from notcharch.values.identifiers import EngineName, ProgramId


@attrs.define(eq=False)
class ProgramTree:
    """What a root program and its children have used together."""

    used_tokens: int = 0


@attrs.define(eq=False)
class ProgramState:
    """What the system knows of one program."""

    program: ProgramId
    service: ServiceSection
    tree: ProgramTree
    ended: bool = False
    holder: EngineName | None = None
    """The engine that ran the last call, and the tokens that it held then."""

    held_tokens: int = 0


class CallListener(Protocol):
    """The caller's side."""

    def first_token(self, call: "Call", prefill_seconds: float) -> None:
        """Hear of the first token; the prompt itself took `prefill_seconds`."""

    def answered(self, call: "Call", content: str) -> None:
        """Take the whole answer."""

    def refused(self, call: "Call", retry_after: float | None) -> None:
        """Learn that the call was not run; None: it never will be."""


@attrs.define(eq=False)
class Call:
    """One call; a repeat that a policy does not join is a `Call` of its own."""

    state: ProgramState
    sequence: int
    attempt: int
    messages: tuple[ChatMessage, ...]
    prompt_tokens: int
    listener: CallListener
    sent_at: float
    abandoned: bool = False
    """Whether the caller has gone away."""

    granted_at: float | None = None


@attrs.frozen
class RunEnd:
    """How a call's run on an engine ended; `usage` None: lost or cancelled."""

    call: Call
    engine: EngineName
    usage: TokenUsage | None
