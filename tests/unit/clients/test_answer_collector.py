"""The response is independent of decoding batches, and errors are reported."""

import json

import pytest

from notcharch.clients.answer_collector import BATCH_BYTES, AnswerCollector
from notcharch.errors import Ran
from notcharch.values.chat import FinishReason, TokenUsage
from tests.contract.stream_text import DONE, content, event, events, last

MANY = BATCH_BYTES // 20


def collected(*pieces: bytes) -> AnswerCollector:
    collector = AnswerCollector()
    for piece in pieces:
        collector.add(piece)
    return collector


@pytest.mark.parametrize("tokens", [0, 1, 5, MANY])
@pytest.mark.parametrize("at_once", [True, False])
def test_answer_of_any_length_in_any_pieces(tokens, at_once):
    text = events(tokens)
    pieces = [text] if at_once else [part + b"\n\n" for part in text.split(b"\n\n")]
    collector = collected(*(piece for piece in pieces if piece != b"\n\n"))
    end = collector.result().unwrap()
    assert end.content == content(tokens)
    assert end.finish_reason is FinishReason.STOP
    assert end.usage == TokenUsage(9, tokens, 4)
    assert collector.is_done
    assert collector.next_number() == tokens + 1


@pytest.mark.parametrize("seen", [0, 1, 5])
def test_next_number_is_that_of_the_first_missing_event(seen):
    collector = collected(*([events(6)[: -len(events(6, seen))]] if seen else []))
    assert collector.next_number() == seen
    assert not collector.is_over()
    collector.add(events(6, seen))
    assert collector.result().unwrap().content == content(6)


def choice(delta: dict, reason: str | None = None) -> dict:
    return {"choices": [{"index": 0, "delta": delta, "finish_reason": reason}]}


def tool_part(index: int, **fields) -> dict:
    return choice({"tool_calls": [{"index": index, **fields}]})


def test_tool_calls_are_put_together():
    chunks = [
        tool_part(
            0, id="a", type="function", function={"name": "hint", "arguments": ""}
        ),
        tool_part(0, function={"arguments": '{"level"'}),
        tool_part(1, id="b", function={"name": "log", "arguments": "{}"}),
        tool_part(0, function={"arguments": ":2}"}),
        choice({}, "tool_calls")
        | {"usage": {"prompt_tokens": 1, "completion_tokens": 2}},
    ]
    collector = collected(*map(event, range(5), chunks), DONE)
    end = collector.result().unwrap()
    assert json.loads(bytes(end.tool_calls)) == [
        {
            "id": "a",
            "type": "function",
            "function": {"name": "hint", "arguments": '{"level":2}'},
        },
        {"id": "b", "type": "function", "function": {"name": "log", "arguments": "{}"}},
    ]
    assert end.finish_reason is FinishReason.TOOL_CALLS
    assert end.usage == TokenUsage(1, 2, 0)


BAD = (
    pytest.param(b"id: 0\ndata: {oops\n\n" + events(3, 1), "unreadable", id="garbled"),
    pytest.param(
        b'id: 0\ndata: {"choices":3}\n\n' + events(3, 1), "unreadable", id="shape"
    ),
    pytest.param(
        b'data: {"choices":"\xff"}\n\n' + events(3), "unreadable", id="not UTF-8"
    ),
    pytest.param(
        event(0, {"error": {"code": "full", "message": "m"}}), "full: m", id="error"
    ),
    pytest.param(event(0, choice({}, "stop")) + DONE, "usage", id="no usage"),
    pytest.param(
        event(0, choice({}, "other reason")) + last(1) + DONE, "unreadable", id="reason"
    ),
    pytest.param(DONE, "usage", id="nothing at all"),
)


@pytest.mark.parametrize(("text", "message"), BAD)
def test_bad_stream_is_an_error_that_ran(text, message):
    collector = collected(text)
    assert collector.is_over()
    problem = collector.result().unwrap_err()
    assert message in problem.message
    assert problem.ran is Ran.YES
