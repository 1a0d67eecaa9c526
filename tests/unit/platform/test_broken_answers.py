"""What is on a caller's connection after an engine's unframed answer."""

import pytest

from notcharch.http.messages import ResponseHead
from notcharch.platform.ingress import ExchangeReply
from notcharch.values.framing import Framing
from tests.unit.calls.test_call_lifecycle import ONE, TWO
from tests.unit.calls.test_inferred_ends import gone, unframed
from tests.unit.calls.world import World
from tests.unit.http.pipe import ServerSide

NEW = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
OLD = b"GET /x HTTP/1.0\r\nHost: h\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class Caller:
    """A caller's connection with one request on it, whose engine the test controls."""

    def __init__(self, request: bytes, *, is_kept: bool, **changes) -> None:
        self.side = ServerSide()
        if is_kept:
            self.side.send(NEW)
            self.side.handler.exchanges.pop().respond(200, [])
            self.side.take()
        self.side.send(request)
        reply = ExchangeReply(self.side.handler.exchanges[-1], b"1")
        self.world = World(reply=reply, **changes)

    @property
    def transport(self):
        return self.side.transport


KINDS = [(NEW, False), (NEW, True), (OLD, False)]
STREAM = {"is_stream": True}


@pytest.mark.parametrize(("request_text", "is_kept"), KINDS)
def test_a_whole_unframed_stream_is_complete(request_text, is_kept):
    caller = Caller(request_text, is_kept=is_kept, **STREAM)
    unframed(caller.world.sent[0], ONE)
    caller.world.sent[1].respond(200, b"{}")
    written = caller.transport.value()
    assert ONE in written
    assert not caller.transport.is_aborted
    if request_text is OLD:
        assert written.endswith(ONE)
        assert caller.transport.disconnecting
    else:
        assert written.endswith(LAST_CHUNK)
        assert not caller.transport.is_closed


def inside_event(world: World) -> None:
    unframed(world.sent[0], ONE + TWO[:5])


def between_events(world: World) -> None:
    unframed(world.sent[0], ONE)
    gone(world)


@pytest.mark.parametrize("break_off", [inside_event, between_events])
@pytest.mark.parametrize(("request_text", "is_kept"), KINDS)
def test_a_broken_unframed_stream_ends_in_a_reset(request_text, is_kept, break_off):
    caller = Caller(request_text, is_kept=is_kept, **STREAM)
    break_off(caller.world)
    written = caller.transport.value()
    assert ONE in written
    assert TWO[:5] not in written
    assert not written.endswith(LAST_CHUNK)
    assert caller.transport.is_aborted
    assert not caller.transport.disconnecting


@pytest.mark.parametrize(("request_text", "is_kept"), KINDS)
def test_a_broken_unframed_plain_answer_is_not_relayed(request_text, is_kept):
    caller = Caller(request_text, is_kept=is_kept)
    [sent] = caller.world.sent
    head = ResponseHead(200, [(b"seal", b"x")], framing=Framing.CONNECTION)
    sent.listener.head_received(head)
    sent.listener.data_received(b"a part")
    sent.listener.completed()
    gone(caller.world)
    written = caller.transport.value()
    assert written.startswith(b"HTTP/1.1 502")
    assert b"a part" not in written
