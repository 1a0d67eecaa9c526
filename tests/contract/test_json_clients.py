"""Every plain request of every client, under every fault of its connection."""

from collections.abc import Callable
from random import Random

import attrs
import pytest
from result import Err, Ok
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from notcharch.clients import body_reader
from notcharch.clients.connections import Connections
from notcharch.clients.engine_client import EngineClient
from notcharch.clients.log_client import LogClient
from notcharch.clients.machine_list_client import MachineListClient
from notcharch.clients.ports import (
    CachedProgram,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    EngineLoad,
    EngineOrder,
    ExportedCache,
    LogPage,
    LogRecord,
    Machine,
    MachineChanges,
    MachineKind,
    MachineState,
    OrderKind,
    StoredRecord,
)
from notcharch.clients.weight_store_client import WeightStoreClient
from notcharch.errors import ProblemCode, Ran
from notcharch.settings.schema import PlatformSection
from tests.contract.scripted_server import Action, Reply, Reset, ScriptedServer, Silence
from tests.contract.spin import spin

TIMEOUT_SECONDS = 7.0
CONNECTION_REFUSED = "127.0.0.1:1"


class Clients:
    """One client of each kind, all against one address."""

    def __init__(self, address: str):
        self.address = address
        self.clock = Clock()
        self.connections = Connections(reactor, TIMEOUT_SECONDS)
        settings = PlatformSection(
            log=address,
            machine_list=address,
            weight_store=address,
            request_seconds=TIMEOUT_SECONDS,
        )
        agent = self.connections.agent
        self.engine = EngineClient(agent, self.clock, Random(1), settings)
        self.log = LogClient(agent, self.clock, settings)
        self.machines = MachineListClient(agent, self.clock, settings)
        self.weights = WeightStoreClient(agent, self.clock, settings)


@attrs.frozen
class Operation:
    """A call of a port, what must be sent for it, and a reply with its meaning."""

    name: str
    call: Callable[[Clients], Deferred]
    method: str
    uri: str
    sent: bytes
    reply: bytes
    value: object
    failure_code: ProblemCode


ENGINE = ProblemCode.ENGINE_FAILED
PLATFORM = ProblemCode.UNAVAILABLE

OPERATIONS = (
    Operation(
        "load",
        lambda clients: clients.engine.load(clients.address),
        "GET",
        "/v1/load",
        b"",
        b'{"sequence":3,"measured_at":1.5,"running":2,"waiting":1,"slots":8,'
        b'"free_blocks":10,"total_blocks":20,"block_tokens":16,'
        b'"prefill_tokens_per_second":9000.0,"decode_seconds_per_token":0.02,'
        b'"state":"leaving","a_later_field":1}',
        EngineLoad(3, 1.5, 2, 1, 8, 10, 20, 16, 9000.0, 0.02, MachineState.LEAVING),
        ENGINE,
    ),
    Operation(
        "cache_events with a gap",
        lambda clients: clients.engine.cache_events(clients.address, 4, 100),
        "GET",
        "/v1/cache/events?after=4&limit=100",
        b"",
        b'{"events":[{"sequence":5,"kind":"stored","program":"p","tokens":32},'
        b'{"sequence":9,"kind":"evicted","program":"q","tokens":0}],"next":9}',
        CacheEvents(
            (
                CacheEvent(5, CacheEventKind.STORED, "p", 32),
                CacheEvent(9, CacheEventKind.EVICTED, "q", 0),
            ),
            9,
        ),
        ENGINE,
    ),
    Operation(
        "cached_programs",
        lambda clients: clients.engine.cached_programs(clients.address),
        "GET",
        "/v1/cache/programs",
        b"",
        b'{"programs":[{"program":"p","tokens":64}]}',
        (CachedProgram("p", 64),),
        ENGINE,
    ),
    Operation(
        "release",
        lambda clients: clients.engine.release(clients.address, "p", 7),
        "POST",
        "/v1/cache/release",
        b'{"program":"p","epoch":7}',
        b'{"released_blocks":3}',
        3,
        ENGINE,
    ),
    Operation(
        "export_cache",
        lambda clients: clients.engine.export_cache(clients.address, "p"),
        "POST",
        "/v1/cache/export",
        b'{"program":"p"}',
        b'{"handle":"h","tokens":48}',
        ExportedCache("h", 48),
        ENGINE,
    ),
    Operation(
        "import_cache",
        lambda clients: clients.engine.import_cache(clients.address, "p", "a:1", "h"),
        "POST",
        "/v1/cache/import",
        b'{"program":"p","source":"a:1","handle":"h"}',
        b'{"tokens":48}',
        48,
        ENGINE,
    ),
    Operation(
        "order",
        lambda clients: clients.engine.order(
            clients.address, EngineOrder("o", 2, OrderKind.DRAIN, "")
        ),
        "POST",
        "/v1/orders",
        b'{"order_id":"o","epoch":2,"order":"drain","argument":""}',
        b'{"applied":true}',
        None,
        ENGINE,
    ),
    Operation(
        "append",
        lambda clients: clients.log.append("a/b", (LogRecord("r", "x"),)),
        "POST",
        "/v1/streams/a%2Fb/records",
        b'{"records":[{"id":"r","data":"x"}]}',
        b'{"first_offset":12,"next_offset":13}',
        12,
        PLATFORM,
    ),
    Operation(
        "read",
        lambda clients: clients.log.read("table", 3, 10),
        "GET",
        "/v1/streams/table/records?offset=3&limit=10&wait=0.0",
        b"",
        b'{"records":[{"offset":3,"id":"r","data":"x"}],"next_offset":4,'
        b'"end_offset":9}',
        LogPage((StoredRecord(3, "r", "x"),), 4, 9),
        PLATFORM,
    ),
    Operation(
        "changes",
        lambda clients: clients.machines.changes("north", 5),
        "GET",
        "/v1/machines?region=north&after=5",
        b"",
        b'{"version":6,"full":false,"machines":[{"name":"e1",'
        b'"kind":"model_engine","region":"north","zone":"z","address":"a:1",'
        b'"pools":["m"],"slots":4,"state":"gone"}]}',
        MachineChanges(
            6,
            False,
            (
                Machine(
                    "e1",
                    MachineKind.MODEL_ENGINE,
                    "north",
                    "z",
                    "a:1",
                    MachineState.GONE,
                    ("m",),
                    4,
                ),
            ),
        ),
        PLATFORM,
    ),
    Operation(
        "changes from nothing",
        lambda clients: clients.machines.changes("north", None),
        "GET",
        "/v1/machines?region=north",
        b"",
        b'{"version":6,"full":true,"machines":[]}',
        MachineChanges(6, True, ()),
        PLATFORM,
    ),
    Operation(
        "start_pull",
        lambda clients: clients.weights.start_pull("w", "e1"),
        "POST",
        "/v1/pulls",
        b'{"weights":"w","engine":"e1"}',
        b'{"pull":"p1"}',
        "p1",
        PLATFORM,
    ),
    Operation(
        "pull_fraction",
        lambda clients: clients.weights.pull_fraction("p/1"),
        "GET",
        "/v1/pulls/p%2F1",
        b"",
        b'{"state":"running","fraction":0.25}',
        0.25,
        PLATFORM,
    ),
)


def error_body(code: str, retry_after: str = "null") -> bytes:
    text = f'{{"error":{{"code":"{code}","message":"m","retry_after":{retry_after}}}}}'
    return text.encode()


@attrs.frozen
class Fault:
    """A script's action, and the problem that it must become."""

    name: str
    action: Action
    code: ProblemCode | None
    """None: the failure code of the system."""

    ran: Ran
    retry_after: float | None = 1.0


FAULTS = (
    Fault(
        "down",
        Reply(503, error_body("unavailable", "4.5")),
        ProblemCode.UNAVAILABLE,
        Ran.NO,
        4.5,
    ),
    Fault(
        "rate used up",
        Reply(429, error_body("rate_limited", "2")),
        ProblemCode.OVERLOADED,
        Ran.NO,
        2.0,
    ),
    Fault(
        "stale epoch",
        Reply(409, error_body("stale_epoch")),
        ProblemCode.STALE_EPOCH,
        Ran.NO,
        None,
    ),
    Fault(
        "not there",
        Reply(404, error_body("unknown")),
        ProblemCode.NOT_FOUND,
        Ran.NO,
        None,
    ),
    Fault(
        "bad request",
        Reply(400, error_body("bad_request")),
        ProblemCode.BAD_REQUEST,
        Ran.NO,
        None,
    ),
    Fault(
        "internal error",
        Reply(500, error_body("internal", "3")),
        None,
        Ran.UNKNOWN,
        3.0,
    ),
    Fault("down, in other words", Reply(503, b"<html>"), None, Ran.UNKNOWN),
    Fault("garbled JSON", Reply(200, b'{"tokens":'), None, Ran.UNKNOWN),
    Fault("another shape", Reply(200, b'["tokens"]'), None, Ran.UNKNOWN),
    Fault("answer lost after the effect", Reset(), None, Ran.UNKNOWN),
    Fault("reset within the answer", Reset(b'{"tok'), None, Ran.UNKNOWN),
)

operations = pytest.mark.parametrize(
    "operation", OPERATIONS, ids=lambda case: case.name
)


@operations
def test_reply_becomes_a_value(operation):
    async def scenario():
        server = ScriptedServer(Reply(200, operation.reply))
        clients = Clients(server.address)
        result = await operation.call(clients)
        assert result == Ok(operation.value)
        (received,) = server.received
        assert (received.method, received.uri) == (operation.method, operation.uri)
        assert received.body == operation.sent
        await finish(server, clients)

    spin(scenario())


@operations
@pytest.mark.parametrize("fault", FAULTS, ids=lambda case: case.name)
def test_fault_becomes_a_problem(operation, fault):
    async def scenario():
        server = ScriptedServer(fault.action)
        clients = Clients(server.address)
        result = await operation.call(clients)
        assert isinstance(result, Err)
        problem = result.err_value
        assert problem.is_code(fault.code or operation.failure_code)
        assert problem.ran is fault.ran
        assert problem.retry_after == fault.retry_after
        assert len(server.received) == 1, "it must not be sent again"
        await finish(server, clients)

    spin(scenario())


@operations
def test_refused_connection_did_not_run(operation):
    async def scenario():
        clients = Clients(CONNECTION_REFUSED)
        problem = (await operation.call(clients)).err_value
        assert problem.is_code(operation.failure_code)
        assert problem.ran is Ran.NO
        assert problem.retry_after is not None

    spin(scenario())


@operations
@pytest.mark.parametrize("body", [None, b'{"tok'], ids=["no answer", "half an answer"])
def test_no_answer_in_time_is_unknown(operation, body):
    async def scenario():
        server = ScriptedServer(Silence(body))
        clients = Clients(server.address)
        call = operation.call(clients)
        await server.has_received(1)
        clients.clock.advance(TIMEOUT_SECONDS - 0.1)
        assert not call.called
        clients.clock.advance(0.1)
        problem = (await call).err_value
        assert problem.is_code(ProblemCode.TIMED_OUT)
        assert problem.ran is Ran.UNKNOWN
        await server.has_lost_caller()
        await finish(server, clients)

    spin(scenario())


def test_read_that_waits_has_its_wait_on_top_of_the_time_out():
    async def scenario():
        server = ScriptedServer(Silence())
        clients = Clients(server.address)
        call = clients.log.read("table", 0, 1, wait_seconds=20.0)
        await server.has_received(1)
        clients.clock.advance(20.0 + TIMEOUT_SECONDS - 0.1)
        assert not call.called
        clients.clock.advance(0.1)
        assert (await call).err_value.is_code(ProblemCode.TIMED_OUT)
        await finish(server, clients)

    spin(scenario())


def test_endless_answer_is_cut_off(monkeypatch):
    monkeypatch.setattr(body_reader, "LONGEST_BODY_BYTES", 1000)

    async def scenario():
        server = ScriptedServer(Silence(b"x" * 1001))
        clients = Clients(server.address)
        problem = (await clients.log.read("table", 0, 1)).err_value
        assert problem.ran is Ran.UNKNOWN
        await server.has_lost_caller()
        await finish(server, clients)

    spin(scenario())


def test_connection_is_kept_and_one_that_broke_is_not():
    async def scenario():
        good = Reply(200, b'{"pull":"p"}')
        server = ScriptedServer(good, good, Reset(), good)
        clients = Clients(server.address)
        outcomes = [await clients.weights.start_pull("w", "e") for _ in range(4)]
        assert [outcome.is_ok() for outcome in outcomes] == [True, True, False, True]
        assert server.connections == 2
        await finish(server, clients)

    spin(scenario())


async def finish(server: ScriptedServer, clients: Clients) -> None:
    assert clients.clock.getDelayedCalls() == [], "a timer is left behind"
    await clients.connections.close()
    await server.close()
