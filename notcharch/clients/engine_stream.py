"""One stream from an engine: relays its events as bytes and resumes it after a break.

The states are in `stream_life_cycle`; this class performs the steps of that state
machine. While an engine is silent, for example during a long prefill, the state of
the request is polled to distinguish a dead connection from slow work.
"""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.web.iweb import IAgent

from notcharch.clients.answer_collector import AnswerCollector
from notcharch.clients.backoff import Backoff
from notcharch.clients.engine_requests import EngineRequests, RunState
from notcharch.clients.failures import (
    STATUS_NOT_FOUND,
    problem_of_failure,
    problem_of_reply,
)
from notcharch.clients.http_stream import ExchangeHandlers, HttpStream
from notcharch.clients.ports import EngineRequest, StreamEnd
from notcharch.clients.server_sent_events import (
    LAST_EVENT,
    EventSplitter,
    events_from,
    first_event_number,
)
from notcharch.clients.stream_life_cycle import Step, StreamCore, new_stream_machine
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.events.clients import EngineStreamBroken, EngineStreamFailed
from notcharch.events.event import emit


@attrs.frozen
class StreamTools:
    """Shared by a client's streams; polls the state after `silence_seconds`."""

    agent: IAgent
    clock: IReactorTime
    requests: EngineRequests
    silence_seconds: float


class ResumingEngineStream:
    """Implements `EngineStream`; `on_bytes` gets each event once, complete, and must not raise."""

    def __init__(
        self,
        tools: StreamTools,
        backoff: Backoff,
        address: str,
        request: EngineRequest,
        on_bytes: Callable[[bytes], None],
    ) -> None:
        """Prepare the request; `start` sends it."""
        self.finished: Deferred[Result[StreamEnd, Problem]] = Deferred()
        self._tools = tools
        self._backoff = backoff
        self._address = address
        self._request = request
        self._on_bytes = on_bytes
        self._machine = new_stream_machine(StreamCore())
        self._collector = AnswerCollector()
        self._splitter = EventSplitter()
        self._exchange = self._new_exchange()
        self._timer: IDelayedCall | None = None
        self._silence_timer: IDelayedCall | None = None
        self._problem = self._engine_problem("the stream did not begin", Ran.NO)
        self._expected_number = 0
        self._is_position_checked = True
        self._is_paused = False
        self._was_accepted = False
        self._has_resumed = False
        self._has_received = False

    def start(self, url: bytes, body: bytes) -> None:
        """Send the request."""
        self._watch_silence()
        self._exchange.start(self._tools.agent, b"POST", url, body)

    def pause(self) -> None:
        """Stop reading from the engine."""
        self._is_paused = True
        self._exchange.pause()

    def resume(self) -> None:
        """Resume reading."""
        self._is_paused = False
        self._exchange.resume()

    def cancel(self) -> None:
        """Cancel the run on the engine; `finished` fires with an Err."""
        self._exchange.abort()
        self._problem = self._engine_problem("cancelled", self._ran())
        self._perform(self._machine.cancelled())

    def _new_exchange(self) -> HttpStream:
        handlers = ExchangeHandlers(
            self._on_accepted, self._on_data, self._on_refused, self._on_lost
        )
        return HttpStream(handlers)

    # Handlers of the exchange.

    def _on_accepted(self) -> None:
        self._was_accepted = True
        self._has_received = True
        self._perform(self._machine.accepted())

    def _on_data(self, data: bytes) -> None:
        self._has_received = True
        events = self._splitter.feed(data)
        if not self._is_position_checked:
            events = self._skip_received(events)
        if events:
            self._collector.add(events)
            self._on_bytes(events)
        elif self._splitter.is_overlong:
            self._abandon("an event is too long")

    def _on_refused(self, status: int, body: bytes) -> None:
        where = f"engine at {self._address}"
        problem = problem_of_reply(status, body, ProblemCode.ENGINE_FAILED, where)
        if not self._has_resumed:
            self._problem = problem
            self._perform(self._machine.refused())
        elif status == STATUS_NOT_FOUND:
            self._problem = self._engine_problem(
                "it has forgotten the request", self._ran()
            )
            self._perform(self._machine.refused())
        else:
            self._handle_break(problem.message)

    def _on_lost(self, error: BaseException | None) -> None:
        if self._collector.is_over():
            self._complete()
        elif not self._exchange.was_sent and not self._has_resumed:
            where = f"engine at {self._address}"
            assert error is not None
            self._problem = problem_of_failure(error, ProblemCode.ENGINE_FAILED, where)
            self._perform(self._machine.refused())
        elif error is None:
            Deferred.fromCoroutine(self._check_early_end())
        else:
            self._handle_break(type(error).__name__)

    async def _check_early_end(self) -> None:
        """Distinguish a cancelled run from a stream that ended early."""
        run = await self._tools.requests.state(self._address, self._request.request_id)
        if isinstance(run, Ok) and run.ok_value.is_unavailable:
            self._problem = self._engine_problem(
                f"it is {run.ok_value.state}", self._ran()
            )
            self._perform(self._machine.refused())
        else:
            self._handle_break("the stream ended too early")

    # Breaks and resumption.

    def _handle_break(self, cause: str) -> None:
        self._exchange.abort()
        step = self._machine.broke()
        if step is not Step.RESUME_LATER:
            return
        number = self._collector.next_number()
        if number > self._expected_number:
            self._backoff.reset()
        self._expected_number = number
        emit(EngineStreamBroken(self._address, self._request.request_id, number, cause))
        delay = self._backoff.next_delay()
        if delay is None:
            self._abandon(f"given up after: {cause}")
        else:
            self._timer = self._tools.clock.callLater(delay, self._retry)

    def _retry(self) -> None:
        self._timer = None
        self._perform(self._machine.retry_due())

    def _resume_stream(self) -> None:
        self._has_resumed = True
        self._is_position_checked = False
        self._splitter = EventSplitter()
        self._exchange = self._new_exchange()
        url = self._tools.requests.stream_url(
            self._address, self._request.request_id, self._expected_number
        )
        if self._is_paused:
            self._exchange.pause()
        self._exchange.start(self._tools.agent, b"GET", url, b"")

    def _skip_received(self, events: bytes) -> bytes:
        """Drop events already received; a gap ends the stream."""
        first = first_event_number(events)
        if first is None:
            return events
        if first < self._expected_number:
            events = events_from(events, self._expected_number)
            first = first_event_number(events)
        if first is None:
            return b""
        self._is_position_checked = True
        if first == self._expected_number:
            return events
        self._abandon("events are missing")
        return b""

    def _abandon(self, cause: str) -> None:
        self._exchange.abort()
        self._problem = self._engine_problem(cause, self._ran())
        self._perform(self._machine.given_up())

    # Silence detection.

    def _watch_silence(self) -> None:
        self._has_received = False
        self._silence_timer = self._tools.clock.callLater(
            self._tools.silence_seconds, self._check_silence
        )

    def _check_silence(self) -> None:
        was_silent = not (self._has_received or self._is_paused or self._timer)
        self._watch_silence()
        if was_silent and self._collector.is_over():
            self._exchange.abort()
            self._complete()
        elif was_silent:
            Deferred.fromCoroutine(self._request_state(self._exchange))

    async def _request_state(self, exchange: HttpStream) -> None:
        run = await self._tools.requests.state(self._address, self._request.request_id)
        if (
            exchange is not self._exchange
            or exchange.is_over
            or self._has_received
            or self.finished.called
        ):
            return
        if isinstance(run, Err):
            self._on_silence(run.err_value.message)
        elif not self._is_in_flight(run.ok_value):
            self._on_silence(f"the engine says {run.ok_value.state}")

    def _is_in_flight(self, run: RunState) -> bool:
        return run.is_active and run.events <= self._collector.next_number()

    def _on_silence(self, cause: str) -> None:
        self._exchange.abort()
        if self._exchange.was_sent or self._has_resumed:
            self._handle_break(f"silent: {cause}")
            return
        self._problem = self._engine_problem("no connection in time", Ran.NO)
        self._perform(self._machine.refused())

    # The result.

    def _complete(self) -> None:
        result = self._collector.result()
        if isinstance(result, Err):
            self._problem = result.err_value
            self._perform(self._machine.refused())
            return
        if not self._collector.is_done:
            self._on_bytes(LAST_EVENT)
        self._perform(self._machine.ended())

    def _perform(self, step: Step) -> None:
        if step is Step.RESUME:
            self._resume_stream()
        elif step is Step.SUCCEED:
            self._finish(self._collector.result())
        elif step is Step.FAIL:
            self._finish(Err(self._problem))
        elif step is Step.CANCEL:
            self._cancel_on_engine()
            self._finish(Err(self._problem))

    def _cancel_on_engine(self) -> None:
        if self._problem.ran is Ran.NO:
            return
        self._tools.requests.cancel(self._address, self._request.request_id)

    def _finish(self, result: Result[StreamEnd, Problem]) -> None:
        for timer in (self._timer, self._silence_timer):
            if timer is not None and timer.active():
                timer.cancel()
        if isinstance(result, Err):
            problem = result.err_value
            emit(
                EngineStreamFailed(
                    self._address,
                    self._request.request_id,
                    problem.message,
                    problem.ran.value,
                )
            )
        self.finished.callback(result)

    def _ran(self) -> Ran:
        if self._was_accepted:
            return Ran.YES
        return Ran.UNKNOWN if self._exchange.was_sent or self._has_resumed else Ran.NO

    def _engine_problem(self, message: str, ran: Ran) -> Problem:
        text = f"engine at {self._address}: {message}"
        return Problem.of(ProblemCode.ENGINE_FAILED, text, ran=ran)
