"""Calls of routes that are not repeatable, against an oracle of what may have run.

The daemon's parts are real from the lifecycle of a call down to the bytes on its
connections. An engine may run whatever it received whole and did not reject, at any
time, also after its connection was closed.
"""

import itertools
from random import Random

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from notcharch.calls.call_lifecycle import CallLifecycle
from notcharch.calls.call_services import CallServices
from notcharch.calls.engine_sender import EngineSender
from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import (
    NO_ENGINE,
    Engine,
    OpaqueCall,
    Refusal,
    Route,
    ServiceShare,
)
from notcharch.calls.open_admission import NO_ACCOUNT
from notcharch.http.messages import RequestHead
from notcharch.platform.headers import PlatformDialect
from notcharch.scheduling.first_response_times import OverduePolicy, RouteResponseTimes
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.zone_drains import DrainedZones
from tests.stateful.calls.engine_network import EngineNetwork, Received
from tests.unit.calls.world import SERVICE, USUAL_SECONDS, Reply

REFUSALS = (408, 421, 429, 503)
"""Statuses that promise that a call has not run and never will."""

OVER_LIMIT = Refusal(429, "over the tenant's limit", 0.5)
ZONES = ("x", "y", "z")
WAIT_SECONDS = 2.0
CLOSING_SECONDS = 10.0
USUAL_RESPONSES = 50
"""Enough earlier responses that overdue ones are detected."""


def route(name: str, **changes) -> Route:
    shares = (ServiceShare(SERVICE, 1.0),)
    return Route(name, "h", "/", shares, is_repeatable=False, max_engines=2, **changes)


UNARY = route("unary")
STREAM = route("stream", is_stream=True)
RESUMABLE = route("resumable", is_stream=True, is_resumable=True)

REJECTIONS = {
    "421": b"HTTP/1.1 421 Misdirected\r\n",
    "503": b"HTTP/1.1 503 Busy\r\nX-Notcharch-Not-Executed: 1\r\n",
}
NO_BODY = b"Content-Length: 0\r\n\r\n"
EVENT = b"id: 1\ndata: a\n\n"
SEAL = b"X-Notcharch-Response-Seal: s\r\n"
GARBAGE = b"\x00\x01garbage\r\n\r\n"
CUTS = st.integers(0, 60)
STATUSES = st.sampled_from([200, 400, 500, 502])
FALSE_REFUSALS = st.sampled_from([408, 429, 503])
"""Statuses of responses that do not say that the engine did not run the call."""


def id_line(call: str) -> bytes:
    return b"X-Notcharch-Request-Id: %b\r\n" % call.encode()


def response(call: str, status: int, *, is_sealed: bool) -> bytes:
    head = b"HTTP/1.1 %d X\r\n" % status + id_line(call)
    seal = SEAL if is_sealed else b""
    return head + seal + b"Content-Length: %d\r\n\r\n" % len(EVENT) + EVENT


@attrs.define(eq=False)
class Asked:
    """One call of a caller."""

    call: OpaqueCall
    route: Route
    reply: Reply
    lifecycle: CallLifecycle | None = None
    is_disconnected: bool = False

    @property
    def status(self) -> int | None:
        """The status that the caller got, if its call has ended with a response."""
        if self.reply.end == "refused":
            return self.reply.refusal.status
        return self.reply.head.status if self.reply.end == "whole" else None


class PendingAdmissions:
    """Admissions that wait for the decision of the test."""

    def __init__(self) -> None:
        self.undecided = []

    def request(self, call, route, listener) -> None:
        self.undecided.append((call, listener))


class RefusalsMachine(RuleBasedStateMachine):
    """A refused call has not run and never will; each call runs at most once."""

    def __init__(self) -> None:
        super().__init__()
        self.network = EngineNetwork()
        self.admission = PendingAdmissions()
        self.asked: list[Asked] = []
        self.numbers = itertools.count(1)
        self.positions = itertools.count(1)
        self.pool = EnginePool(self.network, Nearness("x"), Random(1))
        self.engines = [
            Engine(f"engine-{zone}{number}", SERVICE, "10.0.0.1", 80, zone)
            for zone in ZONES
            for number in range(2)
        ]
        self.pool.replace(self.engines)
        waits = RouteResponseTimes(OverduePolicy())
        for one in (UNARY, STREAM, RESUMABLE):
            for _ in range(USUAL_RESPONSES):
                waits.of(one.name).record(USUAL_SECONDS)
        self.services = CallServices(
            clock=self.network,
            pool=self.pool,
            sender=EngineSender(self.network, ""),
            dialect=PlatformDialect(),
            admission=self.admission,
            waits=waits,
        )

    # Callers

    @rule(route=st.sampled_from([UNARY, STREAM, RESUMABLE]))
    def call_waits_for_admission(self, route):
        name = f"call-{next(self.numbers)}"
        headers = [(b"Host", b"h"), (b"X-Notcharch-Request-Id", name.encode())]
        call = OpaqueCall(
            id=name,
            head=RequestHead(b"POST", b"/x", headers),
            body=b"body",
            arrived=self.network.seconds(),
            wait_seconds=WAIT_SECONDS,
            program=name,
        )
        asked = Asked(call, route, Reply())
        self.asked.append(asked)
        asked.lifecycle = CallLifecycle(
            self.services, call, route, SERVICE, asked.reply
        )
        asked.lifecycle.start()

    @rule(
        route=st.sampled_from([UNARY, STREAM, RESUMABLE]),
        is_connected=st.booleans(),
    )
    def call(self, route, is_connected):
        self.call_waits_for_admission(route)
        self.admit(-1)
        if is_connected and self.network.connecting:
            self.network.accept(self.network.connecting[-1])

    @precondition(lambda self: self.waiting())
    @rule(data=st.data())
    def caller_disconnects(self, data):
        asked = data.draw(st.sampled_from(self.waiting()))
        asked.is_disconnected = True
        asked.reply.disconnect()

    # Admissions: what is not drawn for long is late, or lost

    @precondition(lambda self: self.admission.undecided)
    @rule(data=st.data())
    def admission_comes(self, data):
        self.admit(data.draw(st.integers(0, len(self.admission.undecided) - 1)))

    def admit(self, index):
        call, listener = self.admission.undecided.pop(index)
        listener.admitted(NO_ACCOUNT, call.body)

    @precondition(lambda self: self.admission.undecided)
    @rule(data=st.data(), refusal=st.sampled_from([OVER_LIMIT, NO_ENGINE]))
    def admission_refuses(self, data, refusal):
        index = data.draw(st.integers(0, len(self.admission.undecided) - 1))
        _, listener = self.admission.undecided.pop(index)
        listener.refused(refusal)

    # Connections and drains

    @precondition(lambda self: self.network.connecting)
    @rule(data=st.data())
    def connection_opens(self, data):
        self.network.accept(data.draw(st.sampled_from(self.network.connecting)))

    @precondition(lambda self: self.network.connecting)
    @rule(data=st.data())
    def connection_fails(self, data):
        self.network.fail(data.draw(st.sampled_from(self.network.connecting)))

    @rule(zones=st.sets(st.sampled_from(ZONES), max_size=2))
    def zones_are_drained(self, zones):
        self.pool.drain_zones(DrainedZones(frozenset(zones), next(self.positions)))

    @rule(count=st.integers(1, 6))
    def engines_are_listed(self, count):
        self.pool.replace(self.engines[:count])

    @rule(seconds=st.sampled_from([0.01, 0.2, 0.5, 1.0, WAIT_SECONDS]))
    def time_passes(self, seconds):
        self.network.advance(seconds)

    # Engines

    def draw_request(self, data) -> Received:
        return data.draw(st.sampled_from(self.network.open_requests()))

    @precondition(lambda self: self.network.open_requests())
    @rule(data=st.data(), kind=st.sampled_from(sorted(REJECTIONS)), names=st.booleans())
    def engine_rejects(self, data, kind, names):
        received = self.draw_request(data)
        received.is_rejected = True
        line = id_line(received.call) if names else b""
        received.connection.current = None
        received.connection.respond(REJECTIONS[kind] + line + NO_BODY)

    @precondition(lambda self: self.network.open_requests())
    @rule(data=st.data(), status=STATUSES, is_sealed=st.booleans())
    def engine_responds(self, data, status, is_sealed):
        received = self.draw_request(data)
        received.connection.current = None
        data = response(received.call, status, is_sealed=is_sealed)
        received.connection.respond(data)

    @precondition(lambda self: self.network.open_requests())
    @rule(data=st.data(), status=FALSE_REFUSALS, is_sealed=st.booleans())
    def engine_runs_a_call_and_responds_like_a_refusal(self, data, status, is_sealed):
        self.engine_responds(data, status, is_sealed)

    @precondition(lambda self: self.network.open_requests())
    @rule(data=st.data(), cut=CUTS, is_clean=st.booleans())
    def engine_fails_in_a_response(self, data, cut, is_clean):
        received = self.draw_request(data)
        whole = response(received.call, 200, is_sealed=True)
        if cut:
            received.connection.respond(whole[:cut])
        received.connection.end(is_clean=is_clean)

    @precondition(lambda self: self.network.open_requests())
    @rule(data=st.data())
    def engine_begins_a_stream(self, data):
        received = self.draw_request(data)
        received.connection.current = None
        whole = response(received.call, 200, is_sealed=True)
        received.connection.respond(whole[:-1])
        received.connection.end(is_clean=False)

    @precondition(lambda self: self.network.open_requests())
    @rule(data=st.data())
    def engine_garbles(self, data):
        self.draw_request(data).connection.respond(GARBAGE)

    @precondition(lambda self: self.network.open_requests())
    @rule(data=st.data(), kind=st.sampled_from(sorted(REJECTIONS)))
    def engine_rejects_an_earlier_call_again(self, data, kind):
        line = id_line("call-0")
        connection = self.draw_request(data).connection
        connection.respond(REJECTIONS[kind] + line + NO_BODY)

    @precondition(lambda self: self.network.open_requests())
    @rule(data=st.data(), status=STATUSES)
    def engine_answers_an_earlier_call_again(self, data, status):
        received = self.draw_request(data)
        received.connection.respond(response("call-0", status, is_sealed=True))

    # The oracle

    def waiting(self) -> list[Asked]:
        return [
            asked
            for asked in self.asked
            if not asked.reply.end and not asked.is_disconnected
        ]

    def runs(self, asked: Asked) -> list[Received]:
        """Return the requests of a call that an engine may have run, or may yet run."""
        return [
            received
            for received in self.network.received
            if received.call == asked.call.id and not received.is_rejected
        ]

    @invariant()
    def refused_calls_do_not_run(self):
        for asked in self.asked:
            assert asked.status not in REFUSALS or not self.runs(asked), asked.status

    @invariant()
    def calls_run_at_most_once(self):
        for asked in self.asked:
            assert asked.route.is_resumable or len(self.runs(asked)) <= 1

    def teardown(self):
        """Let what is late come, and check that nothing waits beyond its deadline."""
        while self.admission.undecided:
            self.admit(0)
        while self.network.connecting:
            self.network.accept(self.network.connecting[0])
        self.network.advance(CLOSING_SECONDS)
        assert not self.waiting()
        assert not any(state.in_flight for state in self.pool._states.values())
        self.refused_calls_do_not_run()
        self.calls_run_at_most_once()
