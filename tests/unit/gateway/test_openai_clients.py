"""OpenAI clients: complete conversations, and calls without a program."""

import pytest

from notcharch.errors import Problem, ProblemCode
from notcharch.gateway.conversation import is_same_message
from notcharch.values.chat import ChatMessage
from notcharch.wire.messages.programs import EndProgram
from tests.unit.gateway.harness import GatewayHarness

PATH = "/v1/chat/completions"


@pytest.fixture
def harness():
    return GatewayHarness()


def chat_message(role, content):
    return {"role": role, "content": content}


class Client:
    """Sends its complete conversation in each call."""

    def __init__(self, harness, program):
        self._harness = harness
        self._program = program
        self.messages = []

    def begin(self, headers=(), **fields):
        return self._harness.begin(
            "POST",
            PATH,
            {"model": "guide", "messages": self.messages, **fields},
            headers=[("X-Notcharch-Program", self._program), *headers],
        )

    def say(self, text, answer):
        self.messages.append(chat_message("user", text))
        caller = self.begin()
        self._harness.stream.answer(answer)
        response = caller.response()
        self.messages.append(response.json["choices"][0]["message"])
        return response


@pytest.fixture
def client(harness):
    return Client(harness, harness.program())


def test_the_known_part_is_stripped(harness, client):
    client.messages = [chat_message("system", "be kind")]
    assert client.say("hello", "one").headers["x-notcharch-sequence"] == "1"
    assert client.say("again", "two").headers["x-notcharch-sequence"] == "2"
    prompt = [message.content for message in harness.stream.request.messages]
    assert prompt == ["be kind", "hello", "one", "again"]


@pytest.mark.parametrize("stream", [False, True])
def test_a_repeat_of_any_answered_call_gives_its_answer(harness, client, stream):
    client.messages = [chat_message("user", "first"), chat_message("user", "of two")]
    for number in range(4):
        client.say(f"text {number}", f"answer {number}")
    conversation = client.messages
    runs = len(harness.engines.streams)
    for number in range(4):
        client.messages = conversation[: 3 + 2 * number]
        for headers in ([], [("X-Notcharch-Sequence", str(number + 1))]):
            response = client.begin(headers, stream=stream).response()
            assert response.headers["x-notcharch-sequence"] == str(number + 1)
            if stream:
                assert response.content == f"answer {number}"
            else:
                message = response.json["choices"][0]["message"]
                assert message == conversation[3 + 2 * number]
    assert len(harness.engines.streams) == runs


def test_a_repeat_while_it_runs_joins(harness, client):
    client.messages = [chat_message("user", "hello")]
    first, second = client.begin(), client.begin()
    harness.stream.answer("one")
    assert first.response().json == second.response().json
    assert len(harness.engines.streams) == 1


MISMATCHES = [
    ([chat_message("user", "HELLO")], "messages[0]"),
    (
        [chat_message("user", "hello"), chat_message("assistant", "other")],
        "messages[1]",
    ),
    ([chat_message("user", "hello"), chat_message("assistant", "one")], "messages"),
    ([chat_message("user", "new")], "messages[0]"),
    (
        [
            chat_message("user", "hello"),
            chat_message("assistant", "one"),
            chat_message("assistant", "made up"),
            chat_message("user", "x"),
        ],
        "messages[2]",
    ),
]


@pytest.mark.parametrize(("messages", "place"), MISMATCHES)
def test_what_differs_from_the_history_is_refused(harness, client, messages, place):
    client.say("hello", "one")
    client.messages = messages
    response = client.begin().response()
    assert response.status == 400
    assert [finding["place"] for finding in response.json["findings"]] == [place]
    assert len(harness.engines.streams) == 1


def test_a_wrong_number_is_a_conflict(harness, client):
    client.say("hello", "one")
    client.say("again", "two")
    client.messages = client.messages[:1]
    response = client.begin([("X-Notcharch-Sequence", "2")]).response()
    assert (response.status, response.json["code"]) == (409, "sequence_conflict")


def test_an_unrepeatable_call_needs_its_number(harness, client):
    client.messages = [chat_message("user", "write it")]
    response = client.begin(repeatable=False).response()
    places = [finding["place"] for finding in response.json["findings"]]
    assert places == ["header.X-Notcharch-Sequence"]
    caller = client.begin([("X-Notcharch-Sequence", "1")], repeatable=False)
    harness.stream.answer("done")
    assert caller.response().status == 200


def test_another_tenants_program_does_not_exist(harness, client):
    client.messages = [chat_message("user", "hello")]
    response = harness.fetch(
        "POST",
        PATH,
        {"messages": client.messages},
        key="key-2",
        headers=[("X-Notcharch-Program", client._program)],
    )
    assert (response.status, response.json["code"]) == (404, "not_found")


def standalone_call(harness, **fields):
    headers = fields.pop("headers", ())
    body = {"model": "guide", "messages": [chat_message("user", "hello")], **fields}
    return harness.begin("POST", PATH, body, headers=headers)


def test_a_call_without_a_program_is_a_program_that_ends_with_it(harness):
    caller = standalone_call(harness)
    program = harness.stream.request.program
    assert harness.router.count(EndProgram) == 0
    caller.disconnect()
    harness.stream.answer("one")
    assert harness.fetch("GET", f"/v1/programs/{program}").json["ended"]
    stored = harness.fetch("GET", f"/v1/programs/{program}/calls/1")
    assert stored.json["choices"][0]["message"]["content"] == "one"


def test_a_call_without_a_program_is_recognised_by_its_key(harness):
    headers = [("Idempotency-Key", "k")]
    refusal = Problem.of(ProblemCode.OVERLOADED, "x", retry_after=1.0)
    harness.placer.problem = refusal
    assert standalone_call(harness, headers=headers).response().status == 429
    harness.placer.problem = None
    callers = [
        standalone_call(harness, headers=headers, repeatable=True) for _ in range(2)
    ]
    harness.stream.answer("one")
    callers.append(standalone_call(harness, headers=headers))
    assert len({caller.response().body for caller in callers}) == 1
    assert len(harness.engines.streams) == 1


def test_a_call_of_another_tenants_service_is_refused(harness):
    response = standalone_call(harness, model="other").response()
    assert (response.status, response.json["code"]) == (404, "not_found")


SAME = [
    (ChatMessage("assistant"), ChatMessage("assistant", ""), True),
    (ChatMessage("user", "a"), ChatMessage("user", "b"), False),
    (ChatMessage("user", "a"), ChatMessage("system", "a"), False),
    (ChatMessage("user", "a", name="x"), ChatMessage("user", "a"), False),
    (ChatMessage("tool", "a", tool_call_id="1"), ChatMessage("tool", "a"), False),
    (
        ChatMessage("assistant", tool_calls=b'[{"a": 1, "b": 2}]'),
        ChatMessage("assistant", tool_calls=b'[{"b":2,"a":1}]'),
        True,
    ),
    (
        ChatMessage("assistant", tool_calls=b'[{"a": 1}]'),
        ChatMessage("assistant", tool_calls=b'[{"a": 2}]'),
        False,
    ),
]


@pytest.mark.parametrize(("received", "known", "same"), SAME)
def test_messages_are_compared_by_meaning(received, known, same):
    assert is_same_message(received, known) is same
