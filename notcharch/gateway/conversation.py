"""Finds the new messages of a conversation that a client resends in each call.

OpenAI clients send the complete conversation. Its known part must match the history of
the program message by message.
"""

import msgspec
from result import Err, Ok, Result

from notcharch.errors import Finding, Problem
from notcharch.gateway.validation import bad_request
from notcharch.values.chat import ChatMessage

ANSWER_ROLE = "assistant"


class NewMessages(msgspec.Struct, frozen=True):
    """The messages after the known history, which form the next call."""

    messages: tuple[ChatMessage, ...]


class RepeatedCall(msgspec.Struct, frozen=True):
    """The conversation ends before the answer of an earlier call.

    `later_answers` is the number of answers after that `answer`.
    """

    answer: ChatMessage
    later_answers: int


def split_conversation(
    sent: tuple[ChatMessage, ...], history: tuple[ChatMessage, ...]
) -> Result[NewMessages | RepeatedCall, Problem]:
    """Compare a conversation with the complete history of its program."""
    findings = [
        Finding(f"messages[{index}]", "differs from the program's history")
        for index, (received, known) in enumerate(zip(sent, history, strict=False))
        if not is_same_message(received, known)
    ]
    if findings:
        return Err(bad_request(findings[:1]))
    if len(sent) > len(history):
        return _new_messages(sent, len(history))
    rest = history[len(sent) :]
    if rest and rest[0].role == ANSWER_ROLE and sent[-1].role != ANSWER_ROLE:
        later_answers = sum(message.role == ANSWER_ROLE for message in rest[1:])
        return Ok(RepeatedCall(rest[0], later_answers))
    finding = Finding("messages", "contain nothing new after the program's history")
    return Err(bad_request([finding]))


def is_same_message(received: ChatMessage, known: ChatMessage) -> bool:
    """Compare messages, ignoring the formatting of JSON and of empty contents."""
    return (
        received.role == known.role
        and (received.content or "") == (known.content or "")
        and received.name == known.name
        and received.tool_call_id == known.tool_call_id
        and _decoded(received.tool_calls) == _decoded(known.tool_calls)
    )


def _new_messages(
    sent: tuple[ChatMessage, ...], known: int
) -> Result[NewMessages | RepeatedCall, Problem]:
    findings = [
        Finding(
            f"messages[{index}]",
            "is an assistant message that is not in the program's history",
        )
        for index, message in enumerate(sent)
        if index >= known > 0 and message.role == ANSWER_ROLE
    ]
    if findings:
        return Err(bad_request(findings))
    return Ok(NewMessages(sent[known:]))


def _decoded(raw: msgspec.Raw | msgspec.UnsetType) -> object:
    return None if isinstance(raw, msgspec.UnsetType) else msgspec.json.decode(raw)
