"""The log lines of one call: each decision with what it was made from."""

from twisted.internet.interfaces import IReactorTime

from notcharch.calls.interface import OpaqueCall, Refusal, Route
from notcharch.calls.metrics import (
    ADMISSION_SECONDS,
    CALLS,
    COMPLETE_RESPONSE_SECONDS,
    FIRST_EVENT_SECONDS,
    RETRIES,
)
from notcharch.events.calls import (
    AnswerOverdue,
    CallBrokenOff,
    CallerLeft,
    CallRefused,
    CallSentAgain,
    CallServed,
)
from notcharch.events.event import emit


class CallLog:
    """Writes the lines of one call, and counts what they tell."""

    def __init__(self, clock: IReactorTime, call: OpaqueCall, route: Route) -> None:
        """Begin when the call begins."""
        self._clock = clock
        self._call = call
        self._route = route
        self.deadline = 0.0
        """Clock seconds."""
        self.admission_seconds = 0.0
        self.engines: list[str] = []
        """The engines that it was sent to, in order."""
        self.runs = 0
        """So many engines may have run it."""
        self.events = 0
        """Whole events that the caller was given."""

    @property
    def _seconds(self) -> float:
        return round(self._clock.seconds() - self._call.arrived, 4)

    @property
    def _seconds_left(self) -> float:
        return round(self.deadline - self._clock.seconds(), 4)

    @property
    def _engine(self) -> str:
        return self.engines[-1] if self.engines else ""

    def admitted(self) -> None:
        """Note how long the admission took."""
        self.admission_seconds = self._seconds
        ADMISSION_SECONDS.observe(self.admission_seconds)

    def events_relayed(self, events: int) -> None:
        """Note how many events the caller was given."""
        if not self.events:
            FIRST_EVENT_SECONDS.observe(self._seconds)
        self.events = events

    def overdue(self, limit_seconds: float, *, is_abandoned: bool) -> None:
        """Tell that the present run's first answer is overdue."""
        call = self._call
        emit(
            AnswerOverdue(
                request=call.id,
                program=call.program,
                route=self._route.name,
                engine=self._engine,
                waited_seconds=self._seconds,
                limit_seconds=round(limit_seconds, 3),
                is_given_up=is_abandoned,
            )
        )

    def served(self, status: int) -> None:
        """Tell that the caller has an engine's whole answer."""
        CALLS.labels("served", "").inc()
        COMPLETE_RESPONSE_SECONDS.observe(self._seconds)
        emit(
            CallServed(
                request=self._call.id,
                program=self._call.program,
                session=self._call.session,
                route=self._route.name,
                engine=self._engine,
                status=status,
                engines_tried=len(self.engines),
                events=self.events,
                seconds=self._seconds,
                admission_seconds=self.admission_seconds,
            )
        )

    def refused(self, refusal: Refusal, phase: str, engines_known: int) -> None:
        """Tell of an answer of our own."""
        CALLS.labels("refused", refusal.reason).inc()
        emit(
            CallRefused(
                request=self._call.id,
                program=self._call.program,
                session=self._call.session,
                route=self._route.name,
                phase=phase,
                status=refusal.status,
                reason=refusal.reason,
                retry_after_seconds=refusal.retry_after_seconds,
                engines_tried=len(self.engines),
                runs=self.runs,
                engines_known=engines_known,
                seconds=self._seconds,
                seconds_left=self._seconds_left,
            )
        )

    def retried(self, cause: str) -> None:
        """Tell why another engine is looked for."""
        RETRIES.inc()
        emit(
            CallSentAgain(
                request=self._call.id,
                program=self._call.program,
                engine=self._engine,
                cause=cause,
                runs=self.runs,
                events=self.events,
                seconds_left=self._seconds_left,
            )
        )

    def interrupted(self, phase: str, cause: str) -> None:
        """Tell of a stream that was cut."""
        CALLS.labels("broken off", phase).inc()
        emit(
            CallBrokenOff(
                request=self._call.id,
                program=self._call.program,
                session=self._call.session,
                phase=phase,
                cause=cause,
                engines_tried=len(self.engines),
                runs=self.runs,
                events=self.events,
                seconds=self._seconds,
                seconds_left=self._seconds_left,
            )
        )

    def caller_disconnected(self, phase: str) -> None:
        """Tell that nobody waits any more."""
        CALLS.labels("caller left", phase).inc()
        emit(
            CallerLeft(
                request=self._call.id,
                program=self._call.program,
                phase=phase,
                engine=self._engine,
                events=self.events,
                seconds=self._seconds,
            )
        )
