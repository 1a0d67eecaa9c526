"""A daemon's process on a virtual clock, its callers and its engines, for planned stops.

Only the ports of store and peers are missing. Requests name in their path how long their
engine takes and how long its answer is: `/<route>/<seconds>/<bytes>`.
"""

import itertools

import msgspec
from twisted.internet.testing import MemoryReactorClock

from notcharch.calls.engine_sender import CONNECT_TIMEOUT_SECONDS
from notcharch.calls.routing import Router
from notcharch.http.client import ResponseFailure
from notcharch.http.messages import ResponseHead
from notcharch.platform.process import Process
from notcharch.platform.settings import read_settings
from notcharch.settings.mechanisms import ALL_MECHANISMS
from notcharch.values.framing import Framing
from tests.unit.calls.world import Sent, engine
from tests.unit.http.slow_peer import SlowPeerTransport
from tests.unit.platform.decoding import decode_table
from tests.unit.platform.test_settings import TEXT

GRACE_SECONDS = 8.0
STEP_SECONDS = 0.05
EVENT_SECONDS = 0.5
"""Interval of the events of a stream."""
FIRST_EVENT_SECONDS = 0.05
"""Before any first event counts as overdue."""
HEADER_TIMEOUT_MS = 20_000
"""Longer than a stop, so that a slow head lasts until its end."""
UNLIMITED = float("inf")
KINDS = {
    "plain-once": {"kind": "non_idempotent"},
    "plain-again": {"kind": "idempotent"},
    "stream-once": {"kind": "streaming"},
    "stream-again": {"kind": "streaming", "resumable": True},
}
"""Routes of calls that must run at most once, and of those that may be repeated."""
TABLE = {
    "version": 7,
    "routes": [
        {
            "name": name,
            "host": "h.example",
            "path_prefix": f"/{name}/",
            "service": "s",
            "public": True,
            "timeout_ms": 60000,
            **changes,
        }
        for name, changes in KINDS.items()
    ],
    "services": [{"name": "s"}],
    "limits": {"header_timeout_ms": HEADER_TIMEOUT_MS},
}


class EngineAnswer(Sent):
    """The answer of a model engine, after the time that its request names."""

    def __init__(self, world, engine, head, body, listener) -> None:
        super().__init__(engine, head, body, listener)
        self.world = world
        self.id = head.get(b"x-notcharch-request-id").decode()
        _, self.route, seconds, length = head.target.decode().split("/")
        self.seconds, self.length = float(seconds), int(length)
        self.sent_at = 0.0
        self.is_after_stop = False
        """Whether the engine got it after SIGTERM."""
        self.is_over = False

    def start(self) -> None:
        """Begin the answer: the request has arrived."""
        self.sent_at = self.world.now
        self.is_after_stop = self.world.is_stopping
        reactor = self.world.reactor
        if KINDS[self.route]["kind"] == "streaming":
            self._begin()
            reactor.callLater(min(FIRST_EVENT_SECONDS, self.seconds), self._event)
        else:
            reactor.callLater(self.seconds, self._answer)

    def _begin(self, framing=Framing.CHUNKS) -> None:
        headers = [(b"X-Notcharch-Response-Seal", b"x")]
        headers.append((b"X-Notcharch-Request-Id", self.id.encode()))
        self.listener.head_received(ResponseHead(200, headers, framing=framing))

    def _event(self) -> None:
        if self.is_abandoned:
            return
        self.listener.data_received(b"id: 1\ndata: a\n\n")
        left = self.sent_at + self.seconds - self.world.now
        if left <= 0:
            self._complete()
        else:
            self.world.reactor.callLater(min(EVENT_SECONDS, left), self._event)

    def _answer(self) -> None:
        if self.is_abandoned:
            return
        self._begin()
        self._send_body(self.length)

    def _send_body(self, left: int) -> None:
        while left and not self.is_abandoned:
            if self.is_paused:
                self.world.reactor.callLater(STEP_SECONDS, self._send_body, left)
                return
            piece = min(left, 32 * 1024)
            self.listener.data_received(b"x" * piece)
            left -= piece
        if not self.is_abandoned:
            self._complete()

    def _complete(self) -> None:
        self.is_over = True
        self.listener.completed()

    def break_off(self) -> None:
        self.is_over = self.is_abandoned = True
        self.listener.failed(ResponseFailure.RESET)


class Engines:
    """The sender to model engines."""

    def __init__(self, world) -> None:
        self.world = world
        self.got: dict[str, list[EngineAnswer]] = {}
        """What engines have got, by request id."""
        self.is_connecting = False
        """Whether connections to engines are not open yet."""
        self.connecting: list[EngineAnswer] = []
        """Requests that wait for them."""

    def send(self, engine, head, body, listener, *, confirm=None):
        answer = EngineAnswer(self.world, engine, head, body, listener)
        if self.is_connecting:
            answer.is_sent = False
            self.connecting.append(answer)
            self.world.reactor.callLater(CONNECT_TIMEOUT_SECONDS, self._give_up, answer)
        else:
            self._receive(answer)
        return answer

    def connect(self) -> None:
        """Open the connections on which requests wait, and send them."""
        self.is_connecting = False
        connecting, self.connecting = self.connecting, []
        for answer in connecting:
            if not answer.is_abandoned:
                answer.is_sent = True
                self._receive(answer)

    def _give_up(self, answer: EngineAnswer) -> None:
        """End an attempt to connect, as the daemon's own timeout does."""
        if answer in self.connecting:
            self.connecting.remove(answer)
            if not answer.is_abandoned:
                answer.listener.unreachable()

    def _receive(self, answer: EngineAnswer) -> None:
        self.got.setdefault(answer.id, []).append(answer)
        answer.start()

    def release(self, engine_id, request):
        pass

    def close_idle(self, engine_id):
        pass


class Response(msgspec.Struct):
    """What a caller has read of one response."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_whole: bool


def read_responses(data: bytes) -> list[Response]:
    """Read all responses from what a connection has received."""
    responses = []
    while b"\r\n\r\n" in data:
        head, _, data = data.partition(b"\r\n\r\n")
        first, *lines = head.split(b"\r\n")
        pairs = (line.partition(b":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        status = int(first.split()[1])
        if status == 100:
            continue
        if b"content-length" in headers:
            length = int(headers[b"content-length"])
            body, data = data[:length], data[length:]
            is_whole = len(body) == length
        else:
            body, data, is_whole = _read_chunks(data)
        responses.append(Response(status, headers, body, is_whole))
    return responses


def _read_chunks(data: bytes) -> tuple[bytes, bytes, bool]:
    body = b""
    while b"\r\n" in data:
        size_line, _, rest = data.partition(b"\r\n")
        size = int(size_line, 16)
        if len(rest) < size + 2:
            break
        body += rest[:size]
        data = rest[size + 2 :]
        if not size:
            return body, data, True
    return body, data, False


class Caller:
    """A caller's connection, which reads so many bytes a second."""

    def __init__(self, world, bytes_per_second: float = UNLIMITED) -> None:
        self.world = world
        self.bytes_per_second = bytes_per_second
        self.transport = SlowPeerTransport()
        self.connection = world.components.factory.buildProtocol(None)
        self.transport.attach(self.connection)
        self._tail: list[bytes] = []

    def request(
        self,
        route: str,
        seconds: float,
        *,
        length: int = 10,
        deadline_ms: int | None = None,
        body: bytes = b"",
    ) -> bytes:
        """Return the bytes of a new request, and note its id."""
        self.id = f"call-{next(self.world.numbers)}"
        lines = [f"POST /{route}/{seconds}/{length} HTTP/1.1", "Host: h.example"]
        lines += [f"X-Notcharch-Request-Id: {self.id}", f"Content-Length: {len(body)}"]
        if deadline_ms is not None:
            lines.append(f"X-Notcharch-Deadline-Ms: {deadline_ms}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    def call(self, route: str, seconds: float, **changes) -> str:
        """Send a request whole; return its id."""
        self.send(self.request(route, seconds, **changes))
        return self.id

    def send(self, data: bytes) -> None:
        if not self.is_closed and self.transport.is_reading:
            self.connection.dataReceived(data)

    def send_slowly(self, data: bytes, seconds: float) -> None:
        """Send at an even rate for so long."""
        pieces = max(round(seconds / STEP_SECONDS), 1)
        size = -(-len(data) // pieces)
        for number, start in enumerate(range(0, len(data), size)):
            piece = data[start : start + size]
            self.world.reactor.callLater(number * STEP_SECONDS, self.send, piece)

    def step(self) -> None:
        if self.transport.is_aborted:
            self.transport.lose()
        if not self.transport.is_lost:
            room = self.bytes_per_second * STEP_SECONDS
            self.transport.read(int(min(room, 1 << 30)))

    @property
    def is_closed(self) -> bool:
        return self.transport.is_lost or self.transport.disconnecting

    @property
    def responses(self) -> list[Response]:
        return read_responses(self.transport.sent)

    @property
    def response(self) -> Response:
        (response,) = self.responses
        return response


class FrontPort:
    """The callers' listening port."""

    is_open = True

    def stopListening(self) -> None:  # noqa: N802
        self.is_open = False


class StopWorld:
    """A daemon that serves, until `stop`."""

    def __init__(self, *, admission=None) -> None:
        self.reactor = MemoryReactorClock()
        self.reactor.advance(1000.0)
        settings = read_settings(TEXT).ok_value
        self.process = Process(settings, self.reactor, None, ALL_MECHANISMS)
        self.process.start()
        self.components = self.process._components
        ingress = self.components.ingress
        ingress.router = Router(decode_table(msgspec.json.encode(TABLE)))
        services = ingress._services
        services.pool.replace([engine("a"), engine("b")])
        self.engines = Engines(self)
        msgspec.structs.force_setattr(services, "sender", self.engines)
        if admission is not None:
            msgspec.structs.force_setattr(services, "admission", admission)
        self.port = self.process._listeners._front.port = FrontPort()
        self.numbers = itertools.count(1)
        self.callers: list[Caller] = []
        self.stopped_at = 0.0
        self.is_stopping = False
        self.ended_at: float | None = None

    @property
    def now(self) -> float:
        return self.reactor.seconds()

    def caller(self, bytes_per_second: float = UNLIMITED) -> Caller:
        caller = Caller(self, bytes_per_second)
        self.callers.append(caller)
        return caller

    def learn(self, route: str, seconds: float, calls: int = 8) -> None:
        """Serve calls of a route that take so long."""
        for _ in range(calls):
            self.caller().call(route, seconds)
        self.run(seconds + 2 * STEP_SECONDS)

    def stop(self) -> None:
        self.stopped_at = self.now
        self.is_stopping = True
        self.process.on_stop_signal()
        if self.reactor.hasStopped:
            self.ended_at = 0.0

    @property
    def since_stop(self) -> float:
        return self.now - self.stopped_at

    def run(self, seconds: float) -> None:
        """Advance the clock until then, or until the process has ended."""
        for _ in range(round(seconds / STEP_SECONDS)):
            if self.reactor.hasStopped:
                return
            self.reactor.advance(STEP_SECONDS)
            if self.reactor.hasStopped:
                self.ended_at = self.since_stop
                return
            for caller in tuple(self.callers):
                caller.step()

    def run_until(self, seconds: float) -> None:
        """Advance the clock to so many seconds after the stop."""
        self.run(seconds - self.since_stop)

    def finish(self) -> None:
        """Run to the end of the process."""
        self.run_until(GRACE_SECONDS)
        assert self.ended_at is not None, "the process is killed"
