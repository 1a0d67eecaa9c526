"""An engine's stream that is silent, cancelled or paused."""

import pytest
from result import Ok

from notcharch.errors import Ran
from tests.contract.engine_scene import (
    ASKED,
    CANCELLED,
    DELETED,
    GOOD_END,
    POSTED,
    TIMEOUT_SECONDS,
    TOKENS,
    WHOLE,
    Scene,
    refusal,
    resumed,
    turn_until,
)
from tests.contract.scripted_server import Reply, Reset, Silence
from tests.contract.spin import spin, turn
from tests.contract.stream_text import events, token

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
