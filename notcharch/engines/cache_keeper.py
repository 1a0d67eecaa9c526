"""Follows one engine's cache and frees the memory of programs that ended."""

import random
from collections.abc import Awaitable, Callable

from result import Result
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import EnginePort
from notcharch.engines.cache_map import CacheMap
from notcharch.engines.periodic import PeriodicTask
from notcharch.engines.releases import PendingReleases, Release
from notcharch.errors import Problem, ProblemCode
from notcharch.events.engines import CacheEventsLost, PrefixesSwept, ReleaseFenced
from notcharch.events.event import emit
from notcharch.placement.interface import Router
from notcharch.placement.partitions import partition_of_program
from notcharch.scheduling.retry import RetryPolicy
from notcharch.settings.schema import EnginesSection
from notcharch.values.identifiers import EngineName, PartitionNumber, ProgramId
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.programs import CheckProgramsLive, ProgramsNotLive

EVENTS_PER_READ = 1000
RELEASES_AT_ONCE = 32
RELEASE_SECONDS = 0.5
PROGRAMS_PER_CHECK = 200
REQUEST_SECONDS = 5.0
SWEEPS_PER_RECONCILIATION = 6
"""Every so many sweeps the engine's own list is read even without a gap."""


class CacheKeeper:
    """Cache events, reconciliation, sweep and release of one engine."""

    def __init__(
        self,
        *,
        engine: EngineName,
        address: str,
        router: Router,
        engine_port: EnginePort,
        clock: IReactorTime,
        chance: random.Random,
        settings: EnginesSection,
    ) -> None:
        """Prepare; `start` begins to poll."""
        self._engine = engine
        self.address = address
        self._router = router
        self._port = engine_port
        self._clock = clock
        self._map = CacheMap()
        self._releases = PendingReleases(RetryPolicy(), chance)
        self._sweeps = 0
        self._tasks = (
            self._periodic("cache", self._read_events, settings.cache_poll_seconds),
            self._periodic("sweep", self._sweep, settings.sweep_seconds),
            self._periodic("release", self._release_due, RELEASE_SECONDS),
        )

    def start(self) -> None:
        """Begin to poll."""
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stop polling."""
        for task in self._tasks:
            task.stop()

    def tokens(self, program: ProgramId) -> int:
        """Give how many tokens of a program the engine is believed to hold."""
        return self._map.tokens(program)

    def note_held(self, program: ProgramId, tokens: int) -> None:
        """Learn from a finished call what the engine now holds."""
        self._map.set_tokens(program, tokens)

    async def release(self, release: Release) -> Problem | None:
        """Release now; None when confirmed. Otherwise it is tried again later."""
        self._releases.add(release, self._clock.seconds())
        return await self._try_release(release)

    def _periodic(
        self, name: str, task: Callable[[], Awaitable[None]], seconds: float
    ) -> PeriodicTask:
        return PeriodicTask(f"{name} of {self._engine}", task, seconds, self._clock)

    async def _read_events(self) -> None:
        while True:
            outcome = await self._port.cache_events(
                self.address, self._map.next_sequence, EVENTS_PER_READ
            )
            if outcome.is_err():
                return
            page = outcome.unwrap()
            learnt = self._map.learn_events(page)
            if learnt.lost_events or learnt.restarted:
                emit(
                    CacheEventsLost(self._engine, learnt.lost_events, learnt.restarted)
                )
            if len(page.events) < EVENTS_PER_READ:
                break
        if self._map.doubtful:
            await self._reconcile()

    async def _reconcile(self) -> None:
        outcome = await self._port.cached_programs(self.address)
        if outcome.is_ok():
            self._map.reconcile(outcome.unwrap())

    async def _sweep(self) -> None:
        """Ask the leaders which cached programs are not live, and release those."""
        self._sweeps += 1
        if self._sweeps % SWEEPS_PER_RECONCILIATION == 0:
            await self._reconcile()
        for partition, programs in self._by_partition().items():
            for start in range(0, len(programs), PROGRAMS_PER_CHECK):
                some = tuple(programs[start : start + PROGRAMS_PER_CHECK])
                await self._check(partition, some)

    def _by_partition(self) -> dict[PartitionNumber, list[ProgramId]]:
        grouped: dict[PartitionNumber, list[ProgramId]] = {}
        for program in self._map.programs():
            partition = partition_of_program(program)
            if partition is not None and program not in self._releases:
                grouped.setdefault(partition, []).append(program)
        return grouped

    async def _check(
        self, partition: PartitionNumber, programs: tuple[ProgramId, ...]
    ) -> None:
        outcome: Result[Message, Problem] = await self._router.to_partition(
            partition, CheckProgramsLive(programs), REQUEST_SECONDS
        )
        answer = outcome.unwrap_or(None)
        if not isinstance(answer, ProgramsNotLive) or not answer.programs:
            return
        emit(PrefixesSwept(self._engine, len(answer.programs)))
        now = self._clock.seconds()
        for program in answer.programs:
            self._releases.add(Release(program, answer.epoch), now)
        await self._release_due()

    async def _release_due(self) -> None:
        now = self._clock.seconds()
        for release in self._releases.due(now, RELEASES_AT_ONCE):
            await self._try_release(release)

    async def _try_release(self, release: Release) -> Problem | None:
        outcome = await self._port.release(self.address, release.program, release.epoch)
        if outcome.is_ok():
            self._releases.confirmed(release)
            self._map.set_tokens(release.program, 0)
            return None
        problem = outcome.unwrap_err()
        if problem.is_code(ProblemCode.STALE_EPOCH):
            self._releases.fenced(release)
            emit(ReleaseFenced(self._engine, release.program, release.epoch))
        else:
            self._releases.failed(release, self._clock.seconds())
        return problem
