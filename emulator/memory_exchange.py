"""One request and its reply in the same process, under a target's faults."""

from collections.abc import Callable
from typing import TypeVar

import attrs
import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from emulator.engine.refusals import EngineRefusal
from emulator.faults import TransportFaults, Verdict
from notcharch.clients.failures import ErrorBody, ErrorReply, problem_of_reply
from notcharch.errors import Problem, ProblemCode, Ran

Value = TypeVar("Value")
Outcome = Result[Value, EngineRefusal] | Deferred[Result[Value, EngineRefusal]]
Effect = Callable[[], Outcome[Value]]

RETRY_AFTER_SECONDS = 1.0


@attrs.frozen
class MemoryWay:
    """How exchanges travel: seconds one way, and the client's time-out in seconds.

    Without `renders_tokens`, a stream gives one comment line of server-sent events
    for each piece of progress in place of its tokens, which is faster to simulate;
    its result is the same.
    """

    clock: IReactorTime
    latency_seconds: float = 0.0
    timeout_seconds: float = 10.0
    renders_tokens: bool = True


class MemoryExchange:
    """One request and its reply under a target's faults."""

    def __init__(
        self, way: MemoryWay, faults: TransportFaults, code: ProblemCode, where: str
    ) -> None:
        """Meet `faults`; failures are problems of `code` at `where`."""
        self._way = way
        self._faults = faults
        self._code = code
        self._where = where

    def call(
        self, effect: Effect[Value], extra_seconds: float = 0.0
    ) -> "Deferred[Result[Value, Problem]]":
        """Carry out an effect at the target and bring its reply back."""
        reply: Deferred[Result[Value, Problem]] = Deferred()
        timeout = self._way.timeout_seconds + extra_seconds
        self._after(self._way.latency_seconds, self._arrive, effect, reply, timeout)
        return reply

    def _arrive(
        self,
        effect: Effect[Value],
        reply: "Deferred[Result[Value, Problem]]",
        timeout: float,
    ) -> None:
        verdict = self._faults.before_effect()
        if verdict is Verdict.PROCEED:
            outcome = effect()
            if isinstance(outcome, Deferred):
                outcome.addCallback(self._send_back, reply, timeout)
            else:
                self._send_back(outcome, reply, timeout)
        elif verdict is Verdict.HANG:
            self._after(timeout, reply.callback, Err(self._timed_out()))
        else:
            self._after(
                self._way.latency_seconds,
                reply.callback,
                Err(self._refused(verdict)),
            )

    def _send_back(
        self,
        result: "Result[Value, EngineRefusal]",
        reply: "Deferred[Result[Value, Problem]]",
        timeout: float,
    ) -> None:
        if isinstance(result, Ok) and self._faults.loses_answer():
            self._after(
                self._way.latency_seconds, reply.callback, Err(self._answer_lost())
            )
            return
        if self._faults.slow_seconds >= timeout:
            self._after(timeout, reply.callback, Err(self._timed_out()))
            return
        wait = self._way.latency_seconds + self._faults.slow_seconds
        self._after(wait, reply.callback, result.map_err(self._problem))

    def _after(
        self, seconds: float, call: Callable[..., object], *arguments: object
    ) -> None:
        if seconds > 0:
            self._way.clock.callLater(seconds, call, *arguments)
        else:
            call(*arguments)

    def _problem(self, refusal: EngineRefusal) -> Problem:
        return problem_of_refusal(refusal, self._code, self._where)

    def _timed_out(self) -> Problem:
        return Problem.of(
            ProblemCode.TIMED_OUT,
            f"{self._where}: no answer",
            ran=Ran.UNKNOWN,
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _answer_lost(self) -> Problem:
        return Problem.of(
            self._code,
            f"{self._where}: connection lost",
            ran=Ran.UNKNOWN,
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _refused(self, verdict: Verdict) -> Problem:
        retry_after = self._faults.down_seconds or RETRY_AFTER_SECONDS
        code = self._code if verdict is Verdict.DOWN else ProblemCode.UNAVAILABLE
        return Problem.of(
            code,
            f"{self._where}: {verdict.value}",
            ran=Ran.NO,
            retry_after=retry_after,
        )


def problem_of_refusal(
    refusal: EngineRefusal, code: ProblemCode, where: str
) -> Problem:
    """Give the problem that the HTTP client makes of the same refusal."""
    body = ErrorBody(refusal.code.slug, refusal.message, refusal.retry_after)
    encoded = msgspec.json.encode(ErrorReply(body))
    return problem_of_reply(refusal.code.http_status, encoded, code, where)
