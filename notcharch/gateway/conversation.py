"""Finds what is new in a conversation that a client sends whole each time.

An ordinary OpenAI client resends everything. What is known must agree with the
program's history message by message, so that nothing is mixed or forgotten.
"""

import msgspec
from result import Err, Ok, Result

from notcharch.errors import Finding, Problem
from notcharch.gateway.validation import bad_request
from notcharch.values.chat import ChatMessage

ANSWER_ROLE = "assistant"


class NewMessages(msgspec.Struct, frozen=True):
    """The messages after the known history; the next call consists of them."""

    messages: tuple[ChatMessage, ...]


class RepeatedCall(msgspec.Struct, frozen=True):
    """The conversation ends where an earlier call was answered.

    `answer` is that answer; `later_answers` counts the answers after it.
    """

    answer: ChatMessage
    later_answers: int


def split_conversation(
    sent: tuple[ChatMessage, ...], history: tuple[ChatMessage, ...]
) -> Result[NewMessages | RepeatedCall, Problem]:
    """Compare a conversation with the whole history of its program."""
    findings = [
        Finding(f"messages[{index}]", "differs from the program's history")
        for index, (mine, known) in enumerate(zip(sent, history, strict=False))
        if not is_same_message(mine, known)
    ]
    if findings:
        return Err(bad_request(findings[:1]))
    if len(sent) > len(history):
        return _new_messages(sent, len(history))
    rest = history[len(sent) :]
    if rest and rest[0].role == ANSWER_ROLE and sent[-1].role != ANSWER_ROLE:
        later = sum(message.role == ANSWER_ROLE for message in rest[1:])
        return Ok(RepeatedCall(rest[0], later))
    finding = Finding("messages", "hold nothing new after the program's history")
    return Err(bad_request([finding]))


def is_same_message(mine: ChatMessage, known: ChatMessage) -> bool:
    """Compare by meaning: clients write JSON and empty contents in other ways."""
    return (
        mine.role == known.role
        and (mine.content or "") == (known.content or "")
        and mine.name == known.name
        and mine.tool_call_id == known.tool_call_id
        and _decoded(mine.tool_calls) == _decoded(known.tool_calls)
    )


def _new_messages(
    sent: tuple[ChatMessage, ...], known: int
) -> Result[NewMessages | RepeatedCall, Problem]:
    findings = [
        Finding(f"messages[{index}]", "is an answer that the program never gave")
        for index, message in enumerate(sent)
        if index >= known > 0 and message.role == ANSWER_ROLE
    ]
    if findings:
        return Err(bad_request(findings))
    return Ok(NewMessages(sent[known:]))


def _decoded(raw: msgspec.Raw | msgspec.UnsetType) -> object:
    return None if isinstance(raw, msgspec.UnsetType) else msgspec.json.decode(raw)
