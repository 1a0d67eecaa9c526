"""A call path whose engines answer by hand, on a virtual clock."""

from random import Random

from twisted.internet.task import Clock

from notcharch.calls.call_life import CallLife
from notcharch.calls.engine_run import CallServices
from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import (
    Engine,
    OpaqueCall,
    Refusal,
    Route,
    ServiceShare,
)
from notcharch.calls.open_admission import OpenAdmission
from notcharch.http.messages import RequestHead, ResponseHead
from notcharch.scheduling.first_response_times import OverduePolicy, RouteResponseTimes
from notcharch.scheduling.nearness import Nearness

SERVICE = "s"
USUAL_SECONDS = 0.1
"""How long first answers took before, where there were any."""


def engine(name: str, zone: str = "z", slots: int = 4) -> Engine:
    return Engine(name, SERVICE, "10.0.0.1", 80, zone, slots)


def engine_pool(clock: Clock, names) -> EnginePool:
    pool = EnginePool(clock, Nearness("z"), Random(1))
    pool.replace([engine(name) for name in names])
    return pool


class Dialect:
    """Heads with an id, a seal for genuine ones, and `not-run`."""

    def request(self, call, engine, milliseconds_left):
        headers = [(b"engine", engine.id.encode())]
        headers.append((b"left", str(milliseconds_left).encode()))
        if call.last_event_id is not None:
            headers.append((b"after", call.last_event_id))
        return RequestHead(call.head.method, call.head.target, headers)

    def is_answer_to(self, call, head):
        return True

    def was_not_run(self, head):
        return head.get(b"not-run") is not None

    def is_genuine(self, head):
        return head.get(b"seal") is not None


class Sent:
    """One request at an engine."""

    def __init__(self, engine, head, body, listener) -> None:
        self.engine = engine
        self.head = head
        self.body = body
        self.listener = listener
        self.is_abandoned = False

    def abandon(self) -> None:
        self.is_abandoned = True

    def header(self, name: bytes):
        return self.head.get(name)

    def answer(self, status: int, body: bytes = b"", *, seal: bool = True) -> None:
        headers = [(b"seal", b"x")] if seal else []
        self.listener.head_came(ResponseHead(status, headers))
        if body:
            self.listener.data_came(body)
        self.listener.ended()

    def refuse(self, status: int = 503) -> None:
        self.listener.head_came(ResponseHead(status, [(b"not-run", b"1")]))
        self.listener.ended()

    def begin(self, seal: bool = True) -> None:
        headers = [(b"seal", self.engine.id.encode())] if seal else []
        self.listener.head_came(ResponseHead(200, headers))


class Sender:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.forgotten: list[str] = []

    def send(self, engine, head, body, listener):
        sent = Sent(engine, head, body, listener)
        self.sent.append(sent)
        return sent

    def keep(self, engine_id, sending):
        pass

    def forget(self, engine_id):
        self.forgotten.append(engine_id)


class Reply:
    """What the caller saw."""

    def __init__(self) -> None:
        self.head = None
        self.data = b""
        self.end = ""
        self.refusal: Refusal | None = None
        self.gone = None

    def on_gone(self, callback):
        self.gone = callback

    def begin(self, head):
        assert self.head is None
        self.head = head

    def write(self, data):
        self.data += data

    def finish(self):
        self._over("finished")

    def whole(self, head, body):
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
    """One call, some engines."""

    def __init__(self, engines=("a", "b", "c"), **changes) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.pool = engine_pool(self.clock, engines)
        self.sender = Sender()
        self.reply = Reply()
        self.waits = RouteResponseTimes(OverduePolicy())
        for _ in range(changes.pop("usual_answers", 0)):
            self.waits.of("r").record(USUAL_SECONDS)
        self.admission = changes.pop("admission", None) or OpenAdmission()
        settings = {
            "name": "r",
            "host": "h",
            "path_prefix": "/",
            "shares": (ServiceShare(SERVICE, 1.0),),
            "is_repeatable": False,
            "timeout_seconds": 3.0,
        }
        wait = changes.pop("wait_seconds", 2.0)
        self.route = Route(**(settings | changes))
        self.call = OpaqueCall(
            id="1",
            head=RequestHead(b"POST", b"/x", []),
            body=b"body",
            arrived=self.clock.seconds(),
            wait_seconds=wait,
            program="p",
        )
        services = CallServices(
            clock=self.clock,
            pool=self.pool,
            sender=self.sender,
            dialect=Dialect(),
            admission=self.admission,
            waits=self.waits,
        )
        self.life = CallLife(services, self.call, self.route, SERVICE, self.reply)
        self.life.start()

    @property
    def sent(self) -> list[Sent]:
        return self.sender.sent

    @property
    def in_flight(self) -> int:
        return sum(state.in_flight for state in self.pool._states.values())
