"""The soak's engines answer unframed, and end their answers early in every way."""

from random import Random

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from deploy.soak import engine_server
from deploy.soak.engine_server import EngineFault, SoakEngine
from deploy.soak.link_proxy import DELAY_SECONDS, LinkFault, LinkProxy, Side
from deploy.soak.observations import answer_of
from deploy.soak.oracle import Oracle
from deploy.soak.settings import MODELS
from deploy.soak.store_server import StoreServer
from deploy.soak.unframed import Break, EarlyEnd
from notcharch.http.server_connection import ServerConnection
from tests.unit.http.pipe import TcpTransport


class HalfClosing(TcpTransport):
    is_half_closed = False

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.is_half_closed = True


def answered(
    path: str, broken: Break | None, monkeypatch
) -> tuple[HalfClosing, Oracle]:
    """Let an unframed engine answer one request."""
    monkeypatch.setattr(SoakEngine, "draw_break", lambda _: broken)
    reactor = MemoryReactorClock()
    oracle = Oracle()
    store = StoreServer(reactor, Random(1), 1)
    engine = SoakEngine(reactor, Random(1), oracle, store, MODELS, number=0)
    engine.fault = EngineFault.UNFRAMED
    oracle.lengths["r"] = 2
    connection, transport = ServerConnection(engine, reactor), HalfClosing()
    connection.makeConnection(transport)
    request = f"POST {path} HTTP/1.1\r\nHost: h\r\nx-notcharch-request-id: r\r\n"
    connection.dataReceived(request.encode() + b"Content-Length: 4\r\n\r\nsaid")
    reactor.pump([0.01] * 30)
    transport.drain()
    return transport, oracle


def body_of(transport: HalfClosing) -> bytes:
    head, _, body = transport.sent.partition(b"\r\n\r\n")
    assert b"chunked" not in head.lower()
    assert b"content-length" not in head.lower()
    return body


BODY = answer_of("r", b"said")
EVENT_BYTES = len(b"id: 0\ndata: r:0:v1\n\n")


@pytest.mark.parametrize("path", ["/plain/x", "/write/x"])
def test_an_unframed_answer_ends_with_its_connection(path, monkeypatch):
    transport, oracle = answered(path, None, monkeypatch)
    assert len(body_of(transport)) == (
        2 * EVENT_BYTES if "plain" in path else len(BODY)
    )
    assert transport.disconnecting
    assert not oracle.closed_early


@pytest.mark.parametrize(
    ("path", "at", "made"),
    [
        ("/plain/x", 0, {0}),
        ("/plain/x", EVENT_BYTES, {1}),
        ("/plain/x", EVENT_BYTES + 5, set()),
        ("/write/x", 7, {7}),
    ],
)
@pytest.mark.parametrize("end", EarlyEnd)
def test_an_answer_breaks_off_at_its_byte(path, at, made, end, monkeypatch):
    transport, oracle = answered(path, Break(at, end), monkeypatch)
    if end.is_clean:
        assert len(body_of(transport)) == at
    assert oracle.closed_early["r"] == (made if end.is_clean else set())
    assert transport.disconnecting == (end is EarlyEnd.CLOSE)
    assert transport.is_half_closed == (end is EarlyEnd.HALF_CLOSE)
    assert transport.is_aborted == (end is EarlyEnd.RESET)


def test_breaks_come_at_all_bytes_in_all_ways():
    random = Random(1)
    drawn = [Break.draw(random, 3) for _ in range(200)]
    assert {(b.at, b.end) for b in drawn} == {
        (at, end) for at in range(4) for end in EarlyEnd
    }


def test_an_event_without_the_last_byte_of_its_line_end_is_a_whole_one(monkeypatch):
    """A CR ends a line, whether or not an LF follows."""
    monkeypatch.setattr(engine_server, "LINE_ENDS", (b"\r\n",))
    size = EVENT_BYTES + len(b"\r\r\r")
    _, oracle = answered("/plain/x", Break(size - 1, EarlyEnd.CLOSE), monkeypatch)
    assert oracle.closed_early["r"] == {1}
    _, oracle = answered("/plain/x", Break(size - 2, EarlyEnd.CLOSE), monkeypatch)
    assert not oracle.closed_early["r"]


class Scene:
    """Both sides of one proxied connection."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.link = LinkProxy(self.reactor, 1)
        self.near, self.far = (Side(self.link, is_server=s) for s in (False, True))
        for side in (self.near, self.far):
            side.makeConnection(TcpTransport())
        self.near.joined(self.far)
        self.far.joined(self.near)


@pytest.mark.parametrize(
    ("reason", "is_reset"), [(ConnectionDone(), False), (ConnectionLost(), True)]
)
@pytest.mark.parametrize("fault", [LinkFault.NONE, LinkFault.DELAY])
def test_a_link_passes_the_end_of_a_connection_on_as_it_was(reason, is_reset, fault):
    scene = Scene()
    scene.link.fault = fault
    scene.far.dataReceived(b"last")
    scene.far.connectionLost(Failure(reason))
    scene.reactor.advance(DELAY_SECONDS)
    assert scene.near.transport.value() == b"last"
    assert scene.near.transport.is_aborted is is_reset
    assert scene.near.transport.disconnecting is not is_reset


def engine_with_connection() -> tuple[SoakEngine, Side]:
    reactor = MemoryReactorClock()
    store = StoreServer(reactor, Random(1), 1)
    engine = SoakEngine(reactor, Random(1), Oracle(), store, MODELS, number=0)
    side = Side(engine.link, is_server=False)
    side.makeConnection(TcpTransport())
    return engine, side


@pytest.mark.parametrize("is_clean", [True, False])
def test_a_dead_engine_ends_its_connections_and_takes_no_new_ones(is_clean):
    engine, side = engine_with_connection()
    engine.crash(is_clean=is_clean)
    assert side.transport.disconnecting is is_clean
    assert side.transport.is_aborted is not is_clean
    assert engine.link.accept() is None
    engine.start_again()
    assert engine.link.accept() is not None


def test_an_engine_that_restarts_under_its_id_is_away_for_a_moment():
    engine, _ = engine_with_connection()
    engine.restart_under_its_id(is_clean=True)
    assert engine.link.accept() is None
    engine._reactor.advance(engine_server.RESTART_SECONDS)
    assert engine.link.accept() is not None
