"""Every kind of invalid input gets a problem document with findings, never HTML."""

import json

import pytest

from tests.unit.gateway.harness import GatewayHarness

HELLO = {"role": "user", "content": "hello"}
PROGRAMS = "/v1/programs"
COMPLETIONS = "/v1/chat/completions"
HEAD_FIELDS = {"type", "title", "status", "code", "message"}
PROBLEM_FIELDS = HEAD_FIELDS | {"findings", "retry_after", "ran"}


@pytest.fixture
def harness():
    return GatewayHarness(body_bytes=4096, header_bytes=1024, messages_per_call=3)


def check_problem(response, status, code, places=None):
    assert response.headers["content-type"] == "application/problem+json"
    body = response.json
    assert (response.status, body["status"], body["code"]) == (status, status, code)
    assert set(body) == PROBLEM_FIELDS
    assert body["ran"] == "no"
    if places is not None:
        assert [finding["place"] for finding in body["findings"]] == places
        assert all(finding["message"] for finding in body["findings"])


def call(*messages, **fields):
    return {"sequence": 1, "messages": messages or [HELLO], **fields}


def chat_message(role="user", **fields):
    return {"role": role, "content": "x", **fields}


TOOL_CALL = {"tool_calls": [{}]}
CALL_FINDINGS = [
    (b"", ["body"]),
    (b"{", ["body"]),
    (b"[]", ["body"]),
    (b'{"messages": "\xff"}', ["body"]),
    (b'{"messages": [{"role": "user", "content": "\\ud800"}]}', ["body"]),
    (b"[" * 4000, ["body"]),
    ({"sequence": 1}, ["messages"]),
    (call(messages=[]), ["messages"]),
    (call(messages=[HELLO] * 4), ["messages"]),
    (call(1), ["messages[0]"]),
    ({"messages": [HELLO]}, ["sequence"]),
    (call(sequence=0), ["sequence"]),
    (call(sequence=True), ["sequence"]),
    (call(sequence=1.0), ["sequence"]),
    (call(max_tokens=-1), ["max_tokens"]),
    (call(max_tokens=10**30), ["max_tokens"]),
    (call(max_tokens=1, max_completion_tokens=2), ["max_tokens"]),
    (call(stream="yes"), ["stream"]),
    (call(repeatable=1), ["repeatable"]),
    (call(n=2), ["n"]),
    (call(model=""), ["model"]),
    (call(logprobs=True), ["logprobs"]),
    (call(temperature="hot", stop=[1], tools={}), ["temperature", "stop", "tools"]),
    (
        call({"role": "robot"}, HELLO, sequence=-1, stream=1),
        ["messages[0].role", "messages[0].content", "sequence", "stream"],
    ),
    (call(chat_message(content=5)), ["messages[0].content"]),
    (call(chat_message(content=[{"type": "image_url"}])), ["messages[0].content[0]"]),
    (call(chat_message("tool")), ["messages[0].tool_call_id"]),
    (call(chat_message(**TOOL_CALL)), ["messages[0].tool_calls"]),
    (
        call(chat_message(name=7, audio={"id": 1})),
        ["messages[0].audio", "messages[0].name"],
    ),
    (call(chat_message("assistant"), sequence=2), ["messages[0].role"]),
]


@pytest.mark.parametrize(("body", "places"), CALL_FINDINGS)
def test_findings_of_a_call(harness, body, places):
    program = harness.program()
    response = harness.fetch("POST", f"{PROGRAMS}/{program}/calls", body)
    check_problem(response, 400, "bad_request", places)
    assert not harness.engines.streams


PROGRAM_FINDINGS = [
    (b"nope", ["body"]),
    ({}, ["service"]),
    ({"service": ""}, ["service"]),
    ({"service": 5, "parent": 6, "x": 1}, ["x", "service", "parent"]),
    ({"service": "guide" * 100}, ["service"]),
]


@pytest.mark.parametrize(("body", "places"), PROGRAM_FINDINGS)
def test_findings_of_a_program(harness, body, places):
    response = harness.fetch("POST", PROGRAMS, body)
    check_problem(response, 400, "bad_request", places)


GUIDE = {"messages": [HELLO], "model": "guide"}
SEQUENCE = "X-Notcharch-Sequence"
COMPLETION_FINDINGS = [
    ({"messages": [HELLO]}, [], ["model"]),
    ({**GUIDE, "sequence": 2}, [], ["sequence"]),
    ({**GUIDE, "repeatable": False}, [], ["header.Idempotency-Key"]),
    (GUIDE, [(SEQUENCE, "0")], [f"header.{SEQUENCE}"]),
    ({**GUIDE, "sequence": 1}, [(SEQUENCE, "2")], ["sequence"]),
    ({**GUIDE, "messages": [HELLO] * 4}, [], ["messages"]),
    (GUIDE, [("Idempotency-Key", "k" * 256)], ["header.Idempotency-Key"]),
]


@pytest.mark.parametrize(("body", "headers", "places"), COMPLETION_FINDINGS)
def test_findings_of_a_completion(harness, body, headers, places):
    response = harness.fetch("POST", COMPLETIONS, body, headers=headers)
    check_problem(response, 400, "bad_request", places)


UNKNOWN = [
    ("GET", "/v1/programs/region1-1-ffff", 404, "not_found"),
    ("GET", "/v1/programs/nonsense", 404, "not_found"),
    ("GET", "/v1/programs/other-1-ffff", 404, "not_found"),
    ("GET", "/v1/programs/region1-ffff-ffff", 404, "not_found"),
    ("GET", "/v1/programs/region1--1-ffff", 404, "not_found"),
    ("DELETE", "/v1/programs/region1-1-ffff", 404, "not_found"),
    ("GET", "/v1/programs/region1-1-ffff/calls/1", 404, "not_found"),
    ("GET", "/v1/programs/region1-1-ffff/history", 404, "not_found"),
    ("GET", "/v1/", 404, "not_found"),
    ("GET", "/v1/nothing", 404, "not_found"),
    ("GET", "/v1/programs/a/b/c/d", 404, "not_found"),
    ("PUT", "/v1/programs", 405, "method_not_allowed"),
    ("GET", "/v1/programs", 405, "method_not_allowed"),
    ("POST", "/v1/programs/region1-1-f/history", 405, "method_not_allowed"),
    ("BREW", "/v1/programs", 405, "method_not_allowed"),
    ("GET", "/v1/programs/region1-1-f/calls/0", 400, "bad_request"),
    ("GET", "/v1/programs/region1-1-f/calls/one", 400, "bad_request"),
    ("GET", "/v1/programs/region1-1-f/calls/99999999999999999999", 400, "bad_request"),
    ("GET", "/v1/programs/region1-1-f/history?start=-1", 400, "bad_request"),
    ("GET", "/v1/programs/region1-1-f/history?limit=0&start=x", 400, "bad_request"),
    ("GET", "/v1/%FF", 400, "bad_request"),
]


@pytest.mark.parametrize(("method", "path", "status", "code"), UNKNOWN)
def test_unknown_things(harness, method, path, status, code):
    check_problem(harness.fetch(method, path), status, code)


def test_a_wrong_method_names_the_right_ones(harness):
    response = harness.fetch("PUT", "/v1/programs")
    assert response.headers["allow"] == "POST"


KEY_ERRORS = [
    [],
    [("Authorization", "Basic a2V5LTE=")],
    [("Authorization", "Bearer")],
    [("Authorization", "Bearer unknown")],
    [("Authorization", f"Bearer {'k' * 600}")],
]


@pytest.mark.parametrize("headers", KEY_ERRORS)
def test_a_request_needs_a_known_key(harness, headers):
    for method, path in (
        ("POST", PROGRAMS),
        ("POST", COMPLETIONS),
        ("GET", f"{PROGRAMS}/region1-1-f"),
        ("POST", f"{PROGRAMS}/region1-1-f/calls"),
        ("GET", f"{PROGRAMS}/region1-1-f/calls/1"),
    ):
        body = {"service": "guide"} if method == "POST" else None
        response = harness.fetch(method, path, body, key=None, headers=headers)
        check_problem(response, 401, "unauthenticated")
        assert response.headers["www-authenticate"] == "Bearer"


def test_without_a_table_the_caller_is_told_to_come_back(harness):
    harness.table.version = 0
    response = harness.fetch("POST", PROGRAMS, {"service": "guide"}, key="new")
    check_problem(response, 503, "unavailable")
    assert response.json["retry_after"] == 1.0
    assert response.headers["retry-after"] == "1"


def announced(size):
    return b"POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size


CHUNKED = b"POST /v1/programs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
LIMITS = [
    (announced(5000), 413, "body_too_large", ["body"]),
    (announced(10**18), 413, "body_too_large", ["body"]),
    (CHUNKED + b"1000\r\n" + b"x" * 4096 + b"\r\n1\r\nx", 413, "body_too_large", None),
    (b"GET / HTTP/1.1\r\nA: " + b"x" * 2000, 400, "bad_request", ["header"]),
    (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 300, 400, "bad_request", ["header"]),
    (b"GET /" + b"x" * 2000, 400, "bad_request", ["header"]),
    (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, "bad_request", ["header"]),
    (b"nonsense\r\n\r\n", 400, "bad_request", ["header"]),
    (b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, "bad_request", ["header"]),
    (CHUNKED + b"zz\r\n", 400, "bad_request", ["header"]),
]


@pytest.mark.parametrize(("data", "status", "code", "places"), LIMITS)
def test_limits_while_reading(harness, data, status, code, places):
    connection = harness.connect()
    for start in range(0, len(data), 700):
        connection.send(data[start : start + 700])
    check_problem(connection.response(), status, code, places)
    assert connection.transport.disconnecting
    size = len(connection.transport.value())
    connection.send(b"more" * 1000)
    assert len(connection.transport.value()) == size


def test_a_refused_caller_may_read_the_refusal_before_the_connection_ends(harness):
    connection = harness.connect()
    closed = []
    connection.transport.loseWriteConnection = lambda: closed.append("write")
    connection.transport.abortConnection = lambda: closed.append("all")
    connection.send(announced(5000))
    assert closed == ["write"]
    harness.clock.advance(2)
    assert closed == ["write", "all"]


def test_an_idle_connection_is_closed(harness):
    connection = harness.connect()
    harness.clock.advance(119)
    assert not connection.transport.disconnecting
    harness.clock.advance(2)
    assert connection.transport.disconnecting


def test_a_connection_that_waits_for_an_answer_is_not_idle(harness):
    caller = harness.call(harness.program())
    harness.clock.advance(1000)
    harness.stream.answer("late")
    assert json.loads(caller.response().body)["choices"]
