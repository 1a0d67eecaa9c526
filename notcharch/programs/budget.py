"""The token budget of a program tree, stored at its root.

At each reservation, `settled + reserved + unresolved` stays within the current limit.
A reservation is released only for an attempt that certainly did not run.
"""

import msgspec

from notcharch.values.chat import Answer, ChatMessage, TokenUsage
from notcharch.values.identifiers import AttemptNumber, CallSequence, ProgramId

MESSAGE_OVERHEAD_TOKENS = 8
"""Tokens of one message in a prompt, in addition to its bytes."""

MAX_UNRESOLVED_CHARGES = 16
"""Number of charges that can still be corrected; older ones are final."""


class UnresolvedCharge(msgspec.Struct, frozen=True, array_like=True):
    """The reservation of an attempt of unknown usage that may have run."""

    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber
    tokens: int


class TreeBudget(msgspec.Struct, array_like=True):
    """Limit (the newest cell) and use of a tree's budget, in tokens.

    `settled` was reported by engines, `reserved` belongs to running attempts, and
    `unresolved` is charged for attempts whose outcome is unknown.
    """

    limit: int
    settled: int = 0
    reserved: int = 0
    unresolved: int = 0
    charges: list[UnresolvedCharge] = msgspec.field(default_factory=list)

    @property
    def committed(self) -> int:
        """Tokens that are spent, reserved or possibly spent."""
        return self.settled + self.reserved + self.unresolved

    @property
    def remaining(self) -> int:
        """Tokens available for a new reservation."""
        return self.limit - self.committed

    @property
    def unspent(self) -> int:
        """Tokens left if all running attempts used nothing."""
        return self.limit - self.settled - self.unresolved

    def reserve(self, tokens: int) -> None:
        """Reserve tokens for an attempt; the caller has checked `remaining`."""
        self.reserved += tokens

    def release_reservation(self, tokens: int) -> None:
        """Release the reservation of an attempt that certainly did not run."""
        self.reserved -= tokens

    def settle(self, tokens: int, usage: TokenUsage) -> None:
        """Replace a reservation with the reported usage."""
        self.reserved -= tokens
        self.settled += usage.total_tokens

    def mark_unresolved(self, charge: UnresolvedCharge) -> None:
        """Charge the reservation of an attempt that may have run."""
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
        """Replace an unresolved charge with the usage; False if there is none."""
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
    """Return an upper bound of a message's prompt tokens, from its bytes."""
    texts = (message.role, message.content, message.name, message.tool_call_id)
    size = sum(len(text.encode()) for text in texts[1:] if text is not None)
    if not isinstance(message.tool_calls, msgspec.UnsetType):
        size += len(bytes(message.tool_calls))
    return size + MESSAGE_OVERHEAD_TOKENS


def prompt_token_bound(context_tokens: int, messages: tuple[ChatMessage, ...]) -> int:
    """Return an upper bound of a call's prompt tokens."""
    return context_tokens + sum(message_token_bound(message) for message in messages)


def context_token_bound(answer: Answer) -> int:
    """Return an upper bound of the history's tokens after this answer.

    The answer counts as the larger of its reported tokens and its bytes: an engine
    may tokenize a generated text differently when it is part of a prompt.
    """
    generated = answer.usage.completion_tokens + MESSAGE_OVERHEAD_TOKENS
    return answer.usage.prompt_tokens + max(
        generated, message_token_bound(answer.message)
    )
