"""Engines in this process: each counts its runs for the oracle and obeys its faults."""

import enum
import time
from random import Random
from typing import Any

import msgspec
from twisted.internet.interfaces import IDelayedCall, IListeningPort

from deploy.soak.deadly import DeadlyKind, RequestKey, deadly_kind
from deploy.soak.link_proxy import LinkFault, LinkProxy
from deploy.soak.observations import Run, answer_of, event_of
from deploy.soak.oracle import Oracle
from deploy.soak.settings import (
    HOST,
    KEPT_PATH,
    LONG_STREAM_PATH,
    MODELS,
    MOST_EVENTS,
    PLAIN_PATH,
    SLOW,
    VERSIONS,
    long_seconds,
)
from deploy.soak.spoiled import EndlessAnswer, EndlessKind, Spoil
from deploy.soak.store_server import StoreServer
from deploy.soak.unframed import Break, begin_unframed, end_early
from deploy.soak.zones import COLD_SECONDS, ZONES
from notcharch.calls.event_stream import EVENT_END
from notcharch.http.exchange import Exchange, ServerLimits
from notcharch.http.messages import Headers
from notcharch.http.server import ServerFactory
from notcharch.values.line_ends import with_line_feeds

SERVERS_TOPIC = "keyed.servers"
EVENT_SECONDS = 0.02
WORK_SECONDS = 0.03
HEARTBEAT_SECONDS = 1.2
SLOTS = 2
"""Few enough that four daemons exchange the loads of engines."""
SLOTS_OF_SLOW = 64
"""Long calls wait for no slot."""
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
    UNFRAMED = "unframed"
    """Frames no answer, and breaks some off at any byte."""
    ENDLESS = "endless"
    """Sends bytes that are no answer, until the caller closes; also as its report."""


LINE_ENDS = (b"\n", b"\r\n", b"\r")
"""Of the events of streams, by the number of the engine."""
MOST_BROKEN_BYTES = 240
"""Streams and bodies are mostly longer, so most breaks come before their ends."""
RESTART_SECONDS = 0.1
"""Between the end of a process and the start of the next one at its port."""
DEADLY_RESTART_SECONDS = 0.5
"""Between the end of a process under a request and the next incarnation."""
UNFRAMED_SHARE = 0.25
"""Share of the answers with neither a length nor chunks, also without a fault."""
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
        slots: int | None = None,
        event_seconds: float = EVENT_SECONDS,
    ) -> None:
        """Listen, behind a proxy, and be listed in the store.

        Without `slots` it has those of its service; `event_seconds` lie between events.
        """
        self._slots = slots or (SLOTS_OF_SLOW if service == SLOW else SLOTS)
        self.event_seconds = event_seconds
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
        self.line_end = LINE_ENDS[number % len(LINE_ENDS)]
        self.version = VERSIONS[0]
        self.spoil = Spoil.NONE
        """What is wrong with its entry."""
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
                self._slots,
                state,
                self._cold_milliseconds(),
                self._beats,
                self.version,
                self._born,
            )
            value = self.spoil.apply(msgspec.json.encode(entry))
            self._store.write_key(SERVERS_TOPIC, self.id, value)
            if self._is_leaving:
                self._oracle.left.setdefault(self.id, self.now())
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

    @property
    def is_leaving(self) -> bool:
        """Whether it has said that it leaves, and has not been replaced."""
        return self._is_leaving

    def leave(self) -> None:
        """Say that this engine leaves; it goes on serving."""
        self._is_leaving = True
        if self._beat is not None and self._beat.active():
            self._beat.reset(0)

    def crash(self, *, is_clean: bool = False) -> None:
        """End everything that runs; be another incarnation later."""
        self._is_down = True
        self._store.write_key(SERVERS_TOPIC, self.id, b"")
        self._end_process(is_clean)

    def end_under(self, request: RequestKey) -> None:
        """Crash because of what a request holds, and start again soon.

        Behind a broken link nobody can tell the end from a cut.
        """
        if self._is_down:
            return
        if self.link.fault is LinkFault.NONE:
            self._oracle.deadly.engine_ended(request, self.id)
        self.crash(is_clean=self._random.random() < 0.5)
        self.later(DEADLY_RESTART_SECONDS, self.start_again)

    def _end_process(self, is_clean: bool) -> None:
        """End all runs and connections, with closes if it `is_clean`, else with resets."""
        self.link.is_server_down = True
        if is_clean:
            self.link.close_all()
        else:
            self.link.reset_all()
        for running in tuple(self._open):
            running.cut()

    def _listen_again(self) -> None:
        if not self._is_down:
            self.link.is_server_down = False

    def change_version(self) -> None:
        """Have the other software from the next start on."""
        self.version = next(v for v in VERSIONS if v != self.version)

    def restart_under_its_id(self, *, is_clean: bool = False) -> None:
        """End everything that runs, and go on at once at the other version.

        The entry still tells of the process before, until the next heartbeat.
        """
        if self._is_down or self._is_leaving:
            return
        self._end_process(is_clean)
        self.change_version()
        self._begin_process()
        self._reactor.callLater(RESTART_SECONDS, self._listen_again)

    def start_again(self) -> None:
        """Begin another incarnation."""
        if not (self._is_down or self._is_leaving):
            return
        self._begin_process()
        self._store.write_key(SERVERS_TOPIC, self.id, b"")
        self._incarnation += 1
        self._is_down = self._is_leaving = False
        self.link.is_server_down = False
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
        if self.is_struck_by(EngineFault.ENDLESS):
            kind = EndlessKind.draw(self._random)
            EndlessAnswer(self._reactor, exchange, kind)
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

    def closed_early(self, running: "Running", made: int) -> None:
        """Note that a run ended its unframed answer by a close, after what it had made."""
        self._oracle.closed_early[running.request].add(made)

    def draw_unframed(self) -> bool:
        """Draw whether an answer ends with its connection."""
        is_drawn = self._random.random() < UNFRAMED_SHARE
        return is_drawn or self.fault is EngineFault.UNFRAMED

    def draw_break(self) -> Break | None:
        """Draw whether an unframed answer breaks off, and where."""
        is_broken = self.fault is EngineFault.UNFRAMED and self._is_struck()
        return Break.draw(self._random, MOST_BROKEN_BYTES) if is_broken else None

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
        self._version = engine.version
        """Of the process that runs it; the next process may have another one."""
        after = head.get(b"last-event-id")
        self._next = 0 if after is None else int(after) + 1
        self._timer: IDelayedCall | None = None
        self._is_unframed = engine.draw_unframed()
        self._break = engine.draw_break()
        self._deadly = deadly_kind(exchange.body)
        self._long_seconds = long_seconds(exchange.body)
        self._sent = 0
        """Bytes of the body that were sent."""
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
        is_long_stream = self._path.startswith(LONG_STREAM_PATH)
        work = WORK_SECONDS if is_long_stream else WORK_SECONDS + self._long_seconds
        self._timer = self._engine.later(work, self._answer)

    @property
    def _event_seconds(self) -> float:
        """Between two events: a long stream takes as long as its body says."""
        if not self._long_seconds:
            return self._engine.event_seconds
        return self._long_seconds / self._engine.length_of(self._stream)

    @property
    def _is_stream(self) -> bool:
        return self._path.startswith((PLAIN_PATH, KEPT_PATH, LONG_STREAM_PATH))

    @property
    def _headers(self) -> Headers:
        return [
            (b"X-Notcharch-Request-Id", self.request.encode()),
            (b"X-Notcharch-Response-Seal", b"seal-" + self.request.encode()),
        ]

    def _end_engine(self) -> None:
        tenant = (self._exchange.head.get(b"x-notcharch-tenant") or b"").decode()
        self._engine.end_under(RequestKey(tenant, self._path, self._exchange.body))

    def _answer(self) -> None:
        engine = self._engine
        if self._deadly is DeadlyKind.BEFORE_HEAD:
            self._end_engine()
            return
        if engine.is_struck_by(EngineFault.HANG):
            return
        if engine.is_struck_by(EngineFault.LOSE_ANSWERS):
            self.cut()
        elif engine.is_struck_by(EngineFault.ERRORS):
            engine.ended(self)
            self._exchange.respond(500, self._headers, b"error")
        elif self._is_stream:
            headers = [*self._headers, (b"content-type", b"text/event-stream")]
            self._begin(headers)
            self._event()
        else:
            self._send_body(answer_of(self.request, self._exchange.body))

    def _begin(self, headers: Headers) -> None:
        if self._is_unframed:
            begin_unframed(self._exchange, 200, headers)
        else:
            self._exchange.start(200, headers)

    def _send_body(self, body: bytes) -> None:
        """Send an answer that is no stream."""
        if self._deadly is not None:
            self._exchange.start(200, self._headers)
            self._exchange.write(body[: len(body) // 2])
            self._timer = self._engine.later(EVENT_SECONDS, self._end_engine)
            return
        if not self._is_unframed:
            self._engine.ended(self)
            self._exchange.respond(200, self._headers, body)
            return
        self._begin(self._headers)
        if self._write(body):
            self._engine.ended(self)
            self._exchange.finish()

    def _write(self, data: bytes) -> bool:
        """Send a part of the body; return False if the answer broke off in it."""
        broken = self._break
        if broken is None or self._sent + len(data) <= broken.at:
            self._exchange.write(data)
            self._sent += len(data)
            return True
        part = data[: broken.at - self._sent]
        if part:
            self._exchange.write(part)
        self._gone()
        if broken.end.is_clean:
            self._note_early_close(part)
        end_early(self._exchange, broken.end)
        return False

    def _note_early_close(self, part: bytes) -> None:
        """Note what was made, if a close after it looks like a regular end."""
        if not self._is_stream:
            self._engine.closed_early(self, self._sent + len(part))
        elif not part:
            self._engine.closed_early(self, self._next)
        elif with_line_feeds(part).endswith(EVENT_END):
            self._engine.closed_early(self, self._next + 1)

    def _event(self) -> None:
        engine = self._engine
        if self._next >= engine.length_of(self._stream):
            engine.ended(self)
            self._exchange.finish()
            return
        data = event_of(self.request, self._next, self._version)
        event = b"id: %d\ndata: %b\n\n" % (self._next, data)
        event = event.replace(b"\n", engine.line_end)
        if engine.is_struck_by(EngineFault.BREAK_EVENTS):
            self._exchange.write(event[: len(event) // 2])
            self._timer = engine.later(0.0, self.cut)
            return
        if not self._write(event):
            return
        self._next += 1
        then = self._event if self._deadly is None else self._end_engine
        self._timer = engine.later(self._event_seconds, then)

    def cut(self) -> None:
        """Break the answer off."""
        self._gone()
        self._exchange.abort()

    def _gone(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._engine.ended(self)
