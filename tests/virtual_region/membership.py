"""A region of daemons with membership alone, on the memory fabric.

Used by the measurement of membership's cost and by the tests of whole regions.
"""

from random import Random

from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from emulator.peers.time import run_for
from notcharch.clients.ports import (
    Machine,
    MachineChanges,
    MachineKind,
    MachineState,
)
from notcharch.membership.service import MembershipService
from notcharch.membership.swim import Swim
from notcharch.settings.schema import MembershipSection
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    Member,
    RegionName,
    ZoneName,
)
from notcharch.wire.messages.membership import MemberRecord

REGION = RegionName("region1")
ZONES = (ZoneName("zone-a"), ZoneName("zone-b"), ZoneName("zone-c"))
FIRST_INCARNATION = 1_760_000_000_000


def daemon_name(index: int) -> DaemonName:
    """Give the name of the daemon of a number from 0 on."""
    return DaemonName(f"daemon-{index}")


class MembershipRegion:
    """Daemons over three zones; each knows the machine list from its start."""

    def __init__(
        self,
        count: int,
        seed: int = 1,
        *,
        encode: bool = False,
        settings: MembershipSection | None = None,
    ) -> None:
        """Start `count` daemons at once."""
        self.clock = Clock()
        self.random = Random(seed)
        self.settings = settings or MembershipSection()
        self.fabric = MemoryFabric(self.clock, self.random, encode=encode)
        self.services: dict[DaemonName, MembershipService] = {}
        """The running daemons."""

        self._listed: dict[DaemonName, Machine] = {}
        self._incarnations = FIRST_INCARNATION
        for index in range(count):
            self.start(daemon_name(index), ZONES[index % len(ZONES)])

    def start(self, name: DaemonName, zone: ZoneName) -> MembershipService:
        """Start a process; an earlier one of the daemon ends."""
        self._incarnations += 1
        member = Member(name, Incarnation(self._incarnations))
        daemon = self.fabric.join(member, zone)
        record = MemberRecord(member, zone, daemon.address)
        swim = Swim(REGION, record, self.settings, Random(self.random.random()))
        service = MembershipService(
            swim, daemon.clock, daemon.datagrams, daemon.network
        )
        self.services[name] = service
        service.start()
        service.apply_machines(MachineChanges(1, True, tuple(self._listed.values())))
        self.list_machine(name)
        return service

    def restart(self, name: DaemonName) -> MembershipService:
        """Start a new process of a daemon, ending one that still runs."""
        return self.start(name, self.fabric.daemon(name).zone)

    def crash(self, name: DaemonName) -> None:
        """End a process without a word."""
        self.fabric.crash(name, silent=True)
        self.services.pop(name, None)

    def list_machine(
        self, name: DaemonName, state: MachineState = MachineState.LIVE
    ) -> None:
        """Let the machine list say a daemon's state to every running daemon."""
        daemon = self.fabric.daemon(name)
        machine = Machine(
            name, MachineKind.DAEMON, REGION, daemon.zone, daemon.address, state
        )
        self._listed[name] = machine
        for service in self.services.values():
            service.apply_machines(MachineChanges(1, False, (machine,)))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        run_for(self.clock, seconds)

    def view(self, name: DaemonName) -> set[DaemonName]:
        """Give the names that a daemon believes alive."""
        live = self.services[name].live_members()
        return {entry.member.daemon for entry in live}

    def differing(self) -> list[DaemonName]:
        """Give the running daemons whose views are not exactly the running ones."""
        running = {self.fabric.daemon(name).member for name in self.services}
        return [
            name
            for name, service in self.services.items()
            if {entry.member for entry in service.live_members()} != running
        ]
