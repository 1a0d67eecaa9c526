"""Log events of one call: each decision with its inputs."""

from twisted.internet.interfaces import IReactorTime

from notcharch.calls.engine_selection import Selection
from notcharch.calls.interface import Engine, OpaqueCall, Refusal, Route
from notcharch.calls.metrics import (
    ADMISSION_SECONDS,
    CALLS,
    CHOICES,
    COMPLETE_RESPONSE_SECONDS,
    END_CHECKS,
    EXPECTED_SECONDS,
    FIRST_EVENT_SECONDS,
    FULL_SENDS,
    RETRIES,
    URGENCIES,
)
from notcharch.events.calls import (
    AnswerEndChecked,
    AnswerOverdue,
    CallBrokenOff,
    CallerLeft,
    CallRefused,
    CallSentAgain,
    CallServed,
    EngineChosen,
    StreamBegan,
    StreamTakenUp,
)
from notcharch.events.event import emit
from notcharch.scheduling.stream_origin import FoundOrigin
from notcharch.values.framing import Framing


class CallLog:
    """Logs the events of one call and updates its metrics."""

    def __init__(self, clock: IReactorTime, call: OpaqueCall, route: Route) -> None:
        """Start at the arrival of a call."""
        self._clock = clock
        self._call = call
        self._route = route
        self.deadline = 0.0
        """Deadline of the call, clock seconds."""
        self.admission_seconds = 0.0
        self.engines: list[str] = []
        """Engines that the call was sent to, in order."""
        self.version = ""
        """Software version of the last of them."""
        self.runs = 0
        """Number of engines that may have run the call."""
        self.events = 0
        """Number of complete events relayed to the caller."""
        self.events_received = 0
        """Number of complete events that engines sent."""
        self.framing = ""
        """How the last answer of an engine was framed; empty if there was none."""
        self.body_bytes = 0
        """Bytes of that answer's body that were received."""
        self.unfinished_bytes = 0
        """Those of them after its last complete event, if it is a stream."""

    @property
    def _seconds(self) -> float:
        return round(self._clock.seconds() - self._call.arrived, 4)

    @property
    def _seconds_left(self) -> float:
        return round(self.deadline - self._clock.seconds(), 4)

    @property
    def _engine(self) -> str:
        return self.engines[-1] if self.engines else ""

    def stream_taken_up(self, found: FoundOrigin) -> None:
        """Log that the call resumes a stream, and what is known of its origin."""
        call, origin = self._call, found.origin
        emit(
            StreamTakenUp(
                request=call.id,
                program=call.program,
                first_attempt=call.first_attempt,
                after_event=(call.last_event_id or b"").decode("latin-1"),
                service=origin.service if origin is not None else "",
                version=origin.version if origin is not None else "",
                source=found.source.value,
                seconds=self._seconds,
            )
        )

    def sent(self, engine: Engine) -> None:
        """Record that the call is sent to an engine."""
        self.framing = ""
        self.body_bytes = self.unfinished_bytes = 0
        self.engines.append(engine.id)
        self.version = engine.version

    def answer_received(self, framing: Framing, body_bytes: int) -> None:
        """Record how an engine's answer was framed, and how much of it was received."""
        self.framing = framing.value
        self.body_bytes = body_bytes

    def end_checked(self, question: str, verdict: str, seconds: float) -> None:
        """Log what the engine said of an end that was inferred."""
        END_CHECKS.labels(question, verdict).inc()
        emit(
            AnswerEndChecked(
                request=self._call.id,
                program=self._call.program,
                engine=self._engine,
                question=question,
                verdict=verdict,
                events=self.events,
                seconds=round(seconds, 4),
            )
        )

    def stream_began(self, service: str) -> None:
        """Log the first event of a stream whose version peers may need to know."""
        call = self._call
        emit(
            StreamBegan(
                request=call.id,
                program=call.program,
                service=service,
                engine=self._engine,
                version=self.version,
                first_attempt=call.first_attempt or call.id,
            )
        )

    def admitted(self) -> None:
        """Record the duration of the admission."""
        self.admission_seconds = self._seconds
        ADMISSION_SECONDS.observe(self.admission_seconds)

    def selected(self, selection: Selection, loads_known: int) -> None:
        """Log the choice of an engine by the loads of all daemons."""
        CHOICES.labels(selection.reason.value).inc()
        if self._call.urgency is not None:
            URGENCIES.labels(str(self._call.urgency)).inc()
        choice = selection.by_cost
        if choice is None:
            return
        cost = choice.chosen
        EXPECTED_SECONDS.observe(cost.seconds)
        if cost.engine.is_full:
            FULL_SENDS.inc()
        emit(
            EngineChosen(
                request=self._call.id,
                program=self._call.program,
                engine=cost.engine.id,
                reason=selection.reason.value,
                loads_known=loads_known,
                in_flight=cost.engine.in_flight,
                slots=cost.engine.slots,
                run_seconds=round(cost.run_seconds, 4),
                wait_seconds=round(cost.wait_seconds, 4),
                reading_seconds=round(cost.reading_seconds, 4),
                distance_seconds=round(cost.distance_seconds, 4),
                lowest_seconds=round(choice.lowest_seconds, 4),
                urgency=self._call.urgency,
            )
        )

    def events_relayed(self, events: int) -> None:
        """Record the number of events relayed so far."""
        if not self.events:
            FIRST_EVENT_SECONDS.observe(self._seconds)
        self.events = events

    def overdue(self, limit_seconds: float, *, is_abandoned: bool) -> None:
        """Log that the current run's first response is overdue."""
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
        """Log that an engine's complete response was relayed."""
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
                version=self.version,
                framing=self.framing,
                body_bytes=self.body_bytes,
                unfinished_bytes=self.unfinished_bytes,
            )
        )

    def refused(self, refusal: Refusal, phase: str, engines_known: int) -> None:
        """Log a refusal."""
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
                engine=self._engine,
            )
        )

    def retried(self, cause: str) -> None:
        """Log a retry and its cause."""
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
                version=self.version,
                framing=self.framing,
                body_bytes=self.body_bytes,
                unfinished_bytes=self.unfinished_bytes,
            )
        )

    def interrupted(self, phase: str, cause: str) -> None:
        """Log an aborted stream."""
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
                version=self.version,
                framing=self.framing,
                body_bytes=self.body_bytes,
                unfinished_bytes=self.unfinished_bytes,
                engine=self._engine,
            )
        )

    def caller_disconnected(self, phase: str) -> None:
        """Log that the caller disconnected."""
        CALLS.labels("caller left", phase).inc()
        emit(
            CallerLeft(
                request=self._call.id,
                program=self._call.program,
                phase=phase,
                engine=self._engine,
                events=self.events,
                seconds=self._seconds,
                version=self.version,
            )
        )
