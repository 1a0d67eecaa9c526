"""Engines in this process: each counts its runs for the oracle and obeys its faults."""

import enum
import time
from random import Random
from typing import Any

import msgspec
from twisted.internet.interfaces import IDelayedCall, IListeningPort

from deploy.soak.link_proxy import LinkProxy
from deploy.soak.oracle import Oracle, Run, answer_of, event_of
from deploy.soak.settings import HOST, MODELS, MOST_EVENTS, PLAIN_PATH, VERSIONS
from deploy.soak.store_server import StoreServer
from deploy.soak.zones import COLD_SECONDS, ZONES
from notcharch.http.messages import Headers
from notcharch.http.server import Exchange, ServerFactory, ServerLimits

SERVERS_TOPIC = "keyed.servers"
EVENT_SECONDS = 0.02
WORK_SECONDS = 0.03
HEARTBEAT_SECONDS = 1.2
SLOTS = 2
"""Few enough that four daemons exchange the loads of engines."""
CHUNKED: Headers = [(b"transfer-encoding", b"chunked")]


class EngineFault(enum.Enum):
    """What an engine does wrong."""

    NONE = "none"
    SHED = "shed"
    """Refuses every other request before it runs."""
    LOSE_ANSWERS = "lose answers"
    """Runs requests, and cuts some connections before the answer."""
    BREAK_EVENTS = "break events"
    """Cuts some streams in the middle of an event."""
    ERRORS = "errors"
    """Runs some requests and answers 500."""
    HANG = "hang"
    """Runs some requests and says nothing more."""
    SLOW = "slow"
    """Takes several times as long for everything."""
    FORGET_IDLE = "forget idle connections"
    """Resets some connections on which another request comes, without running it."""


FAULT_SHARE = 0.3
SLOWNESS = 6.0


class EngineEntry(msgspec.Struct, frozen=True):
    """An engine's entry in the store."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    cold_remaining_ms: int
    call_sequence: int
    version: str
    born: int
    """Unix milliseconds of its start."""


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine says of itself when it is asked."""

    born: int


class SoakEngine:
    """One engine: its port, its incarnation, its faults; a `RequestHandler`."""

    def __init__(
        self,
        reactor: Any,
        random: Random,
        oracle: Oracle,
        store: StoreServer,
        service: str,
        *,
        number: int,
    ) -> None:
        """Listen, behind a proxy, and be listed in the store."""
        self._reactor = reactor
        self._random = random
        self._oracle = oracle
        self._store = store
        self._service = service
        self._number = number
        self._incarnation = 0
        self._beats = 0
        self.fault = EngineFault.NONE
        self.zone = ZONES[number % len(ZONES)]
        self._cold_until = 0.0
        self._is_leaving = False
        self._is_down = False
        self.version = VERSIONS[0]
        self._born = 0
        self._begin_process()
        self._open: set[Running] = set()
        factory = ServerFactory(self, reactor)
        self._listening: IListeningPort = reactor.listenTCP(0, factory, interface=HOST)
        self.link = LinkProxy(reactor, self._listening.getHost().port)
        self._beat: IDelayedCall | None = None
        self._heartbeat()

    @property
    def id(self) -> str:
        """The id of the present incarnation."""
        return f"i-{self._service}-{self._number}-{self._incarnation}"

    def _begin_process(self) -> None:
        """Note the start of a process; no two of an engine share a millisecond."""
        self._born = max(round(time.time() * 1000), self._born + 1)

    # The store's list

    def _heartbeat(self) -> None:
        if not self._is_down:
            self._beats += 1
            state = "draining" if self._is_leaving else "ready"
            entry = EngineEntry(
                self._service,
                f"{HOST}:{self.link.port}",
                self.zone,
                SLOTS,
                state,
                self._cold_milliseconds(),
                self._beats,
                self.version,
                self._born,
            )
            value = msgspec.json.encode(entry)
            self._store.write_key(SERVERS_TOPIC, self.id, value)
        self._beat = self._reactor.callLater(HEARTBEAT_SECONDS, self._heartbeat)

    def _cold_milliseconds(self) -> int:
        return max(0, round((self._cold_until - self.now()) * 1000))

    def turn_cold(self) -> None:
        """Be cold for a while; the entry says so with its next heartbeat."""
        if self._service == MODELS:
            self._cold_until = self.now() + COLD_SECONDS

    @property
    def is_cold(self) -> bool:
        """Whether this engine bears few calls now."""
        return self.now() < self._cold_until

    def leave(self) -> None:
        """Say that this engine leaves; it goes on serving."""
        self._is_leaving = True
        if self._beat is not None and self._beat.active():
            self._beat.reset(0)

    def crash(self) -> None:
        """End everything that runs; be another incarnation later."""
        self._is_down = True
        self._store.write_key(SERVERS_TOPIC, self.id, b"")
        for running in tuple(self._open):
            running.cut()
        self.link.reset_all()

    def change_version(self) -> None:
        """Have the other software from the next start on."""
        self.version = next(v for v in VERSIONS if v != self.version)

    def restart_under_its_id(self) -> None:
        """End everything that runs, and go on at once at the other version.

        The entry still tells of the process before, until the next heartbeat.
        """
        if self._is_down or self._is_leaving:
            return
        for running in tuple(self._open):
            running.cut()
        self.link.reset_all()
        self.change_version()
        self._begin_process()

    def start_again(self) -> None:
        """Begin another incarnation."""
        if not (self._is_down or self._is_leaving):
            return
        self._begin_process()
        self._store.write_key(SERVERS_TOPIC, self.id, b"")
        self._incarnation += 1
        self._is_down = self._is_leaving = False
        self.turn_cold()
        if self._beat is not None and self._beat.active():
            self._beat.reset(0)

    # Requests

    def limits(self) -> ServerLimits:
        """Give the usual limits."""
        return ServerLimits()

    def is_closing(self) -> bool:
        """Keep connections."""
        return False

    def count(self, change: int) -> None:
        """Count nothing."""

    def handle(self, exchange: Exchange) -> None:
        """Refuse a request, or run it."""
        head = exchange.head
        expected = (head.get(b"x-notcharch-expect-instance") or b"").decode()
        if self._is_down:
            exchange.abort()
            return
        if head.target == b"/report":
            exchange.respond(200, [], msgspec.json.encode(EngineReport(self._born)))
            return
        if expected and expected != self.id:
            exchange.respond(421, [(b"X-Notcharch-Instance-Id", self.id.encode())])
            return
        if self.fault is EngineFault.SHED and self._is_struck():
            exchange.respond(503, [(b"X-Notcharch-Not-Executed", b"1")])
            return
        if self.is_struck_by(EngineFault.FORGET_IDLE):
            exchange.abort()
            return
        Running(self, exchange).start()

    def _is_struck(self) -> bool:
        return self._random.random() < FAULT_SHARE

    def is_struck_by(self, fault: EngineFault) -> bool:
        """Tell whether a request suffers from a fault."""
        return self.fault is fault and self._is_struck()

    def began(self, running: "Running", run: Run) -> None:
        """Count a run."""
        self._open.add(running)
        self._oracle.runs[running.request].append(run)

    def ended(self, running: "Running") -> None:
        """Remove a run."""
        self._open.discard(running)

    def lapse(self) -> None:
        """Lose the entry in the store, until the next heartbeat."""
        self._store.write_key(SERVERS_TOPIC, self.id, b"")

    def now(self) -> float:
        """Give the seconds of the clock that callers use as well."""
        seconds: float = self._reactor.seconds()
        return seconds

    def later(self, seconds: float, call: Any) -> IDelayedCall:
        """Call later; later still while this engine is slow."""
        if self.fault is EngineFault.SLOW:
            seconds *= SLOWNESS
        delayed: IDelayedCall = self._reactor.callLater(seconds, call)
        return delayed

    def length_of(self, stream: str) -> int:
        """Give how many events a stream has; each engine gives as many."""
        length = self._oracle.lengths.get(stream)
        if length is None:
            length = self._random.randint(3, MOST_EVENTS)
            self._oracle.lengths[stream] = length
        return length


class Running:
    """One request that an engine runs."""

    def __init__(self, engine: SoakEngine, exchange: Exchange) -> None:
        """Read what the run needs."""
        self._engine = engine
        self._exchange = exchange
        head = exchange.head
        self.request = (head.get(b"x-notcharch-request-id") or b"").decode()
        self._stream = (head.get(b"resumes") or b"").decode() or self.request
        """The attempt that brought the stream's first event."""
        self._path = head.target.decode()
        after = head.get(b"last-event-id")
        self._next = 0 if after is None else int(after) + 1
        self._timer: IDelayedCall | None = None
        exchange.on_disconnect = self._gone

    def start(self) -> None:
        """Run it."""
        head = self._exchange.head
        run = Run(
            self._engine.id,
            self._path,
            self._exchange.body,
            self._next - 1,
            tenant=(head.get(b"x-notcharch-tenant") or b"").decode(),
            has_key=head.get(b"x-api-key") is not None,
            at=self._engine.now(),
            zone=self._engine.zone,
            is_cold=self._engine.is_cold,
        )
        self._engine.began(self, run)
        self._timer = self._engine.later(WORK_SECONDS, self._answer)

    @property
    def _headers(self) -> Headers:
        return [
            (b"X-Notcharch-Request-Id", self.request.encode()),
            (b"X-Notcharch-Response-Seal", b"seal-" + self.request.encode()),
        ]

    def _answer(self) -> None:
        engine = self._engine
        if engine.is_struck_by(EngineFault.HANG):
            return
        if engine.is_struck_by(EngineFault.LOSE_ANSWERS):
            self.cut()
        elif engine.is_struck_by(EngineFault.ERRORS):
            engine.ended(self)
            self._exchange.respond(500, self._headers, b"error")
        elif self._path.startswith((PLAIN_PATH, "/kept/")):
            headers = [*self._headers, (b"content-type", b"text/event-stream")]
            self._exchange.start(200, headers)
            self._event()
        else:
            engine.ended(self)
            body = answer_of(self.request, self._exchange.body)
            self._exchange.respond(200, self._headers, body)

    def _event(self) -> None:
        engine = self._engine
        if self._next >= engine.length_of(self._stream):
            engine.ended(self)
            self._exchange.finish()
            return
        data = event_of(self.request, self._next, engine.version)
        event = b"id: %d\ndata: %b\n\n" % (self._next, data)
        if engine.is_struck_by(EngineFault.BREAK_EVENTS):
            self._exchange.write(event[: len(event) // 2])
            self._timer = engine.later(0.0, self.cut)
            return
        self._exchange.write(event)
        self._next += 1
        self._timer = engine.later(EVENT_SECONDS, self._event)

    def cut(self) -> None:
        """Break the answer off."""
        self._gone()
        self._exchange.abort()

    def _gone(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._engine.ended(self)
