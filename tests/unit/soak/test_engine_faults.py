"""What the soak's engines do wrong when they are told to."""

from random import Random

import pytest
from twisted.internet.testing import MemoryReactorClock

from deploy.soak import engine_server
from deploy.soak.engine_server import EngineFault, SoakEngine
from deploy.soak.oracle import Oracle
from deploy.soak.settings import MODELS, long_body
from deploy.soak.store_server import StoreServer
from deploy.soak.zones import COLD_SECONDS
from notcharch.http.messages import RequestHead


class Exchange:
    """One request at an engine, and what became of it."""

    body = b"said"

    def __init__(self) -> None:
        headers = [(b"x-notcharch-request-id", b"r")]
        self.head = RequestHead(b"POST", b"/write/x", headers)
        self.on_disconnect = None
        self.status = 0
        self.is_aborted = False

    def respond(self, status, headers, body=b""):
        self.status = status

    def abort(self):
        self.is_aborted = True


def test_an_engine_that_restarts_under_its_id_tells_another_start_and_version(
    monkeypatch,
):
    world = World(EngineFault.NONE, monkeypatch)
    engine = world.engine
    id, version, born = engine.id, engine.version, engine._born
    engine.restart_under_its_id()
    assert engine.id == id
    assert engine.version != version
    assert engine._born > born


class World:
    """An engine that suffers from its fault at each request."""

    def __init__(self, fault: EngineFault, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(engine_server, "FAULT_SHARE", 1.1)
        monkeypatch.setattr(engine_server, "UNFRAMED_SHARE", 0.0)
        self.reactor = MemoryReactorClock()
        self.oracle = Oracle()
        store = StoreServer(self.reactor, Random(1), 1)
        self.engine = SoakEngine(
            self.reactor, Random(1), self.oracle, store, "s", number=1
        )
        self.engine.fault = fault
        self.exchange = Exchange()
        self.engine.handle(self.exchange)
        self.reactor.pump([0.01] * 100)

    @property
    def runs(self) -> int:
        return len(self.oracle.runs["r"])


@pytest.mark.parametrize(
    ("fault", "status", "is_aborted", "runs"),
    [
        (EngineFault.NONE, 200, False, 1),
        (EngineFault.SHED, 503, False, 0),
        (EngineFault.LOSE_ANSWERS, 0, True, 1),
        (EngineFault.ERRORS, 500, False, 1),
        (EngineFault.HANG, 0, False, 1),
        (EngineFault.SLOW, 200, False, 1),
        (EngineFault.FORGET_IDLE, 0, True, 0),
    ],
)
def test_each_fault_is_seen_by_callers_and_counted(
    fault, status, is_aborted, runs, monkeypatch
):
    world = World(fault, monkeypatch)
    assert world.exchange.status == status
    assert world.exchange.is_aborted is is_aborted
    assert world.runs == runs


def test_an_entry_that_lapsed_is_back_with_the_next_heartbeat(monkeypatch):
    world = World(EngineFault.NONE, monkeypatch)
    partition = world.engine._store.log.partition(engine_server.SERVERS_TOPIC, 0)
    world.engine.lapse()
    world.reactor.pump([0.01] * 5)
    assert partition.records[-1].endswith(world.engine.id.encode())
    world.reactor.advance(engine_server.HEARTBEAT_SECONDS)
    world.reactor.pump([0.01] * 5)
    assert b'"state":"ready"' in partition.records[-1]


def test_an_engine_that_starts_anew_is_cold_and_says_so(monkeypatch):
    world = World(EngineFault.NONE, monkeypatch)
    engine = SoakEngine(
        world.reactor,
        Random(1),
        world.oracle,
        StoreServer(world.reactor, Random(1), 1),
        MODELS,
        number=0,
    )
    assert not engine.is_cold
    engine.crash()
    engine.start_again()
    assert engine.is_cold
    assert 0 < engine._cold_milliseconds() <= COLD_SECONDS * 1000
    world.reactor.pump([0.1] * 25)
    assert not engine.is_cold


@pytest.mark.parametrize(("pumped", "status"), [(3.9, 0), (4.1, 200)])
def test_a_long_call_takes_as_long_as_its_body_says(pumped, status, monkeypatch):
    world = World(EngineFault.NONE, monkeypatch)
    exchange = Exchange()
    exchange.body = long_body(4.0)
    world.engine.handle(exchange)
    world.reactor.pump([0.1] * round(pumped * 10))
    assert exchange.status == status
