"""Moves a program's cached prefix from one engine to another, within a timeout.

If a move fails or times out, the target computes the prefix itself. After a
successful move the source's copy is released.
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

MOVE_TIMEOUT_FACTOR = 2.0
"""Timeout as a multiple of the expected duration, plus one second."""

RATE_SMOOTHING = 0.2


class PrefixMover:
    """Exports, imports and releases prefixes; learns the transfer rate."""

    def __init__(
        self,
        directory: EngineDirectory,
        engine_port: EnginePort,
        clock: IReactorTime,
        tokens_per_second: float,
    ) -> None:
        """Start with an expected rate of export plus import; 0 disables moves."""
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
        """Move a prefix; False if the target must compute it."""
        from_machine = self._directory.engine(source)
        to_machine = self._directory.engine(target)
        if from_machine is None or to_machine is None:
            return False
        started_at = self._clock.seconds()
        timeout_seconds = 1.0 + MOVE_TIMEOUT_FACTOR * tokens / max(
            self.tokens_per_second, 1.0
        )
        copy = Deferred.fromCoroutine(
            self._copy(program, from_machine.address, to_machine.address)
        )
        copy.addTimeout(timeout_seconds, self._clock)
        try:
            moved_tokens = await copy
        except DeferredTimeoutError:
            moved_tokens = 0
        seconds = self._clock.seconds() - started_at
        self._update_rate(tokens, seconds)
        if moved_tokens == 0:
            emit(PrefixNotMoved(program, source, target, seconds))
            return False
        emit(PrefixMoved(program, source, target, moved_tokens, seconds))
        # Not awaited: if the release fails, the source evicts the prefix later.
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

    def _update_rate(self, tokens: int, seconds: float) -> None:
        """Update the moving average, so that slow and failed moves lower it."""
        rate = tokens / max(seconds, 0.001)
        self.tokens_per_second += RATE_SMOOTHING * (rate - self.tokens_per_second)
