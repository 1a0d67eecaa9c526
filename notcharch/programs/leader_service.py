"""Serves the programs of the partitions that a daemon leads.

Registers the request handlers and runs the periodic work: abandoned attempts, expiry,
release of engine memory, and paging. All of it is derived from the replicated state,
so a new leader continues it.
"""

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from notcharch.clients.ports import LogPort
from notcharch.events.event import emit
from notcharch.events.programs import SweepFailed
from notcharch.partitions.interface import PartitionHost
from notcharch.placement.interface import EngineDirectory, MembershipView, Router
from notcharch.placement.partitions import partition_of_program
from notcharch.programs.attempt_watch import AttemptWatch, WatchLimits
from notcharch.programs.call_handlers import CallHandlers
from notcharch.programs.changes import ProgramChanges
from notcharch.programs.history_reader import HistoryReader
from notcharch.programs.led_programs import LedPrograms, ProgramsOf
from notcharch.programs.maintenance_service import MaintenanceService
from notcharch.programs.page_log import PageLog
from notcharch.programs.paging_service import PagingService
from notcharch.programs.program_handlers import ProgramHandlers
from notcharch.programs.release_service import ReleaseService
from notcharch.settings.schema import ProgramsSection
from notcharch.table.interface import TableView
from notcharch.values.identifiers import Epoch, PartitionNumber, RegionName
from notcharch.wire.peers import PeerNetwork


class ProgramLeaderService:
    """Serves the programs of the led partitions."""

    def __init__(
        self,
        *,
        network: PeerNetwork,
        partitions: PartitionHost,
        programs_of: ProgramsOf,
        table: TableView,
        membership: MembershipView,
        router: Router,
        directory: EngineDirectory,
        log: LogPort,
        clock: IReactorTime,
        region: RegionName,
        settings: ProgramsSection,
    ) -> None:
        """Register the handlers; `start` begins the periodic work.

        `programs_of` returns the `ProgramsState` of a partition replicated here, or
        None. `clock` counts seconds since 1970.
        """
        now = clock.seconds
        self._changes = ProgramChanges(clock)
        led = LedPrograms(partitions, programs_of, now)
        self._led = led
        pages = PageLog(log, clock, region)
        histories = HistoryReader(led, pages)
        calls = CallHandlers(
            led,
            self._changes,
            table,
            histories,
            now=now,
            early_wait_seconds=settings.early_wait_seconds,
        )
        calls.register(network)
        ProgramHandlers(led, self._changes, table, histories, now).register(network)
        limits = WatchLimits(settings.gateway_dead_seconds, settings.attempt_seconds)
        self._maintenance = MaintenanceService(
            led=led,
            changes=self._changes,
            table=table,
            membership=membership,
            watch=AttemptWatch(limits),
            retention_seconds=settings.retention_seconds,
            now=now,
        )
        self._releases = ReleaseService(led, partitions, router, directory, now)
        self._paging = PagingService(led, pages, now, settings.history_bytes)
        self._sweep_seconds = settings.sweep_seconds
        self._loop = LoopingCall(self._step)
        self._loop.clock = clock
        partitions.on_leadership(self._on_leadership)

    def start(self) -> None:
        """Begin the periodic work."""
        self._loop.start(self._sweep_seconds, now=False)

    def stop(self) -> None:
        """End the periodic work."""
        if self._loop.running:
            self._loop.stop()

    def _step(self) -> None:
        for step in (self._maintenance.step, self._releases.step, self._paging.step):
            try:
                step()
            except Exception as error:
                # A bug in one step must not stop the periodic work.
                emit(SweepFailed(repr(error)))

    def _on_leadership(self, partition: PartitionNumber, epoch: Epoch | None) -> None:
        if epoch is not None:
            return
        for program in self._changes.programs():
            if partition_of_program(program) == partition:
                # The woken requests fail with NOT_LEADER and go to the new leader.
                self._changes.notify(program)
