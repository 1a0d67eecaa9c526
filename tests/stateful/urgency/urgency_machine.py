"""Calls of several kinds wait at one engine, which admits them by their urgency.

The oracle knows the priority of each kind and whether a program is under way. It works
out the time left and the remaining work by itself.
"""

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from notcharch.calls.call_urgency import CallUrgency
from notcharch.calls.interface import OpaqueCall, Route, ServiceShare
from notcharch.calls.routing import Router, RouteTable
from notcharch.http.exchange import ServerLimits
from notcharch.http.messages import RequestHead

SERVICE = "s"
BAND = 3
PRIORITIES = {"chat": 1, "agents": 4, "batch": 7, "batch-too": 7}
OBJECTIVE_SECONDS = 0.5
HEAD = RequestHead(b"POST", b"/x", [])

ROUTES = {
    name: Route(
        name,
        "h",
        f"/{name}/",
        (ServiceShare(SERVICE, 1.0),),
        is_repeatable=False,
        objective_seconds=OBJECTIVE_SECONDS,
        priority=priority,
    )
    for name, priority in PRIORITIES.items()
}
kinds = st.sampled_from(sorted(PRIORITIES))
seconds_left = st.one_of(
    st.none(), st.sampled_from([-1.0, 0.0, 1e9]), st.floats(0.01, 20.0)
)
durations = st.floats(0.05, 3.0)


@dataclass(frozen=True)
class WaitingCall:
    """One call at the engine; a lower number arrived earlier."""

    number: int
    kind: str
    is_under_way: bool
    level: int
    is_in_time: bool
    """Whether its time left is longer than any call of its kind took."""


class UrgencyMachine(RuleBasedStateMachine):
    """Random calls, admissions and ends."""

    def __init__(self) -> None:
        super().__init__()
        table = RouteTable(1, tuple(ROUTES.values()), {}, ServerLimits())
        self.router = Router(table)
        self.urgency = CallUrgency()
        self.now = 100.0
        self.waiting: list[WaitingCall] = []
        self.number = 0
        self.longest: dict[str, float] = {}

    def call(self, kind: str, left: float | None) -> OpaqueCall:
        route = ROUTES[kind]
        call = OpaqueCall("1", HEAD, b"", self.now, program="p")
        call.program_remaining_seconds = left
        call.priority = self.router.priority_rank(route, SERVICE)
        return call

    def level(self, kind: str, left: float | None, is_under_way: bool) -> int:
        home = "e" if is_under_way else ""
        call = self.call(kind, left)
        return self.urgency.level(call, ROUTES[kind], SERVICE, home, self.now)

    @rule(kind=kinds, left=seconds_left, is_under_way=st.booleans())
    def send(self, kind, left, is_under_way):
        home = "e" if is_under_way else ""
        self.urgency.admitted(self.call(kind, left), ROUTES[kind], SERVICE, home)
        longest = self.longest.get(kind, 0.0)
        self.number += 1
        self.waiting.append(
            WaitingCall(
                self.number,
                kind,
                is_under_way,
                self.level(kind, left, is_under_way),
                left is None or left >= longest,
            )
        )

    @rule(kind=kinds, seconds=durations)
    def serve(self, kind, seconds):
        self.longest[kind] = max(self.longest.get(kind, 0.0), seconds)
        self.urgency.served(ROUTES[kind], seconds)

    @rule()
    def admit(self):
        if not self.waiting:
            return
        admitted = min(self.waiting, key=lambda call: (call.level, call.number))
        self.waiting.remove(admitted)
        for call in self.waiting:
            self.check_overtaken(call, admitted)

    def check_overtaken(self, call: WaitingCall, admitted: WaitingCall) -> None:
        mine, other = PRIORITIES[call.kind], PRIORITIES[admitted.kind]
        assert other <= mine, "a kind is behind a less urgent one"
        if other != mine:
            return
        behind = call.level - admitted.level
        assert behind < BAND, "a call is a whole band behind its own kind"
        if admitted.number > call.number:
            assert behind > 0, "equals are not admitted by arrival"
        overtakes = admitted.number > call.number and not admitted.is_under_way
        if overtakes and call.is_under_way:
            assert not call.is_in_time, "a later beginning precedes one under way"

    @rule(kind=kinds, left=st.floats(0.01, 20.0))
    def compare_programs(self, kind, left):
        """Rate programs that differ in one respect at the same moment."""
        usual = self.urgency.usual(ROUTES[kind], SERVICE)
        in_time = left >= usual.quick_call_seconds
        begins = self.level(kind, left, False)
        less = self.level(kind, left, True)
        assert less <= begins, "a program that begins precedes one under way"
        slack = self.level(kind, None, False)
        if in_time:
            assert less < slack, "a program under way does not precede a beginning"
            more = self.level(kind, 2 * left, True)
            assert less <= more, "slack precedes a short time left"
            more = self.level(kind, 2 * left, False)
            assert begins <= more, "slack precedes a short time left"
        else:
            assert less == begins == slack, "a late call precedes one in time"

    @rule(kind=kinds)
    def compare_short(self, kind):
        """Rate a program under way with a third of the usual time."""
        usual = self.urgency.usual(ROUTES[kind], SERVICE)
        left = usual.program_seconds / 3
        if left >= usual.quick_call_seconds:
            short = self.level(kind, left, True)
            assert short < self.level(kind, None, True), "short time does not precede"

    @invariant()
    def levels_are_valid(self):
        assert all(0 <= call.level <= 9 for call in self.waiting)

    @invariant()
    def kinds_are_apart(self):
        for call in self.waiting:
            for other in self.waiting:
                if PRIORITIES[call.kind] < PRIORITIES[other.kind]:
                    assert call.level < other.level, "the bands of kinds overlap"
