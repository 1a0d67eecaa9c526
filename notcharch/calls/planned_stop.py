"""What a planned stop does to the calls of a daemon: which are refused, which are cut."""

from typing import Protocol

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.interface import OpaqueCall, Refusal, Route
from notcharch.calls.metrics import STOP_CUTS, STOP_REFUSALS
from notcharch.events.event import emit
from notcharch.events.process import CallCutByStop, CallRefusedForStop
from notcharch.events.stop_steps import isolated
from notcharch.scheduling.call_durations import CallDurations, Durations, EndedCall
from notcharch.scheduling.stop_decision import StopDecision, StopInputs, decide

STOPPING = Refusal(503, "the daemon is stopping", 0.1)
"""Another daemon serves at once. Its connection is closed, so the next try goes elsewhere."""
REFRESH_SECONDS = 0.05
"""Many calls that wait are decided on together; durations are not computed for each."""
AGAIN = "again"
"""The metric's phase of a call that may have run and is not sent again."""
CUT_BY_STOP = "the daemon stopped before the call ended"


class CallTimer:
    """Times one call from its first send to the end and to the last byte of its answer.

    It outlives its call while a slow caller reads, so it holds nothing of it.
    """

    def __init__(
        self, clock: IReactorTime, route: str, stop: "PlannedStop | None"
    ) -> None:
        """Start with a call that was not sent; its duration is told to `stop`."""
        self._clock = clock
        self._stop = stop
        self.route = route
        self.sent_at: float | None = None
        """Clock seconds of the first send."""
        self.is_slowed = False
        """Whether its engine had to wait for its caller, so that it shows nothing."""
        self._engine_seconds: float | None = None
        """From the first send to the end, if this tells how long calls take."""

    def sent(self) -> None:
        """Start at the first send."""
        if self.sent_at is None:
            self.sent_at = self._clock.seconds()

    @property
    def seconds(self) -> float | None:
        """Seconds since the first send; None if there was none."""
        return None if self.sent_at is None else self._clock.seconds() - self.sent_at

    def answer_ended(self) -> None:
        """Note the end of an answer that tells how long calls of its route take."""
        if not self.is_slowed:
            self._engine_seconds = self.seconds

    def answer_sent(self) -> None:
        """End: the last byte of the answer has left the process."""
        whole, engine = self.seconds, self._engine_seconds
        if self._stop is None or whole is None or engine is None:
            return
        now = self._clock.seconds()
        self._stop.record(self.route, EndedCall(now, engine, whole - engine))


class StoppableCall(Protocol):
    """A call that has not ended."""

    @property
    def timer(self) -> CallTimer:
        """Its time at engines."""

    def refuse_if_late(self) -> None:
        """Refuse the call if it is at no engine and can't end before the stop."""

    def end_for_stop(self) -> None:
        """End the call now: refused if it has not run, else broken off."""


class KnownDurations(msgspec.Struct):
    """What is known of all routes at a moment."""

    at: float
    """Clock seconds."""
    running: dict[str, list[float]]
    """The ages of the calls at engines, by route, but for those whose callers are slow."""
    durations: dict[str, Durations | None] = {}
    """By route, as far as they were asked for; None if they are not known."""


class StopCounts(msgspec.Struct):
    """How calls ended since the start of a stop."""

    served: int = 0
    refused: int = 0
    cut: int = 0


class PlannedStop:
    """The stop of one daemon as its calls see it; before it, it learns durations."""

    def __init__(self, clock: IReactorTime) -> None:
        """Start without a stop."""
        self._clock = clock
        self._cut_at: float | None = None
        self._durations = CallDurations()
        self._calls: dict[StoppableCall, None] = {}
        """Calls that have not ended, in the order of their start."""
        self._latest: KnownDurations | None = None
        """Only used during a stop."""
        self.counts = StopCounts()

    @property
    def is_stopping(self) -> bool:
        """Whether the stop has begun."""
        return self._cut_at is not None

    def begin(self, seconds: float) -> None:
        """Start the stop; what still runs is cut after `seconds`."""
        self._cut_at = self._clock.seconds() + seconds

    def started(self, call: StoppableCall) -> None:
        """Add a call."""
        self._calls[call] = None

    def ended(self, call: StoppableCall) -> None:
        """Remove a call."""
        self._calls.pop(call, None)

    def served(self) -> None:
        """Count a call that was served whole."""
        if self.is_stopping:
            self.counts.served += 1

    def record(self, route: str, call: EndedCall) -> None:
        """Learn the duration of a call."""
        self._durations.record(route, call)

    def decide(self, route: Route, deadline: float) -> StopDecision | None:
        """Decide on a call that is about to be sent; None while there is no stop."""
        if self._cut_at is None:
            return None
        now = self._clock.seconds()
        return decide(
            StopInputs(
                seconds_left=self._cut_at - now,
                durations=self._known(route.name, now),
                deadline_seconds=deadline - now,
                is_repeatable=route.is_repeatable,
            )
        )

    def _known(self, route: str, now: float) -> Durations | None:
        """Return the durations of a route's calls as of a moment ago."""
        known = self._latest
        if known is None or now - known.at >= REFRESH_SECONDS:
            known = self._latest = KnownDurations(now, self._running(now))
        if route not in known.durations:
            running = known.running.get(route, ())
            known.durations[route] = self._durations.of(route, now, running)
        return known.durations[route]

    def _running(self, now: float) -> dict[str, list[float]]:
        """Return the ages of the calls at engines: one pass for the calls of all routes."""
        ages: dict[str, list[float]] = {}
        for call in self._calls:
            timer = call.timer
            if timer.sent_at is not None and not timer.is_slowed:
                ages.setdefault(timer.route, []).append(now - timer.sent_at)
        return ages

    def refusal(
        self, call: OpaqueCall, route: Route, deadline: float, phase: str, runs: int
    ) -> Refusal | None:
        """Return the refusal of a call that is about to be sent and can't end in time."""
        decision = self.decide(route, deadline)
        if decision is None or not decision.is_refused:
            return None
        self._log_refusal(call, route, decision, phase, runs)
        return STOPPING

    def refusal_at_end(
        self, call: OpaqueCall, route: Route, deadline: float, phase: str
    ) -> Refusal:
        """Return the refusal of a call that has not run when the rest is cut."""
        decision = self.decide(route, deadline)
        if decision is not None:
            self._log_refusal(call, route, decision, phase, 0)
        return STOPPING

    def _log_refusal(
        self,
        call: OpaqueCall,
        route: Route,
        decision: StopDecision,
        phase: str,
        runs: int,
    ) -> None:
        if runs:
            self.counts.cut += 1
        else:
            self.counts.refused += 1
        reason = decision.basis.name.lower()
        STOP_REFUSALS.labels(AGAIN if runs else phase, reason).inc()
        emit(
            CallRefusedForStop(
                request=call.id,
                program=call.program,
                route=route.name,
                phase=phase,
                basis=decision.basis.value,
                expected_seconds=round(decision.expected_seconds, 3),
                seconds_left=round(decision.seconds_left, 3),
                is_repeatable=route.is_repeatable,
                runs=runs,
            )
        )

    def log_cut(self, call: OpaqueCall, route: Route, running_seconds: float) -> None:
        """Log a call that ran and is cut."""
        self.counts.cut += 1
        STOP_CUTS.inc()
        emit(
            CallCutByStop(
                request=call.id,
                program=call.program,
                route=route.name,
                running_seconds=round(running_seconds, 3),
                is_repeatable=route.is_repeatable,
            )
        )

    def refuse_late(self) -> None:
        """Refuse the calls that wait and can no longer end in time."""
        if self.is_stopping:
            for call in tuple(self._calls):
                isolated("refuse a call that waits", call.refuse_if_late)

    def cut_all(self) -> None:
        """End every call."""
        for call in tuple(self._calls):
            isolated("cut a call", call.end_for_stop)
