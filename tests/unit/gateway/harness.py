"""A gateway with a real program leader and engines that the tests control."""

import json
import random
from collections.abc import Callable

import attrs
import msgspec
from prometheus_client import CollectorRegistry
from result import Err, Ok
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource

from notcharch.clients.ports import EngineRequest, StreamEnd
from notcharch.gateway.http_site import LimitedSite
from notcharch.gateway.resource import Gateway
from notcharch.programs.leader_service import ProgramLeaderService
from notcharch.programs.state import ProgramsState
from notcharch.settings.schema import GatewaySection, ProgramsSection
from notcharch.values.chat import FinishReason, TokenUsage
from notcharch.values.identifiers import Member
from notcharch.wire.messages.engines import CallGranted
from tests.unit.programs.fakes import (
    START,
    FakeDirectory,
    FakeLog,
    FakeMembership,
    FakeNetwork,
    FakeRouter,
    FakeTable,
    Leader,
    LocalPartitions,
)

KEYS = {"key-1": "tenant-1", "key-2": "tenant-2"}
PARTITIONS = 2


class AllPartitions(LocalPartitions):
    """Leads both partitions; proposals are applied directly."""

    def __init__(self):
        super().__init__()
        self.states = {number: ProgramsState() for number in range(PARTITIONS)}

    def leader_epoch(self, partition):
        return self.epoch

    def propose(self, partition, command):
        result = self.states[partition].apply(command, self.epoch)
        self.applied.append(command)
        return succeed(Ok(result))


class KeyedTable(FakeTable):
    version = 1

    def tenant_of_key(self, key):
        return KEYS.get(key)


class KeyedLeader(Leader):
    """The leader service with all partitions and a table with API keys."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(START)
        self.network = FakeNetwork()
        self.partitions = AllPartitions()
        self.table = KeyedTable()
        self.service = ProgramLeaderService(
            network=self.network,
            partitions=self.partitions,
            programs_of=self.partitions.programs_of,
            table=self.table,
            membership=FakeMembership(),
            router=FakeRouter(),
            directory=FakeDirectory(),
            log=FakeLog(),
            clock=self.clock,
            region="region1",
            settings=ProgramsSection(),
        )


class FaultyRouter:
    """Sends to the leader's handlers; `faults` has a queue per message type."""

    def __init__(self, leader: Leader):
        self._leader = leader
        self.sent = []
        self.faults: dict[type, list[Callable]] = {}

    def to_partition(self, partition, message, timeout_seconds):
        self.sent.append(message)
        faults = self.faults.get(type(message))
        if faults:
            return faults.pop(0)(lambda: self._send(message))
        return self._send(message)

    def _send(self, message):
        def as_result(reply):
            return Err(reply) if hasattr(reply, "http_status") else Ok(reply)

        return self._leader.network.send(message).addCallback(as_result)

    def count(self, message_type):
        return sum(isinstance(message, message_type) for message in self.sent)


def refused(problem):
    """Return a fault: the message is not delivered and `problem` is the reply."""
    return lambda send: succeed(Err(problem))


def reply_dropped(problem):
    """Return a fault: the message is handled, but `problem` replaces its reply."""

    def fault(send):
        send()
        return succeed(Err(problem))

    return fault


class DelayedReply:
    """A fault that delays a message until `release`."""

    def __init__(self):
        self._gate = Deferred()

    def __call__(self, send):
        return self._gate.addCallback(lambda _: send())

    def release(self):
        self._gate.callback(None)


class FakeSlot:
    def __init__(self, source):
        self._source = source

    def may_start(self):
        return self._source.may_start

    def release(self):
        self._source.held -= 1


class FakeSlots:
    """Returns a slot immediately, or `problem` if set."""

    def __init__(self):
        self.held = 0
        self.may_start = True
        self.problem = None

    async def acquire(self, service, priority, give_up_seconds):
        if self.problem is not None:
            return Err(self.problem)
        self.held += 1
        return Ok(FakeSlot(self))


class FakePlacer:
    """Grants engine-1, engine-2 … in turn, or returns `problem` if set."""

    def __init__(self):
        self.problem = None
        self.open_grants = {}
        self.returned = []
        self.placed = []
        self.avoided = []

    async def place(
        self, admitted, row, max_tokens, give_up_seconds=None, avoid=frozenset()
    ):
        self.placed.append(admitted)
        self.avoided.append(avoid)
        if self.problem is not None:
            return Err(self.problem)
        name = f"engine-{len(self.placed)}"
        grant = CallGranted(f"g{len(self.placed)}", name, f"{name}:1", 1)
        self.open_grants[grant.grant] = grant
        return Ok(grant)

    def return_grant(self, grant, usage, engine_failed):
        del self.open_grants[grant.grant]
        self.returned.append((grant.engine, usage, engine_failed))
        return succeed(None)


class FakeStream:
    """A stream whose events and end are produced by the test."""

    def __init__(self, address: str, request: EngineRequest, on_bytes):
        self.address = address
        self.request = request
        self.finished = Deferred()
        self.paused = False
        self.has_started = False
        self._on_bytes = on_bytes
        self._number = 0
        self._texts = []

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False

    def cancel(self):
        raise AssertionError("a run is never cancelled for its caller")

    def token(self, text):
        self.has_started = True
        self._texts.append(text)
        self._event({"content": text}, None)

    def end(self):
        """Send the last chunk and `[DONE]`, and finish."""
        self._event({}, "stop")
        self._on_bytes(b"data: [DONE]\n\n")
        content = "".join(self._texts)
        usage = TokenUsage(10, len(self._texts), 4)
        self.finished.callback(Ok(StreamEnd(content, None, FinishReason.STOP, usage)))

    def end_with_tool_calls(self, tool_calls):
        raw = msgspec.Raw(json.dumps(tool_calls).encode())
        usage = TokenUsage(10, 3)
        end = StreamEnd("", raw, FinishReason.TOOL_CALLS, usage)
        self.finished.callback(Ok(end))

    def answer(self, *texts):
        for text in texts:
            self.token(text)
        self.end()

    def fail(self, problem):
        self.finished.callback(Err(problem))

    def _event(self, delta, finish_reason):
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        chunk = json.dumps({"choices": [choice]}).encode()
        self._on_bytes(b"id: %d\ndata: %b\n\n" % (self._number, chunk))
        self._number += 1


class FakeEngines:
    def __init__(self):
        self.streams: list[FakeStream] = []

    def open_stream(self, address, request, on_bytes):
        self.streams.append(FakeStream(address, request, on_bytes))
        return self.streams[-1]


@attrs.define
class Response:
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def events(self):
        return [
            line[len(b"data: ") :].decode()
            for line in self.body.split(b"\n")
            if line.startswith(b"data: ")
        ]

    @property
    def content(self):
        chunks = [json.loads(event) for event in self.events if event != "[DONE]"]
        return "".join(
            chunk["choices"][0]["delta"].get("content") or ""
            for chunk in chunks
            if "choices" in chunk
        )


class Connection:
    """Connection of one caller, in memory."""

    def __init__(self, site):
        self.channel = site.buildProtocol(None)
        self.transport = StringTransport()
        self.transport.abortConnection = self.transport.loseConnection
        self.channel.makeConnection(self.transport)

    def send(self, data: bytes):
        self.channel.dataReceived(data)

    def request(self, method, path, body=None, key="key-1", headers=()):
        data = body if isinstance(body, bytes) else b""
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: 127.0.0.1:1"]
        lines += [f"Content-Length: {len(data)}"]
        lines += [f"Authorization: Bearer {key}"] if key else []
        lines += [f"{name}: {value}" for name, value in headers]
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + data)

    def disconnect(self):
        from twisted.internet.error import ConnectionLost
        from twisted.python.failure import Failure

        self.channel.connectionLost(Failure(ConnectionLost()))

    def response(self) -> Response:
        """Return the part of the first response that was received so far."""
        head, _, rest = self.transport.value().partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        pairs = [line.split(": ", 1) for line in lines]
        headers = {name.lower(): value for name, value in pairs}
        if headers.get("transfer-encoding") == "chunked":
            body, is_complete = _unchunked(rest)
        else:
            body = rest
            is_complete = len(rest) == int(headers.get("content-length", 0))
        return Response(int(first.split()[1]), headers, body, is_complete)


def _unchunked(data: bytes) -> tuple[bytes, bool]:
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            return body, True
        body += data[:length]
        data = data[length + 2 :]
    return body, False


class GatewayHarness:
    """A gateway with fakes and in-memory connections."""

    def __init__(self, **section):
        self.leader = KeyedLeader()
        self.clock = self.leader.clock
        self.router = FaultyRouter(self.leader)
        self.slots = FakeSlots()
        self.placer = FakePlacer()
        self.engines = FakeEngines()
        self.table = self.leader.table
        self.registry = CollectorRegistry()
        settings = GatewaySection(**section)
        self.gateway = Gateway(
            router=self.router,
            slots=self.slots,
            placer=self.placer,
            engines=self.engines,
            table=self.table,
            clock=self.clock,
            chance=random.Random(1),
            own_member=Member("daemon-2", 1),
            region="region1",
            partition_count=PARTITIONS,
            section=settings,
            registry=self.registry,
        )
        root = Resource()
        root.putChild(b"v1", self.gateway.resource())
        self.site = LimitedSite(root, settings, self.clock)

    def connect(self) -> Connection:
        return Connection(self.site)

    def begin(self, method, path, body=None, **options) -> Connection:
        """Send a request on a new connection."""
        connection = self.connect()
        connection.request(method, path, body, **options)
        return connection

    def fetch(self, method, path, body=None, **options) -> Response:
        """Send a request whose response is complete immediately."""
        response = self.begin(method, path, body, **options).response()
        assert response.is_complete, response
        return response

    def program(self, service="guide", **options) -> str:
        response = self.fetch("POST", "/v1/programs", {"service": service}, **options)
        assert response.status == 201, response.body
        return response.json["program"]

    def call(self, program, sequence=1, text="hello", **fields) -> Connection:
        body = {"messages": [{"role": "user", "content": text}], "sequence": sequence}
        path = f"/v1/programs/{program}/calls"
        return self.begin("POST", path, {**body, **fields})

    @property
    def stream(self) -> FakeStream:
        return self.engines.streams[-1]
