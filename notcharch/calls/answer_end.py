"""Whether the answer of one run is whole that ended with its connection."""

from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.call_log import CallLog
from notcharch.calls.end_check import (
    CHECK_SECONDS,
    CheckSender,
    EndCheck,
    EndQuestion,
    EndVerdict,
    ProcessQuestion,
    ResumptionQuestion,
    check_seconds,
)
from notcharch.calls.interface import Engine, EngineDialect, OpaqueCall


class ResumableCall(msgspec.Struct, frozen=True):
    """A call whose engine may be asked for what follows the last event."""

    call: OpaqueCall
    """With the id of the last event."""
    body: bytes


class AnswerEnd:
    """Asks the engine of one run about the end of its answer."""

    def __init__(
        self,
        clock: IReactorTime,
        sender: CheckSender,
        dialect: EngineDialect,
        engine: Engine,
        log: CallLog,
    ) -> None:
        """Ask nothing before the head of an unframed answer."""
        self._clock = clock
        self._sender = sender
        self._dialect = dialect
        self._engine = engine
        self._log = log
        self._start_question: ProcessQuestion | None = None
        self._start_check: EndCheck | None = None
        self._end_check: EndCheck | None = None

    @property
    def is_checked(self) -> bool:
        """Whether the answer has ended, and its end is or was checked."""
        return self._end_check is not None

    def begin(self) -> None:
        """Ask the process that begins an unframed answer when it started.

        It may be another one than that of the engine's entry. Where each start has an id of
        its own, nothing is asked.
        """
        if self._engine.started_ms is None:
            return
        self._start_question = ProcessQuestion(self._dialect)
        self._start_check = self._check(
            self._start_question, CHECK_SECONDS, lambda _: None
        )
        self._start_check.start()

    def check(
        self,
        resumable: ResumableCall | None,
        deadline: float,
        then: Callable[[EndVerdict], None],
    ) -> None:
        """Ask whether the answer is whole; `then` is called once unless it is stopped.

        `resumable` is None if the engine must not get the call again. `deadline` is that of
        the call, in clock seconds.
        """
        asked_at = self._clock.seconds()
        seconds = check_seconds(deadline - asked_at)
        question = self._question(resumable, seconds)

        def answered(verdict: EndVerdict) -> None:
            taken = self._clock.seconds() - asked_at
            self._log.end_checked(question.name, verdict.value, taken)
            then(verdict)

        self._end_check = self._check(question, seconds, answered)
        self._end_check.start()

    def _question(self, resumable: ResumableCall | None, seconds: float) -> EndQuestion:
        if resumable is not None:
            return ResumptionQuestion(
                self._dialect, self._engine, resumable.call, resumable.body, seconds
            )
        start = self._start_question
        known_started_ms = None if start is None else start.started_ms
        return ProcessQuestion(self._dialect, known_started_ms)

    def _check(
        self,
        question: EndQuestion,
        seconds: float,
        then: Callable[[EndVerdict], None],
    ) -> EndCheck:
        return EndCheck(
            self._clock,
            self._sender,
            self._engine,
            question,
            seconds=seconds,
            then=then,
        )

    def stop(self) -> None:
        """End the checks that are under way, without a verdict."""
        for check in (self._start_check, self._end_check):
            if check is not None:
                check.stop()
