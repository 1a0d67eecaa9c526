"""A call path on a virtual clock, with engines that tests control."""

from random import Random

import msgspec
from twisted.internet.task import Clock

from notcharch.calls.call_lifecycle import CallLifecycle
from notcharch.calls.call_services import CallServices
from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import (
    Engine,
    NoStreamOrigins,
    OpaqueCall,
    Refusal,
    Route,
    ServiceShare,
)
from notcharch.calls.open_admission import OpenAdmission
from notcharch.calls.planned_stop import PlannedStop
from notcharch.http.buffered_bytes import BufferedBytes
from notcharch.http.messages import RequestHead, ResponseHead
from notcharch.scheduling.first_response_times import OverduePolicy, RouteResponseTimes
from notcharch.scheduling.nearness import Nearness
from notcharch.values.framing import Framing
from notcharch.values.memory_pool import unbounded_holder

SERVICE = "s"
USUAL_SECONDS = 0.1
"""Waiting time of earlier first responses."""


VERSION = "v1"


def engine(
    name: str, zone: str = "z", slots: int = 4, version: str = VERSION
) -> Engine:
    return Engine(name, SERVICE, "10.0.0.1", 80, zone, slots, version=version)


def engine_pool(clock: Clock, names, versions=(), started_ms=None) -> EnginePool:
    pool = EnginePool(clock, Nearness("z"), Random(1))
    known = dict(versions)
    engines = [engine(name, version=known.get(name, VERSION)) for name in names]
    pool.replace(
        [msgspec.structs.replace(one, started_ms=started_ms) for one in engines]
    )
    return pool


class Dialect:
    """Heads with `seal` if they are authentic, and `not-run` for rejections."""

    def request(self, call, engine, remaining_ms):
        headers = [(b"engine", engine.id.encode())]
        headers.append((b"left", str(remaining_ms).encode()))
        if call.last_event_id is not None:
            headers.append((b"after", call.last_event_id))
        return RequestHead(call.head.method, call.head.target, headers)

    def is_response_to(self, call, head):
        return True

    def was_not_run(self, head):
        return head.get(b"not-run") is not None

    def is_misdirected(self, head):
        return head.status == 421

    def is_genuine(self, head):
        return head.get(b"seal") is not None

    def incarnation_request(self):
        return RequestHead(b"GET", b"/report", [])

    def is_incarnation_response(self, head):
        return True

    def started_ms(self, head, body):
        return int(body) if body.isdigit() else None


class Sent:
    """One request to an engine, with controls for its response."""

    def __init__(self, engine, head, body, listener) -> None:
        self.engine = engine
        self.head = head
        self.body = body
        self.listener = listener
        self.is_abandoned = False
        self.is_paused = False
        self.is_reused = False
        self.is_refused = False
        self.is_sent = True

    def abandon(self) -> None:
        self.is_abandoned = True

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def header(self, name: bytes):
        return self.head.get(name)

    def respond(self, status: int, body: bytes = b"", *, seal: bool = True) -> None:
        headers = [(b"seal", b"x")] if seal else []
        self.listener.head_received(ResponseHead(status, headers))
        if body:
            self.listener.data_received(body)
        self.listener.completed()

    def refuse(self, status: int = 503) -> None:
        self.listener.head_received(ResponseHead(status, [(b"not-run", b"1")]))
        self.listener.completed()

    def begin(self, seal: bool = True, framing: Framing = Framing.CHUNKS) -> None:
        headers = [(b"seal", self.engine.id.encode())] if seal else []
        self.listener.head_received(ResponseHead(200, headers, framing=framing))


class Sender:
    """Records the requests to engines."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.closed_idle: list[str] = []
        self.released: list[Sent] = []

    def send(self, engine, head, body, listener, *, confirm=None):
        sent = Sent(engine, head, body, listener)
        sent.is_start_confirmed = confirm is not None
        self.sent.append(sent)
        return sent

    def release(self, engine_id, request):
        self.released.append(request)

    def close_idle(self, engine_id):
        self.closed_idle.append(engine_id)


class Reply:
    """Records the response to the caller."""

    def __init__(self) -> None:
        self.head = None
        self.data = b""
        self.end = ""
        self.refusal: Refusal | None = None
        self.disconnect = None

    def on_disconnect(self, callback):
        self.disconnect = callback

    def watch_backlog(self, callback):
        self.backlog = callback

    def begin(self, head, *, length=None):
        assert self.head is None
        self.head = head
        self.length = length

    def write(self, data):
        self.data += data

    def finish(self):
        self._over("finished")

    def send_response(self, head, body):
        self.head = head
        self.data = body
        self._over("whole")

    def refuse(self, refusal):
        self.refusal = refusal
        self._over("refused")

    def abort(self):
        self._over("aborted")

    def _over(self, end):
        assert not self.end, f"{end} after {self.end}"
        self.end = end


class World:
    """One call and some engines."""

    def __init__(self, engines=("a", "b", "c"), **changes) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.pool = engine_pool(
            self.clock,
            engines,
            changes.pop("versions", ()),
            changes.pop("started_ms", None),
        )
        self.sender = Sender()
        self.reply = changes.pop("reply", None) or Reply()
        self.waits = RouteResponseTimes(OverduePolicy())
        for _ in range(changes.pop("usual_answers", 0)):
            self.waits.of("r").record(USUAL_SECONDS)
        urgency = changes.pop("urgency", None)
        self.admission = changes.pop("admission", None) or OpenAdmission()
        settings = {
            "name": "r",
            "host": "h",
            "path_prefix": "/",
            "shares": (ServiceShare(SERVICE, 1.0),),
            "is_repeatable": False,
            "timeout_seconds": 3.0,
        }
        self.stop = PlannedStop(self.clock) if changes.pop("has_stop", False) else None
        origins = changes.pop("origins", None) or NoStreamOrigins()
        answers = changes.pop("answers", None) or BufferedBytes()
        held = changes.pop("held", None) or unbounded_holder()
        body = changes.pop("body", b"body")
        wait = changes.pop("wait_seconds", 2.0)
        resumed = changes.pop("resumed", {})
        self.route = Route(**(settings | changes))
        self.call = OpaqueCall(
            id="1",
            head=RequestHead(b"POST", b"/x", []),
            body=body,
            arrived=self.clock.seconds(),
            wait_seconds=wait,
            program="p",
            **resumed,
        )
        services = self.services = CallServices(
            clock=self.clock,
            pool=self.pool,
            sender=self.sender,
            dialect=Dialect(),
            admission=self.admission,
            waits=self.waits,
            urgency=urgency,
            answers=answers,
            held=held,
            origins=origins,
            stop=self.stop,
        )
        self.lifecycle = CallLifecycle(
            services, self.call, self.route, SERVICE, self.reply
        )
        self.lifecycle.start()

    @property
    def sent(self) -> list[Sent]:
        return self.sender.sent

    @property
    def in_flight(self) -> int:
        return sum(state.in_flight for state in self.pool._states.values())
