"""The engine's stream under every fault: whole events, each once, and an honest `ran`."""

import json

import attrs
import msgspec
import pytest
from result import Ok

from notcharch.clients import server_sent_events
from notcharch.clients.engine_client import RESUME_POLICY
from notcharch.errors import ProblemCode, Ran
from tests.contract.engine_scene import (
    ASKED,
    CANCELLED,
    DELETED,
    GOOD_END,
    POSTED,
    REQUEST,
    WHOLE,
    Scene,
    refusal,
    resumed,
    turn_until,
)
from tests.contract.scripted_server import Action, Reply, Reset, Silence
from tests.contract.spin import spin
from tests.contract.stream_text import event, events, token


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
