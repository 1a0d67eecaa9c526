"""Engines that frame their answers in three ways, and end them in every way."""

import re

import attrs
from twisted.internet.address import IPv4Address
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from notcharch.values.framing import Framing
from tests.stateful.calls.engine_network import SocketOptions
from tests.unit.http.pipe import TcpTransport

LATENCY_SECONDS = 0.001
REQUEST_ID = re.compile(rb"x-notcharch-request-id: (\S+)", re.IGNORECASE)
LAST_EVENT_ID = re.compile(rb"last-event-id: (\d+)", re.IGNORECASE)
FRAMING_HEADERS = {
    Framing.LENGTH: b"Content-Length: %d\r\n",
    Framing.CHUNKS: b"Transfer-Encoding: chunked\r\n",
    Framing.CONNECTION: b"",
}


@attrs.define(eq=False)
class Payload:
    """What the runs of one call make."""

    pieces: list[bytes]
    """The events of a stream, or the whole body."""
    is_stream: bool

    @property
    def body(self) -> bytes:
        return b"".join(self.pieces)

    def after(self, last: bytes | None) -> bytes:
        """Return what follows the event of an id."""
        return b"".join(self.pieces[0 if last is None else int(last) + 1 :])


@attrs.define(eq=False)
class Run:
    """One run of a call; `sent` counts the bytes of its body that were sent."""

    call: str
    connection: "Connection"
    body: bytes
    framing: Framing | None = None
    sent: int = 0
    tells_start: bool = True
    """Whether its engine tells its start while it answers."""

    @property
    def is_between_events(self) -> bool:
        """Whether nothing in the bytes of a stream tells that more should follow."""
        sent = self.body[: self.sent].replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        return not sent or sent.endswith(b"\n\n")

    @property
    def is_open(self) -> bool:
        return self.connection.run is self and not self.connection.is_closed

    def begin(self, framing: Framing) -> None:
        self.framing = framing
        self.tells_start = not self.connection.engine.is_mute
        header = FRAMING_HEADERS[framing]
        if framing is Framing.LENGTH:
            header %= len(self.body)
        self.connection.respond(
            b"HTTP/1.1 200 OK\r\nX-Notcharch-Request-Id: %b\r\n"
            b"X-Notcharch-Response-Seal: s\r\n%b\r\n" % (self.call.encode(), header)
        )

    def send(self, size: int) -> None:
        data = self.body[self.sent : self.sent + size]
        self.sent += len(data)
        if data and self.framing is Framing.CHUNKS:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if data:
            self.connection.respond(data)

    def finish(self) -> None:
        """Send the rest, and end the answer as its framing has it."""
        self.send(len(self.body))
        if not self.is_open:
            return
        if self.framing is Framing.CHUNKS:
            self.connection.respond(b"0\r\n\r\n")
        elif self.framing is Framing.CONNECTION:
            self.connection.end(is_clean=True)


class Connection(TcpTransport):
    """A connection to an engine; `run` is the latest on it."""

    def __init__(self, engine: "EndingEngine", protocol) -> None:
        super().__init__()
        self.engine = engine
        self._protocol = protocol
        self.run: Run | None = None
        self.is_forgotten = False
        protocol.makeConnection(self)

    def getHandle(self):  # noqa: N802
        return SocketOptions()

    def write(self, data: bytes) -> None:
        self.engine.network.callLater(LATENCY_SECONDS, self.engine.receive, self, data)

    def respond(self, data: bytes) -> None:
        if not self.is_closed:
            self._protocol.dataReceived(data)

    def end(self, *, is_clean: bool) -> None:
        if not self.is_closed:
            self.is_aborted = True
            reason = ConnectionDone() if is_clean else ConnectionLost()
            self._protocol.connectionLost(Failure(reason))


class EndingEngine:
    """One engine at its port; each process of it starts at another time."""

    def __init__(self, network: "EndingNetwork", port: int) -> None:
        self.network = network
        self.port = port
        self.is_alive = True
        self.is_mute = False
        """Whether it leaves questions unanswered."""
        self.started_ms = 1
        self.connections: list[Connection] = []
        self.runs: list[Run] = []

    def receive(self, connection: Connection, data: bytes) -> None:
        if connection.is_forgotten:
            connection.end(is_clean=False)
        if connection.is_closed:
            return
        if data.startswith(b"GET /report"):
            if not self.is_mute:
                body = b'{"born": %d}' % self.started_ms
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                connection.respond(head + body)
            return
        self._run(connection, data)

    def _run(self, connection: Connection, data: bytes) -> None:
        call = REQUEST_ID.search(data).group(1).decode()
        last = LAST_EVENT_ID.search(data)
        payload = self.network.payloads[call]
        body = payload.after(None if last is None else last.group(1))
        is_question = any(run.call == call for run in self.runs)
        connection.run = Run(call, connection, body)
        self.runs.append(connection.run)
        if is_question and not self.is_mute:
            connection.run.begin(Framing.CHUNKS)
            connection.run.finish()

    def die(self, *, is_clean: bool) -> None:
        """End the process; its connections end with it."""
        self.is_alive = False
        for connection in self.connections:
            connection.end(is_clean=is_clean)
        self.connections = []

    def start(self) -> None:
        self.is_alive = True
        self.is_mute = False
        self.started_ms += 1

    def forget_idle(self) -> None:
        """Reset each connection that is at rest, once something comes on it."""
        for connection in self.connections:
            run = connection.run
            connection.is_forgotten = run is None or run.sent == len(run.body)


class EndingNetwork(Clock):
    """A reactor whose connections reach engines by their ports."""

    def __init__(self) -> None:
        super().__init__()
        self.engines: dict[int, EndingEngine] = {}
        self.payloads: dict[str, Payload] = {}

    def connectTCP(self, _host, port, factory, **_):  # noqa: N802
        self.callLater(LATENCY_SECONDS, self._connect, port, factory)

    def _connect(self, port: int, factory) -> None:
        engine = self.engines[port]
        if not engine.is_alive:
            failure = Failure(ConnectionRefusedError())
            factory.clientConnectionFailed(None, failure)
            return
        protocol = factory.buildProtocol(IPv4Address("TCP", "10.0.0.1", port))
        engine.connections.append(Connection(engine, protocol))

    def settle(self) -> None:
        """Let everything arrive that is on its way, and be answered."""
        self.pump([LATENCY_SECONDS] * 12)

    def open_runs(self) -> list[Run]:
        return [
            run
            for engine in self.engines.values()
            for run in engine.runs
            if run.is_open and engine.is_alive
        ]
