"""Tracks one engine's cache and releases the prefixes of ended programs."""

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

MAX_EVENTS_PER_READ = 1000
MAX_RELEASES_PER_BATCH = 32
RELEASE_INTERVAL_SECONDS = 0.5
MAX_PROGRAMS_PER_CHECK = 200
REQUEST_TIMEOUT_SECONDS = 5.0
SWEEPS_PER_RECONCILIATION = 6
"""Number of sweeps between reconciliations that need no gap in the events."""


class CacheTracker:
    """Reads cache events, reconciles, sweeps and releases for one engine."""

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
        """Create the tracker; `start` begins to poll."""
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
            self._periodic("release", self._release_due, RELEASE_INTERVAL_SECONDS),
        )

    def start(self) -> None:
        """Start polling."""
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stop polling."""
        for task in self._tasks:
            task.stop()

    def tokens(self, program: ProgramId) -> int:
        """Return the number of a program's tokens that are probably cached."""
        return self._map.tokens(program)

    def record_cached_tokens(self, program: ProgramId, tokens: int) -> None:
        """Record the tokens that the engine has cached after a call."""
        self._map.set_tokens(program, tokens)

    async def release(self, release: Release) -> Problem | None:
        """Release a prefix; None if confirmed, else it is retried in background."""
        self._releases.add(release, self._clock.seconds())
        return await self._try_release(release)

    def _periodic(
        self, name: str, task: Callable[[], Awaitable[None]], seconds: float
    ) -> PeriodicTask:
        return PeriodicTask(f"{name} of {self._engine}", task, seconds, self._clock)

    async def _read_events(self) -> None:
        while True:
            outcome = await self._port.cache_events(
                self.address, self._map.next_sequence, MAX_EVENTS_PER_READ
            )
            if outcome.is_err():
                return
            page = outcome.unwrap()
            page_result = self._map.learn_events(page)
            if page_result.missed_events or page_result.restarted:
                emit(
                    CacheEventsLost(
                        self._engine, page_result.missed_events, page_result.restarted
                    )
                )
            if len(page.events) < MAX_EVENTS_PER_READ:
                break
        if self._map.is_stale:
            await self._reconcile()

    async def _reconcile(self) -> None:
        outcome = await self._port.cached_programs(self.address)
        if outcome.is_ok():
            self._map.reconcile(outcome.unwrap())

    async def _sweep(self) -> None:
        """Release the cached programs that are no longer live at their leaders."""
        self._sweeps += 1
        if self._sweeps % SWEEPS_PER_RECONCILIATION == 0:
            await self._reconcile()
        for partition, programs in self._programs_by_partition().items():
            for start in range(0, len(programs), MAX_PROGRAMS_PER_CHECK):
                batch = tuple(programs[start : start + MAX_PROGRAMS_PER_CHECK])
                await self._release_ended_programs(partition, batch)

    def _programs_by_partition(self) -> dict[PartitionNumber, list[ProgramId]]:
        grouped: dict[PartitionNumber, list[ProgramId]] = {}
        for program in self._map.programs():
            partition = partition_of_program(program)
            if partition is not None and program not in self._releases:
                grouped.setdefault(partition, []).append(program)
        return grouped

    async def _release_ended_programs(
        self, partition: PartitionNumber, programs: tuple[ProgramId, ...]
    ) -> None:
        outcome: Result[Message, Problem] = await self._router.to_partition(
            partition, CheckProgramsLive(programs), REQUEST_TIMEOUT_SECONDS
        )
        reply = outcome.unwrap_or(None)
        if not isinstance(reply, ProgramsNotLive) or not reply.programs:
            return
        emit(PrefixesSwept(self._engine, len(reply.programs)))
        now = self._clock.seconds()
        for program in reply.programs:
            self._releases.add(Release(program, reply.epoch), now)
        await self._release_due()

    async def _release_due(self) -> None:
        now = self._clock.seconds()
        for release in self._releases.due(now, MAX_RELEASES_PER_BATCH):
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
