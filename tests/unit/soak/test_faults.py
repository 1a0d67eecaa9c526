"""What the soak's faults do to engines when they overlap."""

from random import Random

from twisted.internet.testing import MemoryReactorClock

from deploy.soak.engine_server import EVENT_SECONDS, WORK_SECONDS, SoakEngine
from deploy.soak.fault_targets import FaultTargets
from deploy.soak.faults import Faults
from deploy.soak.observations import version_of
from deploy.soak.oracle import Oracle
from deploy.soak.settings import MODELS
from deploy.soak.store_server import StoreServer
from deploy.soak.zones import Drains
from notcharch.calls.event_stream import data_lines
from notcharch.http.messages import RequestHead


class Scene:
    """One engine and the faults that strike it."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.oracle = Oracle()
        store = StoreServer(self.reactor, Random(1), 1)
        self.engine = SoakEngine(
            self.reactor, Random(1), self.oracle, store, MODELS, number=0
        )
        targets = FaultTargets(
            self.reactor,
            Random(1),
            [],
            [self.engine],
            store,
            lambda: None,
            lambda: "",
            operator=None,
            drains=Drains(),
            outages=[],
        )
        self.faults = Faults(targets)


def test_an_engine_that_is_back_already_does_not_change_its_version():
    scene = Scene()
    version = scene.engine.version
    scene.faults.engines.upgrade_engine()
    scene.engine.start_again()
    scene.reactor.pump([0.1] * 50)
    assert scene.engine.version == version


def test_an_engine_that_leaves_returns_at_the_other_version():
    scene = Scene()
    id, version = scene.engine.id, scene.engine.version
    scene.faults.engines.upgrade_engine()
    scene.reactor.pump([0.1] * 50)
    assert (scene.engine.id == id, scene.engine.version == version) == (False, False)


class Exchange:
    """One streaming request, and what its answer brought."""

    body = b"said"

    def __init__(self) -> None:
        self.head = RequestHead(
            b"POST", b"/plain/x", [(b"x-notcharch-request-id", b"r")]
        )
        self.data = b""

    def start(self, status, headers):
        pass

    def write(self, data):
        self.data += data

    def finish(self):
        pass


def test_a_run_keeps_the_version_of_its_process(monkeypatch):
    scene = Scene()
    monkeypatch.setattr(SoakEngine, "draw_unframed", lambda _: False)
    scene.oracle.lengths["r"] = 4
    exchange = Exchange()
    scene.engine.handle(exchange)
    scene.reactor.pump([WORK_SECONDS, EVENT_SECONDS])
    scene.engine.change_version()
    scene.reactor.pump([EVENT_SECONDS] * 5)
    events = data_lines(exchange.data).splitlines()
    assert len(events) == 4
    assert len({version_of(event) for event in events}) == 1
