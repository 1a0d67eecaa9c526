"""Random lives of callers and engines around a planned stop, against an oracle.

The oracle knows how long engines take and how fast callers read, and what the daemon could
have learned of a route: the durations of the calls that ended.
"""

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from notcharch.calls.open_admission import NO_ACCOUNT
from tests.unit.platform.stop_world import (
    GRACE_SECONDS,
    KINDS,
    STEP_SECONDS,
    UNLIMITED,
    Caller,
    EngineAnswer,
    Response,
    StopWorld,
)

CUT_SECONDS = 7.5
"""Running calls are cut so long after SIGTERM with the grace period of the tests."""
LAST_EXIT_SECONDS = 7.7
"""The process has to end by itself so long after SIGTERM; the exit needs 0.3 s."""
SLACK_SECONDS = 0.25
"""Two checks of the drain, and a step of the clock."""
SERVED_MARGIN_SECONDS = 0.6
"""A call that its engine answers so long before the cut has to be served whole."""
ROUTE_TIMEOUT_SECONDS = 60.0
REFUSAL_SECONDS = 0.3
"""A call that can't end is refused so soon: two checks of the drain, and a step."""
MIN_KNOWN = 8
"""The daemon has to know the durations of a route after so many calls."""
ENGINE_SECONDS = st.sampled_from([0.01, 0.1, 0.5, 2.0, 4.0, 6.0, 10.0])
ROUTES = st.sampled_from(sorted(KINDS))
RATES = st.sampled_from([UNLIMITED, UNLIMITED, 60_000.0])
LENGTHS = st.sampled_from([10, 10, 1000, 150_000])
DEADLINES = st.sampled_from([None, None, 3000, 30_000])
LARGE_BODY = b"b" * 3000


@attrs.define(eq=False)
class Asked:
    """One request of a caller."""

    caller: Caller
    id: str
    route: str
    seconds: float
    length: int
    deadline_seconds: float
    begun_at: float
    left: int
    """Number of pieces that the connection has not received."""
    is_begun: bool = False
    whole_at: float | None = None
    """When the connection had received it whole."""
    is_broken_off: bool = False

    @property
    def is_stream(self) -> bool:
        return self.route.startswith("stream")


@attrs.define
class Known:
    """What a daemon could know of a route when an engine got a call."""

    shortest: float | None
    longest: float | None
    count: int


class SlowAdmission:
    """Admits at once, or waits, as for an owner or an append."""

    def __init__(self) -> None:
        self.is_waiting = False
        self.waiting = []

    def request(self, call, route, listener) -> None:
        if self.is_waiting:
            self.waiting.append((call, listener))
        else:
            listener.admitted(NO_ACCOUNT, call.body)

    def decide(self) -> None:
        self.is_waiting = False
        waiting, self.waiting = self.waiting, []
        for call, listener in waiting:
            listener.admitted(NO_ACCOUNT, call.body)


class StopMachine(RuleBasedStateMachine):
    """A planned stop serves each call whole or refuses it before it ran."""

    def __init__(self) -> None:
        super().__init__()
        self.admission = SlowAdmission()
        self.world = StopWorld(admission=self.admission)
        self.on_connection: dict[Caller, list[Asked]] = {}
        self.known_at: dict[str, Known] = {}
        """What was known when an engine first got a call, or when it was refused."""
        self.answered_at: dict[Caller, float] = {}
        """When a connection had the first byte of a response."""
        self.is_stopped = False

    @initialize(seconds=st.dictionaries(ROUTES, ENGINE_SECONDS))
    def serve_earlier_calls(self, seconds):
        for route, one in seconds.items():
            for _ in range(MIN_KNOWN):
                caller = self.world.caller()
                self.on_connection[caller] = []
                self._ask(caller, route, one)
        self._run(11.0)

    # Callers

    def _ask(
        self, caller, route, seconds, *, length=10, deadline_ms=None, body=b"", slow=0.0
    ) -> None:
        data = caller.request(
            route, seconds, length=length, deadline_ms=deadline_ms, body=body
        )
        pieces = max(round(slow / STEP_SECONDS), 1)
        size = -(-len(data) // pieces)
        parts = [data[start : start + size] for start in range(0, len(data), size)]
        deadline = ROUTE_TIMEOUT_SECONDS if deadline_ms is None else deadline_ms / 1000
        asked = Asked(
            caller,
            caller.id,
            route,
            seconds,
            length,
            deadline,
            self.world.now,
            len(parts),
        )
        self.on_connection[caller].append(asked)
        self._deliver(asked, parts)

    def _deliver(self, asked: Asked, parts: list[bytes]) -> None:
        """Send the first piece now, and the others one each step."""
        caller = asked.caller
        if caller.is_closed or not caller.transport.is_reading:
            return
        asked.is_begun = True
        asked.left -= 1
        if not asked.left:
            asked.whole_at = self.world.now
        caller.send(parts[0])
        if parts[1:]:
            self.world.reactor.callLater(STEP_SECONDS, self._deliver, asked, parts[1:])

    def _new_caller(self, rate) -> Caller:
        caller = self.world.caller(rate)
        self.on_connection[caller] = []
        return caller

    def _accepts(self) -> bool:
        return self.world.port.is_open and not self.world.reactor.hasStopped

    @precondition(lambda self: self._accepts())
    @rule(
        route=ROUTES,
        seconds=ENGINE_SECONDS,
        rate=RATES,
        length=LENGTHS,
        deadline=DEADLINES,
    )
    def call_on_a_new_connection(self, route, seconds, rate, length, deadline):
        self._ask(
            self._new_caller(rate), route, seconds, length=length, deadline_ms=deadline
        )

    @precondition(lambda self: self._accepts())
    @rule(route=ROUTES, seconds=ENGINE_SECONDS, slow=st.sampled_from([0.5, 3.0, 12.0]))
    def call_that_is_sent_slowly(self, route, seconds, slow):
        caller = self._new_caller(UNLIMITED)
        self._ask(caller, route, seconds, body=LARGE_BODY, slow=slow)

    @precondition(lambda self: self._accepts())
    @rule(
        first=ROUTES, second=ROUTES, seconds=ENGINE_SECONDS, next_seconds=ENGINE_SECONDS
    )
    def pipelined_calls(self, first, second, seconds, next_seconds):
        caller = self._new_caller(UNLIMITED)
        self._ask(caller, first, seconds)
        self._ask(caller, second, next_seconds)

    @precondition(lambda self: bool(self._kept()))
    @rule(
        data=st.data(),
        route=ROUTES,
        seconds=ENGINE_SECONDS,
        slow=st.sampled_from([0.0, 0.0, 2.0]),
    )
    def call_on_a_kept_connection(self, data, route, seconds, slow):
        caller = data.draw(st.sampled_from(self._kept()))
        self._ask(caller, route, seconds, slow=slow)

    def _kept(self) -> list[Caller]:
        """Return the connections on which no request is being sent."""
        return [
            caller
            for caller, asked in self.on_connection.items()
            if not caller.is_closed
            and caller.transport.is_reading
            and all(one.left == 0 for one in asked)
        ][-4:]

    # Engines

    @rule()
    def engines_are_reached_slowly(self):
        self.world.engines.is_connecting = True

    @rule()
    def engines_are_reached(self):
        self.world.engines.connect()

    @rule()
    def admissions_wait(self):
        self.admission.is_waiting = True

    @rule()
    def admissions_are_decided(self):
        self.admission.decide()

    @precondition(lambda self: bool(self._running()))
    @rule(data=st.data())
    def engine_breaks_off(self, data):
        answer = data.draw(st.sampled_from(self._running()))
        answer.break_off()
        for asked in self._all():
            if asked.id == answer.id:
                asked.is_broken_off = True

    def _running(self) -> list[EngineAnswer]:
        return [
            answer
            for answers in self.world.engines.got.values()
            for answer in answers
            if not answer.is_over and not answer.is_abandoned
        ][-4:]

    # Time

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.7, 2.0]))
    def time_passes(self, seconds):
        self._run(seconds)

    @precondition(lambda self: not self.is_stopped)
    @rule()
    def stop(self):
        self.is_stopped = True
        self.world.stop()

    @precondition(lambda self: self.is_stopped and not self.world.reactor.hasStopped)
    @rule()
    def stop_again(self):
        self.world.process.on_stop_signal()

    def _run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.world.run(STEP_SECONDS)
            self.note_what_is_known()

    @invariant()
    def note_what_is_known(self):
        for caller in self.on_connection:
            if caller.transport.sent and caller not in self.answered_at:
                self.answered_at[caller] = self.world.now
        for id in self.world.engines.got:
            if id not in self.known_at:
                self.known_at[id] = self._known(self._route_of(id))

    def _known(self, route: str) -> Known:
        """Return the durations of a route's calls that have ended."""
        took = [
            answer.seconds
            for answers in self.world.engines.got.values()
            for answer in answers
            if answer.route == route and answer.is_over and not answer.is_abandoned
        ]
        return Known(min(took, default=None), max(took, default=None), len(took))

    # Oracle

    def _all(self) -> list[Asked]:
        return [asked for all in self.on_connection.values() for asked in all]

    def _route_of(self, id: str) -> str:
        return next(asked.route for asked in self._all() if asked.id == id)

    def teardown(self):
        if not self.is_stopped:
            self.stop()
        self._run(GRACE_SECONDS - self.world.since_stop + STEP_SECONDS)
        ended_at = self.world.ended_at
        assert ended_at is not None, "the process is killed"
        assert ended_at <= LAST_EXIT_SECONDS
        for caller, asked in self.on_connection.items():
            self._check_connection(caller, asked)

    def _check_connection(self, caller: Caller, asked: list[Asked]) -> None:
        responses: list[Response | None] = list(caller.responses)
        assert len(responses) <= len(asked), "a response without a request"
        responses += [None] * (len(asked) - len(responses))
        is_closing = False
        for one, response in zip(asked, responses, strict=True):
            if is_closing:
                assert response is None
                assert one.id not in self.world.engines.got, "it ran behind a close"
                continue
            self._check(one, response)
            is_closing = (
                response is None
                or not response.is_whole
                or b"connection" in response.headers
            )

    def _check(self, asked: Asked, response: Response | None) -> None:
        answers = self.world.engines.got.get(asked.id, [])
        if answers:
            assert asked.whole_at is not None, "a part of a request ran"
            self._check_run(asked, answers[0], response)
        elif response is not None:
            assert response.is_whole
            assert response.status == 503, "no engine got it"
            assert 0.0 < float(response.headers[b"retry-after"]) < 1.0
            if b"stopping" in response.body:
                assert response.headers.get(b"connection") == b"close"
                self._check_that_it_was_refused_at_once(asked)
        else:
            assert not asked.is_begun, "cut silently although nothing ran"

    def _check_that_it_was_refused_at_once(self, asked: Asked) -> None:
        """Check that a call of which nothing is known does not wait for its refusal."""
        is_unknown = self._known(asked.route).count == 0
        is_long = asked.deadline_seconds == ROUTE_TIMEOUT_SECONDS
        is_first = self.on_connection[asked.caller][0] is asked
        is_fast = asked.caller.bytes_per_second == UNLIMITED
        is_sent_at_once = asked.whole_at == asked.begun_at
        if not (is_unknown and is_long and is_first and is_fast and is_sent_at_once):
            return
        since = max(asked.begun_at, self.world.stopped_at)
        assert self.answered_at[asked.caller] <= since + REFUSAL_SECONDS, "refused late"

    def _check_run(
        self, asked: Asked, answer: EngineAnswer, response: Response | None
    ) -> None:
        if response is not None:
            assert response.status != 503, "a call that ran is said not to have run"
        if answer.is_after_stop:
            self._check_that_it_was_right_to_send(asked, answer)
            if response is not None:
                assert response.headers.get(b"connection") == b"close"
        if asked.is_broken_off or self._expires(asked):
            return
        if self._fits(asked, answer):
            assert response is not None, "cut silently although it ended in time"
            assert (response.status, response.is_whole) == (200, True)
        elif not asked.is_stream and asked.caller.bytes_per_second == UNLIMITED:
            assert response is not None, "a call that runs is cut without a word"
            assert response.is_whole

    def _expires(self, asked: Asked) -> bool:
        """Return whether its deadline, or what was connected late, may have ended it."""
        return asked.seconds + 2.0 >= asked.deadline_seconds

    def _fits(self, asked: Asked, answer: EngineAnswer) -> bool:
        lengths = sum(one.length for one in self.on_connection[asked.caller]) + 1000
        reading = lengths / asked.caller.bytes_per_second
        end = answer.sent_at + asked.seconds + reading + SERVED_MARGIN_SECONDS
        return end <= self.world.stopped_at + CUT_SECONDS

    def _check_that_it_was_right_to_send(
        self, asked: Asked, answer: EngineAnswer
    ) -> None:
        """Check that an engine did not get what was known not to end before the cut."""
        left = self.world.stopped_at + CUT_SECONDS - answer.sent_at + SLACK_SECONDS
        deadline = asked.begun_at + asked.deadline_seconds - answer.sent_at
        known = self.known_at[asked.id]
        if known.shortest is None:
            assert deadline <= left, "nothing was known of a call that was sent"
        elif known.count >= MIN_KNOWN:
            assert min(known.shortest, deadline) <= left, "known not to end, yet sent"


class ShortCallsMachine(RuleBasedStateMachine):
    """A stop in which calls are short refuses none that comes before the last second."""

    def __init__(self) -> None:
        super().__init__()
        self.world = StopWorld()
        self.callers: list[Caller] = []

    @initialize(stop_first=st.booleans())
    def learn(self, stop_first):
        for route in KINDS:
            self.world.learn(route, 0.1)
        self.world.stop()

    @precondition(lambda self: self.world.port.is_open)
    @rule(route=ROUTES, seconds=st.sampled_from([0.01, 0.1, 0.2]), rate=RATES)
    def call(self, route, seconds, rate):
        caller = self.world.caller(rate)
        caller.call(route, seconds)
        self.callers.append(caller)

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.7]))
    def time_passes(self, seconds):
        self.world.run(seconds)

    def teardown(self):
        self.world.finish()
        assert self.world.ended_at < 4.0
        for caller in self.callers:
            assert (caller.response.status, caller.response.is_whole) == (200, True)
