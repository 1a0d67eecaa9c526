"""Finds out whether an engine's process ended with a run that broke."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from notcharch.calls.end_check import (
    CheckSender,
    EndCheck,
    EndQuestion,
    EndVerdict,
    InstanceQuestion,
    ProcessQuestion,
)
from notcharch.calls.interface import Engine, EngineDialect

EXAMINATION_SECONDS = 0.15
"""Longest wait for the engine's answer. The host of a process that ended refuses a
connection within a round trip."""


class EngineExamination:
    """Asks an engine whether its process runs."""

    def __init__(
        self,
        clock: IReactorTime,
        sender: CheckSender,
        dialect: EngineDialect,
        *,
        health_path: Callable[[str], str],
    ) -> None:
        """Ask with `sender`; silence tells nothing.

        `health_path` returns where engines of a service tell their ids; empty if they
        don't.
        """
        self._clock = clock
        self._sender = sender
        self._dialect = dialect
        self._health_path = health_path

    def examine(self, engine: Engine, then: Callable[[bool], None]) -> None:
        """Call `then` once with whether the engine's process has certainly ended."""

        def decided(verdict: EndVerdict) -> None:
            then(verdict is EndVerdict.GONE)

        EndCheck(
            self._clock,
            self._sender,
            engine,
            self._question(engine),
            seconds=EXAMINATION_SECONDS,
            then=decided,
        ).start()

    def _question(self, engine: Engine) -> EndQuestion:
        """Ask for the id, unless an engine starts again under it."""
        health_path = self._health_path(engine.service)
        if engine.started_ms is None and health_path:
            return InstanceQuestion(self._dialect, engine, health_path)
        return ProcessQuestion(self._dialect, engine.started_ms)
