"""Moves a program's cached prefix from one engine to another, if that is quick.

A move that fails or takes too long costs only time: the target then computes the
prefix itself. Once it has arrived, the source's copy is released, since the
program's next call will not come there.
"""

from result import Result
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import EnginePort
from notcharch.errors import Problem
from notcharch.events.engines import PrefixMoved, PrefixNotMoved
from notcharch.events.event import emit
from notcharch.placement.interface import EngineDirectory
from notcharch.values.identifiers import EngineName, Epoch, ProgramId

PATIENCE = 2.0
"""A move may take this many times its expected time, plus one second."""

RATE_WEIGHT = 0.2


class PrefixMover:
    """Export, import and release, with a rate learnt from earlier moves."""

    def __init__(
        self,
        directory: EngineDirectory,
        engine_port: EnginePort,
        clock: IReactorTime,
        tokens_per_second: float,
    ) -> None:
        """Begin with an expected rate of export and import together; 0 for never."""
        self._directory = directory
        self._port = engine_port
        self._clock = clock
        self.tokens_per_second = tokens_per_second

    async def move(
        self,
        program: ProgramId,
        epoch: Epoch,
        tokens: int,
        source: EngineName,
        target: EngineName,
    ) -> bool:
        """Move a prefix; False if the target has to compute it."""
        from_machine = self._directory.engine(source)
        to_machine = self._directory.engine(target)
        if from_machine is None or to_machine is None:
            return False
        began_at = self._clock.seconds()
        limit = 1.0 + PATIENCE * tokens / max(self.tokens_per_second, 1.0)
        copying = Deferred.fromCoroutine(
            self._copy(program, from_machine.address, to_machine.address)
        )
        copying.addTimeout(limit, self._clock)
        try:
            moved = await copying
        except DeferredTimeoutError:
            moved = 0
        seconds = self._clock.seconds() - began_at
        self._learn(tokens, seconds)
        if moved == 0:
            emit(PrefixNotMoved(program, source, target, seconds))
            return False
        emit(PrefixMoved(program, source, target, moved, seconds))
        # Not awaited: whether the source forgets it now or by eviction matters little.
        self._port.release(from_machine.address, program, epoch)
        return True

    async def _copy(self, program: ProgramId, source: str, target: str) -> int:
        exported = await self._port.export_cache(source, program)
        if exported.is_err():
            return 0
        imported: Result[int, Problem] = await self._port.import_cache(
            target, program, source, exported.unwrap().handle
        )
        return imported.unwrap_or(0)

    def _learn(self, tokens: int, seconds: float) -> None:
        """Let slow and failed moves make later ones less attractive."""
        rate = tokens / max(seconds, 0.001)
        self.tokens_per_second += RATE_WEIGHT * (rate - self.tokens_per_second)
