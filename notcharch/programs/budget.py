"""The token budget of a program tree, kept at its root.

`settled + reserved + unresolved` never passes the limit in force at the moment of
a reservation. Tokens are given back only for an attempt that certainly did not run.
"""

import msgspec

from notcharch.values.chat import Answer, ChatMessage, TokenUsage
from notcharch.values.identifiers import AttemptNumber, CallSequence, ProgramId

MESSAGE_OVERHEAD_TOKENS = 8
"""Tokens beyond its bytes that one message may cost in a prompt."""

MAX_UNRESOLVED_CHARGES = 16
"""Charges that can still be corrected; older ones stay charged for ever."""


class UnresolvedCharge(msgspec.Struct, frozen=True, array_like=True):
    """The reservation of an attempt that may have run, with unknown usage."""

    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber
    tokens: int


class TreeBudget(msgspec.Struct, array_like=True):
    """What a tree may spend (`limit`, the newest cell) and has spent, in tokens.

    `settled` was reported by engines, `reserved` belongs to running attempts,
    `unresolved` stays charged for attempts whose outcome is not known.
    """

    limit: int
    settled: int = 0
    reserved: int = 0
    unresolved: int = 0
    charges: list[UnresolvedCharge] = msgspec.field(default_factory=list)

    @property
    def committed(self) -> int:
        """Give all tokens that are spent, reserved or possibly spent."""
        return self.settled + self.reserved + self.unresolved

    @property
    def remaining(self) -> int:
        """Give the tokens that a new reservation may take."""
        return self.limit - self.committed

    @property
    def unspent(self) -> int:
        """Give what is left if all running attempts were to use nothing."""
        return self.limit - self.settled - self.unresolved

    def reserve(self, tokens: int) -> None:
        """Take a reservation for an attempt; the caller has checked `remaining`."""
        self.reserved += tokens

    def release_reservation(self, tokens: int) -> None:
        """Return the reservation of an attempt that certainly did not run."""
        self.reserved -= tokens

    def settle(self, tokens: int, usage: TokenUsage) -> None:
        """Replace a reservation by the reported usage."""
        self.reserved -= tokens
        self.settled += usage.total_tokens

    def mark_unresolved(self, charge: UnresolvedCharge) -> None:
        """Keep a reservation charged, since its attempt may have run."""
        self.reserved -= charge.tokens
        self.unresolved += charge.tokens
        self.charges.append(charge)
        del self.charges[:-MAX_UNRESOLVED_CHARGES]

    def resolve(
        self,
        program: ProgramId,
        sequence: CallSequence,
        attempt: AttemptNumber,
        used_tokens: int,
    ) -> bool:
        """Replace a held charge by what was used; False if it is not known."""
        for index, charge in enumerate(self.charges):
            if (charge.program, charge.sequence, charge.attempt) == (
                program,
                sequence,
                attempt,
            ):
                del self.charges[index]
                self.unresolved -= charge.tokens
                self.settled += used_tokens
                return True
        return False


def message_token_bound(message: ChatMessage) -> int:
    """Bound the tokens of one message in a prompt by its bytes."""
    texts = (message.role, message.content, message.name, message.tool_call_id)
    size = sum(len(text.encode()) for text in texts[1:] if text is not None)
    if not isinstance(message.tool_calls, msgspec.UnsetType):
        size += len(bytes(message.tool_calls))
    return size + MESSAGE_OVERHEAD_TOKENS


def prompt_token_bound(context_tokens: int, messages: tuple[ChatMessage, ...]) -> int:
    """Bound the prompt of a call by the bound of its history and its new messages."""
    return context_tokens + sum(message_token_bound(message) for message in messages)


def context_token_bound(answer: Answer) -> int:
    """Bound the history, once it ends with this answer.

    The prompt is as the engine reported it. The answer counts as whichever is
    more, its reported tokens or its bytes: an engine may count a generated text
    otherwise when it comes back as a message.
    """
    generated = answer.usage.completion_tokens + MESSAGE_OVERHEAD_TOKENS
    return answer.usage.prompt_tokens + max(
        generated, message_token_bound(answer.message)
    )
