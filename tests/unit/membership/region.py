"""A region of daemons with membership, on the memory fabric."""

from random import Random

from twisted.internet.task import Clock

from notcharch.membership.service import MembershipService
from notcharch.membership.swim import Swim
from notcharch.platform.ports import (
    Machine,
    MachineChanges,
    MachineKind,
    MachineState,
)
from notcharch.settings.schema import MembershipSection
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    Member,
    RegionName,
    ZoneName,
)
from notcharch.wire.memory import MemoryFabric
from notcharch.wire.memory_time import run_for
from notcharch.wire.messages.membership import MemberRecord

REGION = RegionName("region1")
ZONES = ("zone-a", "zone-b", "zone-c")


def daemon_name(index: int) -> DaemonName:
    return DaemonName(f"daemon-{index}")


class Region:
    """Daemons 0 … count-1 over three zones, told of one another by the list."""

    def __init__(
        self,
        count: int,
        seed: int = 1,
        encode: bool = False,
        settings: MembershipSection | None = None,
    ) -> None:
        self.clock = Clock()
        self.random = Random(seed)
        self.settings = settings or MembershipSection()
        self.fabric = MemoryFabric(self.clock, self.random, encode=encode)
        self.services: dict[DaemonName, MembershipService] = {}
        self.next_incarnation = 1000
        for index in range(count):
            zone = ZoneName(ZONES[index % len(ZONES)])
            self.start(daemon_name(index), zone)
        self.publish()

    def start(self, name: DaemonName, zone: ZoneName) -> MembershipService:
        self.next_incarnation += 1
        member = Member(name, Incarnation(self.next_incarnation))
        daemon = self.fabric.join(member, zone)
        record = MemberRecord(member, zone, daemon.address)
        random = Random(self.random.random())
        swim = Swim(REGION, record, self.settings, random)
        service = MembershipService(
            swim, daemon.clock, daemon.datagrams, daemon.network
        )
        self.services[name] = service
        service.start()
        return service

    def restart(self, name: DaemonName) -> MembershipService:
        return self.start(name, self.fabric.daemon(name).zone)

    def crash(self, name: DaemonName) -> None:
        self.fabric.crash(name, silent=True)
        del self.services[name]

    def machine(
        self, name: DaemonName, state: MachineState = MachineState.LIVE
    ) -> Machine:
        daemon = self.fabric.daemon(name)
        return Machine(
            name, MachineKind.DAEMON, REGION, daemon.zone, daemon.address, state
        )

    def publish(self, *machines: Machine) -> None:
        """Give the list's changes, or the whole list, to every running daemon."""
        full = not machines
        listed = machines or tuple(self.machine(name) for name in self.services)
        for service in self.services.values():
            service.apply_machines(MachineChanges(1, full, listed))

    def run(self, seconds: float) -> None:
        run_for(self.clock, seconds)

    def view(self, name: DaemonName) -> set[DaemonName]:
        live = self.services[name].live_members()
        return {entry.member.daemon for entry in live}

    def converged(self) -> bool:
        everyone = set(self.services)
        return all(self.view(name) == everyone for name in self.services)
