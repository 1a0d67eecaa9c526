"""A stream of a model in the same process, which resumes by offset when it breaks."""

from collections.abc import Callable

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from emulator.engine.host import EngineHost
from emulator.engine.refusals import EngineRefusal, RefusalCode
from emulator.engine.runs import EngineRun, RunState
from emulator.engine.stream_events import render_events
from emulator.faults import Verdict
from emulator.memory_exchange import MemoryWay, problem_of_refusal
from notcharch.clients.ports import EngineRequest, StreamEnd
from notcharch.errors import Problem, ProblemCode, Ran

RESUME_DELAYS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0)
"""Seconds before each try to resume without progress, as in the HTTP client."""

PROGRESS_COMMENT = b": progress\n\n"


class MemoryEngineStream:
    """`EngineStream` and `RunListener` of one run."""

    def __init__(
        self,
        way: MemoryWay,
        find_host: Callable[[], EngineHost | None],
        request: EngineRequest,
        on_bytes: Callable[[bytes], None],
    ) -> None:
        """Open at once; what comes back comes one latency later."""
        self.finished: Deferred[Result[StreamEnd, Problem]] = Deferred()
        self._way = way
        self._find_host = find_host
        self._request = request
        self._on_bytes = on_bytes
        self._run: EngineRun | None = None
        self._next_event = 0
        self._is_paused = False
        self._tries = 0
        self._maybe_accepted = False
        self._was_accepted = False
        self._after_latency(self._open)

    def pause(self) -> None:
        """Stop reading events; the engine buffers them."""
        self._is_paused = True

    def resume(self) -> None:
        """Return all buffered events."""
        self._is_paused = False
        if self._run is not None:
            self.run_progressed(self._run)

    def cancel(self) -> None:
        """Cancel on the engine, if it can be reached, and fail."""
        if self.finished.called:
            return
        host = self._find_host()
        ran = self._ran()
        self._fail("cancelled", ran)
        if host is not None and not host.transport.down and ran is not Ran.NO:
            host.model.cancel(self._request.request_id)

    def run_progressed(self, run: EngineRun) -> None:
        """Take new events, and the end."""
        if self._is_paused or self.finished.called:
            return
        if run.events > self._next_event:
            rendered = self._render(run)
            self._next_event = run.events
            self._tries = 0
            self._after_latency(self._deliver, rendered)
        if run.state is RunState.FINISHED:
            self._after_latency(self._succeed, run)
        elif run.ended:
            self._after_latency(self._fail, "cancelled by the engine", Ran.YES)

    def run_broken(self, run: EngineRun) -> None:
        """Try again after a while."""
        if self._run is run:
            self._run = None
        self._resume_later()

    def _open(self) -> None:
        if self.finished.called:
            return
        host = self._find_host()
        verdict = host.transport.before_effect() if host else Verdict.DOWN
        if host is None or verdict is Verdict.DOWN:
            self._after_latency(self._fail, verdict.value, Ran.NO)
            return
        if verdict is Verdict.REFUSE:
            refusal = EngineRefusal(RefusalCode.UNAVAILABLE, verdict.value, 1.0)
            self._after_latency(self._refuse, refusal)
            return
        self._maybe_accepted = True
        if verdict is Verdict.HANG:
            self._resume_later()
            return
        submitted = host.model.submit(self._request)
        if isinstance(submitted, Err):
            self._after_latency(self._refuse, submitted.err_value)
        elif host.transport.loses_answer():
            host.model.detach(submitted.ok_value, self)
            self._resume_later()
        else:
            self._read(host, submitted.ok_value)

    def _read(self, host: EngineHost, run: EngineRun) -> None:
        self._run = run
        self._was_accepted = True
        if not run.ended:
            host.model.attach(run, self)
        self.run_progressed(run)

    def _resume_later(self) -> None:
        if self.finished.called:
            return
        if self._tries >= len(RESUME_DELAYS):
            self._fail("given up", self._ran())
            return
        delay = RESUME_DELAYS[self._tries]
        self._tries += 1
        self._way.clock.callLater(delay, self._resume_now)

    def _resume_now(self) -> None:
        if self.finished.called:
            return
        host = self._find_host()
        if host is None or host.transport.before_effect() is not Verdict.PROCEED:
            self._resume_later()
            return
        run = host.model.find(self._request.request_id)
        if run is None:
            self._fail("the engine does not know it", self._ran())
            return
        self._read(host, run)

    def _render(self, run: EngineRun) -> bytes:
        if self._way.renders_tokens:
            return render_events(run, self._next_event, run.events)
        return PROGRESS_COMMENT

    def _deliver(self, rendered: bytes) -> None:
        if not self.finished.called:
            self._on_bytes(rendered)

    def _succeed(self, run: EngineRun) -> None:
        if self.finished.called:
            return
        answer = run.answer
        calls = None
        if answer.tool_call is not None:
            calls = msgspec.Raw(msgspec.json.encode([answer.tool_call]))
        end = StreamEnd(answer.content, calls, answer.finish_reason, run.usage)
        self.finished.callback(Ok(end))

    def _ran(self) -> Ran:
        if self._was_accepted:
            return Ran.YES
        return Ran.UNKNOWN if self._maybe_accepted else Ran.NO

    def _refuse(self, refusal: EngineRefusal) -> None:
        if self.finished.called:
            return
        self.finished.callback(
            Err(problem_of_refusal(refusal, ProblemCode.ENGINE_FAILED, "engine"))
        )

    def _fail(self, message: str, ran: Ran) -> None:
        if self.finished.called:
            return
        problem = Problem.of(
            ProblemCode.ENGINE_FAILED,
            f"engine: {message}",
            ran=ran,
            retry_after=1.0 if ran is Ran.NO else None,
        )
        self.finished.callback(Err(problem))

    def _after_latency(self, call: Callable[..., object], *arguments: object) -> None:
        if self._way.latency_seconds > 0:
            self._way.clock.callLater(self._way.latency_seconds, call, *arguments)
        else:
            call(*arguments)
