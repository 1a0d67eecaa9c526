"""Programs and calls over HTTP, with a real leader."""

import json

import pytest

from notcharch.wire.messages.programs import AdmitCall, DispatchCall, FinishCall
from tests.unit.gateway.harness import DelayedReply, GatewayHarness


@pytest.fixture
def harness():
    return GatewayHarness()


def test_two_calls_history_and_end(harness):
    program = harness.program()
    first = harness.call(program)
    assert not first.transport.value()
    harness.stream.answer("gate", " one")
    response = first.response()
    assert (response.status, response.is_complete) == (200, True)
    choice = response.json["choices"][0]
    assert choice["message"] == {"role": "assistant", "content": "gate one"}
    assert choice["finish_reason"] == "stop"
    assert response.json["usage"]["total_tokens"] == 12
    assert harness.stream.request.request_id == f"{program}/1/1"

    second = harness.call(program, 2, "again", max_tokens=7)
    request = harness.stream.request
    assert [m.content for m in request.messages] == ["hello", "gate one", "again"]
    assert (request.max_tokens, request.epoch) == (7, 1)
    harness.stream.answer("two")
    assert second.response().json["sequence"] == 2

    history = harness.fetch("GET", f"/v1/programs/{program}/history?start=1&limit=2")
    contents = [message["content"] for message in history.json["messages"]]
    assert (contents, history.json["total"]) == (["gate one", "again"], 4)
    state = harness.fetch("GET", f"/v1/programs/{program}")
    assert (state.json["next_sequence"], state.json["spent_tokens"]) == (3, 23)
    for _ in range(2):
        ended = harness.fetch("DELETE", f"/v1/programs/{program}")
        assert ended.json == {"program": program, "ended": True}
    late = harness.call(program, 3).response()
    assert (late.status, late.json["code"]) == (409, "program_ended")
    assert (harness.slots.held, harness.placer.open_grants) == (0, {})


def test_a_stream_ends_only_after_the_commit(harness):
    program = harness.program()
    caller = harness.call(program, stream=True)
    harness.stream.token("gate")
    response = caller.response()
    assert response.headers["content-type"] == "text/event-stream"
    assert (response.status, response.content) == (200, "gate")
    delayed = DelayedReply()
    harness.router.faults[FinishCall] = [delayed]
    harness.stream.end()
    assert len(caller.response().events) == 1
    delayed.release()
    response = caller.response()
    assert response.is_complete
    assert response.events[-1] == "[DONE]"
    assert len(response.events) == 3


def test_the_dispatch_is_committed_before_the_stream_opens(harness):
    delayed = DelayedReply()
    harness.router.faults[DispatchCall] = [delayed]
    harness.call(harness.program())
    assert not harness.engines.streams
    delayed.release()
    assert len(harness.engines.streams) == 1


def test_a_repeat_joins_and_later_gets_the_stored_answer(harness):
    program = harness.program()
    first = harness.call(program)
    joined = harness.call(program)
    streamed = harness.call(program, stream=True)
    harness.stream.answer("one")
    answers = [first.response(), joined.response(), harness.call(program).response()]
    assert len({response.body for response in answers}) == 1
    assert streamed.response().content == "one"
    assert streamed.response().events[-1] == "[DONE]"
    fetched = harness.fetch("GET", f"/v1/programs/{program}/calls/1")
    assert fetched.body == answers[0].body
    assert len(harness.engines.streams) == 1


def test_a_lost_caller_loses_nothing(harness):
    program = harness.program()
    caller = harness.call(program, stream=True)
    harness.stream.token("one")
    caller.disconnect()
    waiting = harness.begin("GET", f"/v1/programs/{program}/calls/1")
    harness.stream.token(" two")
    harness.stream.end()
    answer = waiting.response().json["choices"][0]["message"]["content"]
    assert answer == "one two"


def test_a_call_without_an_answer_yet_is_202(harness):
    program = harness.program()
    harness.call(program)
    waiting = harness.begin("GET", f"/v1/programs/{program}/calls/1")
    harness.clock.advance(60)
    response = waiting.response()
    assert (response.status, response.json["retry_after"]) == (202, 1.0)
    assert response.headers["retry-after"] == "1"


def test_an_idempotency_key_names_one_program(harness):
    headers = [("Idempotency-Key", "k")]
    body = {"service": "guide"}
    names = {
        harness.fetch("POST", "/v1/programs", body, headers=headers).json["program"]
        for _ in range(3)
    }
    assert len(names) == 1
    other = harness.fetch("POST", "/v1/programs", body)
    child = harness.fetch(
        "POST", "/v1/programs", {"service": "guide", "parent": other.json["program"]}
    )
    assert child.json["program"].split("-")[1] == other.json["program"].split("-")[1]


def test_other_tenants_programs_do_not_exist(harness):
    program = harness.program()
    for method, end in (
        ("GET", ""),
        ("DELETE", ""),
        ("GET", "/history"),
        ("GET", "/calls/1"),
    ):
        path = f"/v1/programs/{program}{end}"
        response = harness.fetch(method, path, key="key-2")
        assert (response.status, response.json["code"]) == (404, "not_found")
    assert harness.router.count(AdmitCall) == 0


def test_parameters_reach_the_engine_and_cost_budget(harness):
    program = harness.program()
    tools = [{"type": "function", "function": {"name": "look_up"}}]
    harness.call(program, temperature=0.5, tools=tools, stop=None)
    parameters = json.loads(harness.stream.request.parameters)
    assert parameters == {"temperature": 0.5, "tools": tools}
    reserved = harness.fetch("GET", f"/v1/programs/{program}").json["reserved_tokens"]
    bound = len(json.dumps(tools, separators=(",", ":"))) + 8
    assert reserved == len("hello") + 8 + bound + 1024
    other = harness.call(program, temperature=0.6, tools=tools).response()
    assert other.json["code"] == "sequence_conflict"


def test_tool_calls_in_both_shapes_and_in_the_next_prompt(harness):
    program = harness.program()
    function = {"name": "look_up", "arguments": "{}"}
    calls = [{"id": str(n), "type": "function", "function": function} for n in (1, 2)]
    unstreamed = harness.call(program)
    harness.stream.end_with_tool_calls(calls)
    choice = unstreamed.response().json["choices"][0]
    assert choice["finish_reason"] == "tool_calls"
    message = {"role": "assistant", "content": None, "tool_calls": calls}
    assert choice["message"] == message
    streamed = harness.call(program, stream=True).response()
    delta = json.loads(streamed.events[0])["choices"][0]["delta"]
    assert delta["tool_calls"] == [
        {"index": index, **call} for index, call in enumerate(calls)
    ]
    results = [
        {"role": "tool", "content": "found", "tool_call_id": call["id"]}
        for call in calls
    ]
    path = f"/v1/programs/{program}/calls"
    harness.begin("POST", path, {"messages": results, "sequence": 2})
    prompt = harness.stream.request.messages
    assert [m.role for m in prompt] == ["user", "assistant", "tool", "tool"]
    assert json.loads(bytes(prompt[1].tool_calls)) == calls
    history = harness.fetch("GET", f"/v1/programs/{program}/history")
    assert history.json["messages"][1]["tool_calls"] == calls
