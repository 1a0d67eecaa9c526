"""Each decision of a call, an account and a process leaves its line."""

from random import Random

import msgspec
from twisted.internet.task import Clock

from emulator.services.partitioned_log import PartitionedLog, Trouble
from notcharch.calls.caller_check import CallerCheck
from notcharch.calls.eligibility import EngineEligibility
from notcharch.events import accounts, calls, journal, process
from notcharch.http.client import ResponseFailure
from notcharch.http.messages import RequestHead
from notcharch.journal.keyed_follower import join_keyed
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.platform.ingress import Ingress
from notcharch.platform.tables import PlatformTables
from notcharch.scheduling.software_versions import SoftwareVersions
from notcharch.tenants.freshness import TableFreshness
from notcharch.values.framing import Framing
from tests.unit.accounts.world import World as AccountsWorld
from tests.unit.calls.world import World as CallWorld
from tests.unit.events.capture import captured, of
from tests.unit.platform.test_configuration import LIMITS, ROUTE, SERVICE


def test_the_ends_of_calls():
    with captured() as messages:
        CallWorld().sent[0].respond(200, b"done")
        refused = CallWorld(engines=())
        broken = CallWorld(is_stream=True)
        broken.sent[0].begin()
        broken.sent[0].listener.data_received(b"id: 1\ndata: a\n\n")
        broken.sent[0].listener.failed(ResponseFailure.RESET)
        CallWorld().reply.disconnect()
        again = CallWorld()
        again.sent[0].refuse()
    assert refused.reply.end == "refused"
    served = of(messages, calls.CallServed)[0]
    assert (served["request"], served["program"], served["status"]) == ("1", "p", 200)
    assert of(messages, calls.CallRefused)[0]["reason"] == "no engine can take it"
    assert of(messages, calls.CallBrokenOff)[0]["cause"] == "connection reset"
    assert of(messages, calls.CallerLeft)[0]["phase"] == "at engine"
    assert of(messages, calls.CallSentAgain)[0]["cause"] == "not run: 503"


def test_how_the_answer_of_an_engine_ended():
    with captured() as messages:
        stream = CallWorld(is_stream=True)
        stream.sent[0].begin(framing=Framing.CONNECTION)
        stream.sent[0].listener.data_received(b"id: 1\ndata: a\n\nid: 2")
        stream.sent[0].listener.failed(ResponseFailure.RESET)
    [broken] = of(messages, calls.CallBrokenOff)
    assert broken["framing"] == "end of connection"
    assert (broken["body_bytes"], broken["unfinished_bytes"]) == (20, 5)


def test_what_owners_decide():
    with captured() as messages:
        world = AccountsWorld()
        for _ in range(2):
            world.wait_for_decision(world.call(budget=100, token_limit=100))
        world.wait_for_decision(world.call(previous="nobody"), stores_turns=True)
        first = world.call("one", body=b"a")
        world.store_turn(first, b"data: x\n\n")
        for program in ("two", "three", "four", "five"):
            world.store_turn(world.call(program, previous=first.id), b"data: x\n\n")
        world.services[world.names[0]].leave()
        world.log.trouble = Trouble.REFUSE
        world.wait_for_decision(world.call("new"))
    assert of(messages, accounts.PartitionTakenOver)
    assert of(messages, accounts.PartitionGivenUp)
    assert of(messages, journal.OwnersChanged)
    spent = of(messages, accounts.BudgetRefused)[0]
    assert (spent["budget_tokens"], spent["under_way_tokens"]) == (100, 100)
    assert of(messages, accounts.TurnDenied)[0]["turn"] == "nobody"
    assert of(messages, accounts.TurnAdopted)
    assert of(messages, accounts.OwnerUnanswered)[0]["question"] == "admission"


class Engines:
    """Takes the place of the pool and of the sender."""

    def __init__(self) -> None:
        self.listed = []
        self.forgotten = []
        self.eligibility = EngineEligibility()
        self.versions = SoftwareVersions()

    def replace(self, engines):
        self.listed = list(engines)
        return []

    def drain_zones(self, newer):
        return self.eligibility.update_drains(newer, (), 0.0)

    def forget(self, engine_id):
        self.forgotten.append(engine_id)


class Exchange:
    """A request that keeps its answer."""

    def __init__(self, host: bytes, path: bytes) -> None:
        headers = [(b"Host", host), (b"X-Notcharch-Request-Id", b"r1")]
        self.head = RequestHead(b"GET", path, headers)
        self.body = b""
        self.arrived = 0.0
        self.status = 0
        self.headers = []

    def respond(self, status, headers, body=b""):
        self.status = status
        self.headers = headers


class Tables:
    """An ingress whose tables follow a log."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.log = PartitionedLog(self.clock, Random(1), 1)
        freshness = TableFreshness(None)
        self.ingress = Ingress(None, CallerCheck(self.clock, freshness))
        self.engines = Engines()
        self.tables = PlatformTables(
            self.log,
            self.clock,
            Random(1),
            self.ingress,
            self.engines,
            sender=self.engines,
            contact_seconds=5.0,
            recovery=RecoverySignal(self.clock),
            freshness=freshness,
        )
        self.tables.start()

    def configure(self, version: int, path: str = "/p/") -> None:
        route = ROUTE | {"path_prefix": path}
        entry = {"version": version, "routes": [route], "services": [SERVICE]}
        value = msgspec.json.encode(entry | {"limits": LIMITS})
        self.put("keyed.op", "config", value)

    def put(self, topic: str, key: str, value: bytes) -> None:
        self.log.append(topic, 0, (join_keyed(key, value),))
        self.run(1.5)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    def status(self, path: bytes) -> int:
        exchange = Exchange(b"h.example", path)
        self.ingress.handle(exchange)
        return exchange.status


ENGINE = msgspec.json.encode({"service": "s", "address": "1.2.3.4:5", "state": "ready"})


def test_tables_and_engines():
    with captured() as messages:
        world = Tables()
        assert world.status(b"/p/x") == 503
        assert of(messages, calls.RequestWithoutRoute)[0]["table_version"] == -1
        world.configure(7)
        world.put("keyed.servers", "i-1", ENGINE)
        assert world.tables.are_loaded
        assert world.status(b"/other/x") == 404
        world.put("keyed.servers", "i-2", b"{broken")
        world.log.trouble = Trouble.REFUSE
        world.run(3.0)
        world.log.trouble = Trouble.NONE
        world.run(3.0)
    assert of(messages, process.TableInForce)[0]["version"] == 7
    assert of(messages, process.EnginesChanged)[0]["added"] == ["i-1"]
    assert of(messages, calls.RequestWithoutRoute)[1]["path"] == "/other/x"
    (skipped,) = of(messages, process.PartSkipped)
    assert (skipped["feed"], skipped["part"]) == ("keyed.servers", "i-2")
    lost = {message["dependency"] for message in of(messages, process.DependencyLost)}
    assert lost == {"keyed.op", "keyed.servers"}
    assert len(of(messages, process.DependencyRegained)) == 2


def test_zones_that_are_drained_and_given_back():
    world = Tables()
    world.configure(7)
    with captured() as messages:
        world.put("keyed.op", "evacuate/z-1", b"{}")
        world.put("keyed.op", "evacuate/z-2", b"{}")
        world.put("keyed.op", "evacuate/z-1", b"")
        world.configure(8)
    told = of(messages, process.ZonesDrained)
    assert [line["drained"] for line in told] == [["z-1"], ["z-2"], []]
    assert told[-1]["given_back"] == ["z-1"]
    assert told[-1]["in_force"] == ["z-2"]
    assert not told[-1]["is_from_peer"]


def test_a_table_never_goes_back():
    world = Tables()
    world.configure(7, "/new/")
    world.configure(5, "/old/")
    assert world.ingress.router.table.version == 7
    world.put("keyed.op", "config", b"{broken")
    assert world.ingress.router.table.version == 7
    world.configure(9, "/newest/")
    assert world.ingress.router.find("h.example", "/newest/x") is not None
    assert world.ingress.router.find("h.example", "/new/x") is None


def test_engines_that_cannot_be_read_do_not_hide_others():
    world = Tables()
    world.put("keyed.servers", "i-1", ENGINE)
    world.put("keyed.servers", "i-2", b"{broken")
    assert [engine.id for engine in world.engines.listed] == ["i-1"]


def test_an_entry_that_cannot_be_read_is_told_once_for_each_fault():
    """An engine may write another value with the same fault at each heartbeat."""
    world = Tables()
    with captured() as messages:
        world.put("keyed.servers", "i-2", b"{broken")
        world.put("keyed.servers", "i-1", ENGINE)
        world.put("keyed.servers", "i-2", b"{broken anew")
        assert len(of(messages, process.PartSkipped)) == 1
        world.put("keyed.servers", "i-2", b'{"slots":"x"}')
    assert [engine.id for engine in world.engines.listed] == ["i-1"]
    skipped = of(messages, process.PartSkipped)
    assert [message["part"] for message in skipped] == ["i-2"] * 2
    assert skipped[0]["fault"] != skipped[1]["fault"]


def test_a_request_whose_headers_cannot_be_read_is_told():
    world = Tables()
    world.configure(7)
    exchange = Exchange(b"h.example", b"/p/x")
    exchange.head.headers.append((b"X-Notcharch-Deadline-Ms", b"soon"))
    with captured() as messages:
        world.ingress.handle(exchange)
    assert exchange.status == 400
    assert of(messages, calls.RequestMalformed)[0]["request"] == "r1"
