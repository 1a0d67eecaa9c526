"""Answers that end in every way, against an oracle that knows what their runs made.

The daemon's parts are real from the lifecycle of a call down to the bytes on its
connections. Engines frame their answers or not, break them off at any byte by a close or
a reset, and live on or die.
"""

import enum
import itertools
from random import Random

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from notcharch.calls.call_lifecycle import CallLifecycle
from notcharch.calls.call_services import CallServices
from notcharch.calls.end_check import CHECK_SECONDS
from notcharch.calls.engine_sender import EngineSender
from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import Engine, OpaqueCall, Route, ServiceShare
from notcharch.calls.open_admission import OpenAdmission
from notcharch.http.messages import RequestHead
from notcharch.platform.headers import PlatformDialect
from notcharch.scheduling.first_response_times import OverduePolicy, RouteResponseTimes
from notcharch.scheduling.nearness import Nearness
from notcharch.values.framing import Framing
from tests.stateful.calls.ending_engines import (
    EndingEngine,
    EndingNetwork,
    Payload,
    Run,
)
from tests.unit.calls.world import SERVICE, Reply

PORTS = (1, 2, 3)
WAIT_SECONDS = 30.0
CLOSING_SECONDS = 40.0
WHOLE = ("finished", "whole")
LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])
FRAMINGS = st.sampled_from([*Framing, Framing.CONNECTION])


class EarlyEnd(enum.Enum):
    """How an answer ends before its run has sent everything."""

    CLOSE = "close"
    """The engine lives; a half-close looks the same to a client."""
    RESET = "reset"
    DEATH = "death"
    DEATH_WITH_RESET = "death with resets"
    RESTART = "death and another process at once"


def route(name: str, *, is_repeatable: bool = False, **changes) -> Route:
    shares = (ServiceShare(SERVICE, 1.0),)
    return Route(
        name,
        "h",
        "/",
        shares,
        is_repeatable=is_repeatable,
        max_engines=3,
        timeout_seconds=WAIT_SECONDS,
        **changes,
    )


ROUTES = (
    route("plain"),
    route("repeatable", is_repeatable=True),
    route("stream", is_stream=True),
    route("resumable", is_stream=True, is_resumable=True),
)


@attrs.define(eq=False)
class Asked:
    """One call of a caller."""

    route: Route
    reply: Reply
    payload: Payload
    is_undecidable: bool = False
    """Whether an unframed answer ended early where nothing tells.

    Its engine lives, or its process was replaced at once and had not told its start.
    """


def events(count: int, line_end: bytes) -> list[bytes]:
    return [
        (b"id: %d\ndata: part %d\n\n" % (number, number)).replace(b"\n", line_end)
        for number in range(count)
    ]


class EndsMachine(RuleBasedStateMachine):
    """An answer that looks whole is whole, and a whole one comes through."""

    def __init__(self) -> None:
        super().__init__()
        self.network = EndingNetwork()
        self.asked: dict[str, Asked] = {}
        self.numbers = itertools.count(1)
        self.pool = EnginePool(self.network, Nearness("x"), Random(1))
        for port in PORTS:
            self.network.engines[port] = EndingEngine(self.network, port)
        self.list_engines()
        self.services = CallServices(
            clock=self.network,
            pool=self.pool,
            sender=EngineSender(self.network, ""),
            dialect=PlatformDialect(),
            admission=OpenAdmission(),
            waits=RouteResponseTimes(OverduePolicy()),
        )

    def list_engines(self) -> None:
        self.pool.replace(
            Engine(
                f"engine-{port}",
                SERVICE,
                "10.0.0.1",
                port,
                "x",
                started_ms=engine.started_ms,
            )
            for port, engine in self.network.engines.items()
        )

    # Callers

    @rule(route=st.sampled_from(ROUTES), count=st.integers(1, 3), line_end=LINE_ENDS)
    def call(self, route, count, line_end):
        name = f"call-{next(self.numbers)}"
        pieces = events(count, line_end) if route.is_stream else [b"body" * count]
        asked = Asked(route, Reply(), Payload(pieces, route.is_stream))
        self.asked[name] = asked
        self.network.payloads[name] = asked.payload
        headers = [(b"Host", b"h"), (b"X-Notcharch-Request-Id", name.encode())]
        call = OpaqueCall(
            id=name,
            head=RequestHead(b"POST", b"/x", headers),
            body=b"input",
            arrived=self.network.seconds(),
            wait_seconds=WAIT_SECONDS,
            program=name,
        )
        CallLifecycle(self.services, call, route, SERVICE, asked.reply).start()
        self.network.settle()

    # Engines

    def draw_run(self, data, *, has_begun: bool | None = None) -> Run | None:
        runs = [
            run
            for run in self.network.open_runs()
            if has_begun is None or has_begun == (run.framing is not None)
        ]
        return data.draw(st.sampled_from(runs)) if runs else None

    @precondition(lambda self: self.network.open_runs())
    @rule(data=st.data(), framing=FRAMINGS, size=st.integers(0, 60))
    def engine_answers(self, data, framing, size):
        run = self.draw_run(data, has_begun=False)
        if run is not None:
            run.begin(framing)
            run.send(size)
            self.network.settle()

    @precondition(lambda self: self.network.open_runs())
    @rule(data=st.data(), size=st.integers(1, 40))
    def engine_sends(self, data, size):
        run = self.draw_run(data, has_begun=True)
        if run is not None:
            run.send(size)
            self.network.settle()

    @precondition(lambda self: self.network.open_runs())
    @rule(data=st.data())
    def engine_finishes(self, data):
        run = self.draw_run(data, has_begun=True)
        if run is not None:
            self.finish(run)

    @rule(
        data=st.data(),
        route=st.sampled_from(ROUTES),
        line_end=LINE_ENDS,
        is_mute=st.booleans(),
        forgets_idle=st.booleans(),
    )
    def call_whose_unframed_answer_is_whole(
        self, data, route, line_end, is_mute, forgets_idle
    ):
        self.call(route, 2, line_end)
        run = self.draw_run(data, has_begun=False)
        if run is None:
            return
        engine = run.connection.engine
        run.begin(Framing.CONNECTION)
        self.network.settle()
        engine.is_mute = is_mute
        if forgets_idle:
            engine.forget_idle()
        self.finish(run)

    def finish(self, run: Run) -> None:
        """Let a run end its answer regularly, which has to come through."""
        asked = self.asked[run.call]
        run.finish()
        self.network.settle()
        if not asked.reply.end:
            self.network.advance(CHECK_SECONDS)
        assert asked.reply.end in WHOLE, f"a whole answer ended {asked.reply.end}"

    @precondition(lambda self: self.network.open_runs())
    @rule(
        data=st.data(),
        framing=FRAMINGS,
        size=st.integers(0, 60),
        end=st.sampled_from(EarlyEnd),
    )
    def answer_ends_early(self, data, framing, size, end):
        run = self.draw_run(data)
        if run.framing is None:
            run.begin(framing)
        run.send(size)
        self.network.settle()
        self.end_early(run, end)
        self.network.settle()

    @rule(
        data=st.data(),
        route=st.sampled_from(ROUTES),
        line_end=LINE_ENDS,
        size=st.integers(0, 60),
        end=st.sampled_from(EarlyEnd),
    )
    def call_whose_unframed_answer_ends_early(self, data, route, line_end, size, end):
        self.call(route, 2, line_end)
        if self.network.open_runs():
            self.answer_ends_early(data, Framing.CONNECTION, size, end)

    @precondition(lambda self: self.network.open_runs())
    @rule(end=st.sampled_from(EarlyEnd), data=st.data())
    def answer_ends_before_its_head(self, end, data):
        run = self.draw_run(data, has_begun=False)
        if run is not None:
            self.end_early(run, end)
            self.network.settle()

    def end_early(self, run: Run, end: EarlyEnd) -> None:
        if not run.is_open:
            return
        engine = run.connection.engine
        if end in (EarlyEnd.CLOSE, EarlyEnd.RESET):
            self.note_undecidable(run, end is EarlyEnd.CLOSE)
            run.connection.end(is_clean=end is EarlyEnd.CLOSE)
            return
        if end is EarlyEnd.RESTART:
            self.note_unknown_starts(engine)
        engine.die(is_clean=end is not EarlyEnd.DEATH_WITH_RESET)
        if end is EarlyEnd.RESTART:
            engine.start()

    def note_unknown_starts(self, engine: EndingEngine) -> None:
        """Note the answers of a process that did not tell its start, and is replaced."""
        for run in engine.runs:
            is_unframed = run.framing is Framing.CONNECTION
            if run.is_open and is_unframed and not run.tells_start:
                self.asked[run.call].is_undecidable = True

    def note_undecidable(self, run: Run, is_clean: bool) -> None:
        """Note a break that nothing tells: the engine lives, and the bytes fit."""
        asked = self.asked[run.call]
        if not is_clean or run.framing is not Framing.CONNECTION:
            return
        if asked.route.is_stream and not run.is_between_events:
            return
        is_told = asked.route.is_resumable and not run.connection.engine.is_mute
        asked.is_undecidable = asked.is_undecidable or not is_told

    @rule(port=st.sampled_from(PORTS), is_clean=st.booleans())
    def engine_dies(self, port, is_clean):
        self.network.engines[port].die(is_clean=is_clean)
        self.network.settle()

    @rule(port=st.sampled_from(PORTS))
    def engine_starts_again(self, port):
        engine = self.network.engines[port]
        if not engine.is_alive:
            engine.start()

    @rule()
    def engines_are_listed(self):
        self.list_engines()

    @rule(port=st.sampled_from(PORTS))
    def engine_leaves_questions_unanswered_or_no_longer(self, port):
        engine = self.network.engines[port]
        engine.is_mute = not engine.is_mute

    @rule(port=st.sampled_from(PORTS))
    def engine_forgets_idle_connections(self, port):
        self.network.engines[port].forget_idle()

    @rule(seconds=st.sampled_from([0.05, CHECK_SECONDS]))
    def time_passes(self, seconds):
        self.network.advance(seconds)

    # The oracle

    @invariant()
    def answers_that_look_whole_are_whole(self):
        for name, asked in self.asked.items():
            if asked.reply.end in WHOLE and not asked.is_undecidable:
                assert asked.reply.data == asked.payload.body, name

    @invariant()
    def streams_hold_the_events_of_their_calls_in_order(self):
        for name, asked in self.asked.items():
            if asked.route.is_stream:
                assert asked.payload.body.startswith(asked.reply.data), name

    def teardown(self):
        """Let all time pass, and check that nothing waits beyond its deadline."""
        self.network.advance(CLOSING_SECONDS)
        assert all(asked.reply.end for asked in self.asked.values())
        assert not any(state.in_flight for state in self.pool._states.values())
        self.answers_that_look_whole_are_whole()
