"""The engine's stream under every fault: whole events, each once, and an honest `ran`."""

import json
from random import Random

import attrs
import msgspec
import pytest
from result import Ok
from twisted.internet import reactor

from notcharch.clients import server_sent_events
from notcharch.clients.connections import Connections
from notcharch.clients.engine_client import RESUME_POLICY, EngineClient
from notcharch.clients.ports import EngineRequest, StreamEnd
from notcharch.errors import ProblemCode, Ran
from notcharch.settings.schema import PlatformSection
from notcharch.values.chat import ChatMessage, FinishReason, TokenUsage
from tests.contract.patient_clock import PatientClock
from tests.contract.scripted_server import Action, Reply, Reset, ScriptedServer, Silence
from tests.contract.spin import spin, turn
from tests.contract.stream_text import content, event, events, token

TIMEOUT_SECONDS = 7.0
TOKENS = 6
WHOLE = events(TOKENS)
GOOD_END = StreamEnd(content(TOKENS), None, FinishReason.STOP, TokenUsage(9, TOKENS, 4))
REQUEST = EngineRequest(
    "r/1", "pool", "north-1-x", 3, -2, (ChatMessage("user", "hello"),), 50
)
DELETED = Reply(200, b'{"state":"cancelled","events":3}')


class Scene:
    """One client, one scripted engine, and what the caller saw."""

    def __init__(self, *script: Action):
        self.server = ScriptedServer(*script)
        self.clock = PatientClock(TIMEOUT_SECONDS)
        self.connections = Connections(reactor, TIMEOUT_SECONDS)
        settings = PlatformSection(request_seconds=TIMEOUT_SECONDS)
        self.client = EngineClient(
            self.connections.agent, self.clock, Random(1), settings
        )
        self.seen: list[bytes] = []

    def open(self, address: str | None = None, request: EngineRequest = REQUEST):
        address = address or self.server.address
        return self.client.open_stream(address, request, self.seen.append)

    @property
    def bytes_seen(self) -> bytes:
        return b"".join(self.seen)

    def requests(self) -> list[tuple[str, str]]:
        return [(one.method, one.uri) for one in self.server.received]

    async def close(self) -> None:
        assert self.server.script == [], "not everything was asked for"
        assert self.clock.getDelayedCalls() == [], "a timer is left behind"
        await self.connections.close()
        await self.server.close()


def resumed(offset: int) -> tuple[str, str]:
    return ("GET", f"/v1/requests/r%2F1/stream?offset={offset}")


POSTED = ("POST", "/v1/chat/completions")
ASKED = ("GET", "/v1/requests/r%2F1")
CANCELLED = ("DELETE", "/v1/requests/r%2F1")


def test_whole_stream_and_the_request_that_asks_for_it():
    async def scenario():
        scene = Scene(Reply(200, WHOLE))
        assert await scene.open().finished == Ok(GOOD_END)
        assert scene.bytes_seen == WHOLE
        assert json.loads(scene.server.received[0].body) == {
            "model": "pool",
            "messages": [{"role": "user", "content": "hello"}],
            "max_tokens": 50,
            "request_id": "r/1",
            "program": "north-1-x",
            "priority": -2,
            "epoch": 3,
            "stream": True,
            "resumable": True,
        }
        await scene.close()

    spin(scenario())


def test_parameters_are_passed_on_beside_the_fences():
    async def scenario():
        scene = Scene(Reply(200, WHOLE))
        parameters = b'{"temperature":0.5,"tools":[{"type":"function"}]}'
        request = msgspec.structs.replace(REQUEST, parameters=parameters)
        assert await scene.open(request=request).finished == Ok(GOOD_END)
        body = json.loads(scene.server.received[0].body)
        assert body["temperature"] == 0.5
        assert body["tools"] == [{"type": "function"}]
        assert (body["request_id"], body["epoch"]) == ("r/1", 3)
        await scene.close()

    spin(scenario())


@attrs.frozen
class Break:
    """Faults after which the answer is whole all the same."""

    name: str
    script: tuple[Action, ...]
    offsets: tuple[int, ...]
    is_asked: bool = False


def cut(size: int) -> bytes:
    return WHOLE[:size]


FIRST = len(token(0))
RUNNING = Reply(200, b'{"state":"running","events":6}')
CANCELLED_ELSEWHERE = Reply(200, b'{"state":"cancelled","events":1}')
BREAKS = (
    Break("nothing came", (Reset(b""), Reply(200, WHOLE)), (0,)),
    Break("answer lost after effect", (Reset(), Reply(200, WHOLE)), (0,)),
    Break("within an event", (Reset(cut(FIRST + 9)), Reply(200, events(6, 1))), (1,)),
    Break("between newlines", (Reset(cut(FIRST - 1)), Reply(200, WHOLE)), (0,)),
    Break("at a boundary", (Reset(cut(2 * FIRST)), Reply(200, events(6, 2))), (2,)),
    Break(
        "regular end too early",
        (Reply(200, cut(FIRST)), RUNNING, Reply(200, events(6, 1))),
        (1,),
        is_asked=True,
    ),
    Break("before [DONE]", (Reset(cut(len(WHOLE) - 3)),), ()),
    Break("after [DONE]", (Reset(WHOLE),), ()),
    Break(
        "twice",
        (Reset(cut(FIRST)), Reset(token(1) + token(2)[:5]), Reply(200, events(6, 2))),
        (1, 2),
    ),
    Break(
        "resumption lost or refused",
        (Reset(cut(FIRST)), Reset(), Reply(503, b"{}"), Reply(200, events(6, 1))),
        (1, 1, 1),
    ),
    Break("offset ignored", (Reset(cut(3 * FIRST)), Reply(200, WHOLE)), (3,)),
)


@pytest.mark.parametrize("case", BREAKS, ids=lambda case: case.name)
def test_broken_stream_is_resumed_with_each_event_once(case):
    async def scenario():
        scene = Scene(*case.script)
        assert await scene.open().finished == Ok(GOOD_END)
        assert scene.bytes_seen == WHOLE
        assert all(piece.endswith(b"\n\n") for piece in scene.seen)
        asked = [ASKED] if case.is_asked else []
        assert scene.requests() == [POSTED, *asked, *map(resumed, case.offsets)]
        await scene.close()

    spin(scenario())


@attrs.frozen
class Failure:
    """Faults after which there is no answer."""

    name: str
    script: tuple[Action, ...]
    code: ProblemCode
    ran: Ran
    seen: bytes = b""
    retry_after: float | None = None


def refusal(status: int, code: str, retry_after: str = "null") -> Reply:
    text = f'{{"error":{{"code":"{code}","message":"","retry_after":{retry_after}}}}}'
    return Reply(status, text.encode())


GONE = refusal(404, "unknown_request")
FAILED = ProblemCode.ENGINE_FAILED
GARBLED = token(0) + b"id: 1\ndata: {oops\n\n" + events(6, 2)
ENGINE_ERROR = token(0) + event(1, {"error": {"code": "out_of_memory"}})

FAILURES = (
    Failure(
        "no slot",
        (refusal(503, "overloaded", "2.5"),),
        ProblemCode.UNAVAILABLE,
        Ran.NO,
        retry_after=2.5,
    ),
    Failure("stale", (refusal(409, "stale_epoch"),), ProblemCode.STALE_EPOCH, Ran.NO),
    Failure("duplicate", (refusal(409, "duplicate_request"),), FAILED, Ran.YES),
    Failure(
        "proxy's error", (Reply(502, b"<html>"),), FAILED, Ran.UNKNOWN, retry_after=1.0
    ),
    Failure("never arrived or forgotten", (Reset(), GONE), FAILED, Ran.UNKNOWN),
    Failure(
        "cancelled by others",
        (Reply(200, token(0)), CANCELLED_ELSEWHERE),
        FAILED,
        Ran.YES,
        token(0),
    ),
    Failure("restarted", (Reset(token(0)), GONE), FAILED, Ran.YES, token(0)),
    Failure("garbled chunk", (Reply(200, GARBLED),), FAILED, Ran.YES, GARBLED),
    Failure(
        "engine's error", (Reply(200, ENGINE_ERROR),), FAILED, Ran.YES, ENGINE_ERROR
    ),
    Failure(
        "no usage",
        (Reply(200, token(0) + b"data: [DONE]\n\n"),),
        FAILED,
        Ran.YES,
        token(0) + b"data: [DONE]\n\n",
    ),
    Failure(
        "gap after resumption",
        (Reset(token(0)), Reply(200, events(6, 2)), DELETED),
        FAILED,
        Ran.YES,
        token(0),
    ),
)


@pytest.mark.parametrize("case", FAILURES, ids=lambda case: case.name)
def test_failure_says_whether_it_ran(case):
    async def scenario():
        scene = Scene(*case.script)
        problem = (await scene.open().finished).err_value
        assert problem.is_code(case.code)
        assert problem.ran is case.ran
        assert problem.retry_after == case.retry_after
        assert scene.bytes_seen == case.seen
        await turn_until(lambda: not scene.clock.getDelayedCalls())
        await scene.close()

    spin(scenario())


def test_endless_event_is_cut_off_and_its_run_cancelled(monkeypatch):
    monkeypatch.setattr(server_sent_events, "LONGEST_EVENT_BYTES", 1000)

    async def scenario():
        scene = Scene(Silence(token(0)), DELETED)
        stream = scene.open()
        await turn_until(lambda: scene.bytes_seen == token(0))
        scene.server.write(b"data: " + b"x" * 1000)
        problem = (await stream.finished).err_value
        assert problem.ran is Ran.YES
        assert scene.bytes_seen == token(0)
        await scene.server.has_lost_caller()
        await turn_until(lambda: not scene.clock.getDelayedCalls())
        await scene.close()

    spin(scenario())


def test_refused_connection_did_not_run():
    async def scenario():
        scene = Scene()
        problem = (await scene.open("127.0.0.1:1").finished).err_value
        assert problem.ran is Ran.NO
        await scene.close()

    spin(scenario())


def test_tries_are_bounded_jittered_and_growing_and_then_the_run_is_cancelled():
    async def scenario():
        tries = RESUME_POLICY.tries
        scene = Scene(Reset(token(0)), *[Reset()] * tries, DELETED)
        problem = (await scene.open().finished).err_value
        assert problem.ran is Ran.YES
        await scene.server.has_received(tries + 2)
        expected = [POSTED, *[resumed(1)] * tries, CANCELLED]
        assert scene.requests() == expected
        assert len(set(scene.clock.delays)) == tries
        ceiling = RESUME_POLICY.first_seconds
        for delay in scene.clock.delays:
            assert ceiling / 2 <= delay <= ceiling
            ceiling = min(ceiling * 2, RESUME_POLICY.longest_seconds)
        await turn_until(lambda: not scene.clock.getDelayedCalls())
        await scene.close()

    spin(scenario())


async def turn_until(is_true) -> None:
    while not is_true():
        await turn()


SILENT_STARTS = (
    pytest.param(None, 0, id="no answer"),
    pytest.param(token(0), 1, id="after a token"),
)


@pytest.mark.parametrize(("start", "number"), SILENT_STARTS)
def test_silent_engine_that_still_works_is_waited_for(start, number):
    async def scenario():
        state = Reply(200, b'{"state":"running","events":%d}' % number)
        scene = Scene(Silence(start), state, state)
        stream = scene.open()
        await scene.server.has_received(1)
        await turn_until(lambda: scene.bytes_seen == (start or b""))
        for asked in (2, 3):
            await pass_silence(scene, asked)
            # The answer to the question is there when its time-out is gone.
            await turn_until(lambda: len(scene.clock.getDelayedCalls()) == 1)
        assert scene.requests() == [POSTED, ASKED, ASKED]
        assert not stream.finished.called
        scene.server.finish(events(TOKENS, number))
        assert await stream.finished == Ok(GOOD_END)
        assert scene.bytes_seen == WHOLE
        await scene.close()

    spin(scenario())


async def pass_silence(scene: Scene, requests: int) -> None:
    # The question has a time-out beside the watch for silence.
    while len(scene.clock.getDelayedCalls()) < 2:
        scene.clock.advance(TIMEOUT_SECONDS)
    await scene.server.has_received(requests)


SILENT_ENDS = (
    pytest.param(
        Reply(200, b'{"state":"running","events":4}'), id="the connection is dead"
    ),
    pytest.param(Reply(200, b'{"state":"finished","events":7}'), id="it is finished"),
    pytest.param(Reset(), id="no answer to the question"),
)


@pytest.mark.parametrize("state", SILENT_ENDS)
def test_silent_connection_of_a_run_that_went_on_is_replaced(state):
    async def scenario():
        scene = Scene(Silence(token(0)), state, Reply(200, events(TOKENS, 1)))
        stream = scene.open()
        await turn_until(lambda: scene.bytes_seen == token(0))
        await pass_silence(scene, 2)
        assert await stream.finished == Ok(GOOD_END)
        assert scene.bytes_seen == WHOLE
        assert scene.requests() == [POSTED, ASKED, resumed(1)]
        await scene.close()

    spin(scenario())


def test_cancel_ends_at_once_and_tells_the_engine_once():
    async def scenario():
        scene = Scene(Silence(token(0)), DELETED)
        stream = scene.open()
        await turn_until(lambda: scene.bytes_seen == token(0))
        stream.cancel()
        assert stream.finished.called
        stream.cancel()
        assert (await stream.finished).err_value.ran is Ran.YES
        await scene.server.has_received(2)
        await scene.server.has_lost_caller()
        await turn_until(lambda: not scene.clock.getDelayedCalls())
        assert scene.requests() == [POSTED, CANCELLED]
        await scene.close()

    spin(scenario())


def test_cancel_is_told_again_when_its_answer_is_lost():
    async def scenario():
        scene = Scene(Silence(token(0)), Reset(), refusal(503, "busy"), DELETED)
        stream = scene.open()
        await turn_until(lambda: scene.bytes_seen == token(0))
        stream.cancel()
        await scene.server.has_received(4)
        await turn_until(lambda: not scene.clock.getDelayedCalls())
        assert scene.requests() == [POSTED, CANCELLED, CANCELLED, CANCELLED]
        await scene.close()

    spin(scenario())


def test_cancel_before_the_connection_is_there_did_not_run():
    async def scenario():
        scene = Scene()
        stream = scene.open()
        stream.cancel()
        assert (await stream.finished).err_value.ran is Ran.NO
        await turn()
        assert scene.requests() == []
        await scene.close()

    spin(scenario())


@pytest.mark.parametrize(
    "begin", [0, 1], ids=["while waiting to resume", "after the end"]
)
def test_cancel_while_no_connection_is_open(begin):
    async def scenario():
        script = (Reply(200, WHOLE),) if begin else (Reset(token(0)), DELETED)
        scene = Scene(*script)
        stream = scene.open()
        if begin:
            await stream.finished
            stream.cancel()
            await turn()
            assert scene.requests() == [POSTED]
        else:
            await turn_until(lambda: scene.clock.delays)
            stream.cancel()
            assert (await stream.finished).err_value.ran is Ran.YES
            await scene.server.has_received(2)
            await turn_until(lambda: not scene.clock.getDelayedCalls())
            assert scene.requests() == [POSTED, CANCELLED]
        await scene.close()

    spin(scenario())


def test_paused_stream_gives_nothing_and_is_not_taken_for_silent():
    async def scenario():
        scene = Scene(Silence(token(0)), Reply(200, b'{"programs":[]}'))
        stream = scene.open()
        await turn_until(lambda: scene.bytes_seen == token(0))
        stream.pause()
        scene.server.write(token(1))
        await scene.client.cached_programs(scene.server.address)
        scene.clock.advance(TIMEOUT_SECONDS)
        scene.clock.advance(TIMEOUT_SECONDS)
        await turn()
        assert scene.bytes_seen == token(0)
        stream.resume()
        await turn_until(lambda: scene.bytes_seen == token(0) + token(1))
        scene.server.finish(events(TOKENS, 2))
        assert await stream.finished == Ok(GOOD_END)
        await scene.close()

    spin(scenario())


def test_stream_paused_before_it_begins_gives_nothing_until_it_is_resumed():
    async def scenario():
        scene = Scene(Silence(b""), Reply(200, b'{"programs":[]}'))
        stream = scene.open()
        stream.pause()
        await scene.server.has_received(1)
        scene.server.finish(WHOLE)
        await scene.client.cached_programs(scene.server.address)
        assert scene.bytes_seen == b""
        stream.resume()
        assert await stream.finished == Ok(GOOD_END)
        assert scene.bytes_seen == WHOLE
        await scene.close()

    spin(scenario())
