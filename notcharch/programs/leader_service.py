"""The service of a daemon for the partitions of programs that it leads.

It registers the handlers on the network and drives, once a second, what no request
drives: lost gateways, idle and old programs, and the release of engine memory. All
of that is read from the replicated state, so that a new leader goes on with it.
"""

from twisted.internet.interfaces import IReactorTime

from notcharch.placement.interface import EngineDirectory, MembershipView, Router
from notcharch.placement.partitions import partition_of_program
from notcharch.programs.call_handlers import CallHandlers
from notcharch.programs.changes import ProgramChanges
from notcharch.programs.led_programs import LedPrograms, ProgramsOf
from notcharch.programs.program_handlers import ProgramHandlers
from notcharch.replication.interface import PartitionReplicas
from notcharch.settings.schema import ProgramsSection
from notcharch.table.interface import TableView
from notcharch.values.identifiers import Epoch, PartitionNumber, ProgramId
from notcharch.wire.peers import PeerNetwork


class ProgramLeaderService:
    """Serves the programs of the led partitions."""

    def __init__(
        self,
        *,
        network: PeerNetwork,
        replicas: PartitionReplicas,
        programs_of: ProgramsOf,
        table: TableView,
        membership: MembershipView,
        router: Router,
        directory: EngineDirectory,
        clock: IReactorTime,
        settings: ProgramsSection,
    ) -> None:
        """Register the handlers; `start` begins the periodic work.

        `programs_of` gives the `ProgramsState` of a partition replicated here, or
        None. `clock` gives seconds since 1970.
        """
        self._changes = ProgramChanges(clock)
        now = clock.seconds
        self._led = LedPrograms(replicas, programs_of, now)
        calls = CallHandlers(
            self._led, self._changes, table, now, settings.early_wait_seconds
        )
        calls.register(network)
        programs = ProgramHandlers(self._led, self._changes, table, now, self._on_ended)
        programs.register(network)
        replicas.on_leadership(self._on_leadership)

    def start(self) -> None:
        """Begin the periodic work."""

    def stop(self) -> None:
        """End the periodic work."""

    def _on_ended(self, program: ProgramId) -> None:
        pass

    def _on_leadership(self, partition: PartitionNumber, epoch: Epoch | None) -> None:
        if epoch is not None:
            return
        for program in self._changes.programs():
            if partition_of_program(program) == partition:
                # They look again, and are told to ask the new leader.
                self._changes.notify(program)
