"""A region of daemons with replication only, over the memory transport."""

import random

import msgspec
from result import Result
from twisted.internet.task import Clock

from notcharch.placement.assignment import Assignment
from notcharch.placement.interface import LiveMember
from notcharch.replication.replica import Replica
from notcharch.replication.service import ReplicationService
from notcharch.settings.schema import ReplicationSection
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    Member,
    PartitionNumber,
    RegionName,
    ZoneName,
)
from notcharch.wire.memory import MemoryFabric
from notcharch.wire.memory_time import run_for
from tests.unit.replication.counting import Note, Notes
from tests.unit.replication.memory_log import MemoryLog

REGION = RegionName("region1")


class ScriptedView:
    """A membership that believes what the test says."""

    def __init__(self) -> None:
        self.live: dict[DaemonName, LiveMember] = {}
        self.dead: set[Member] = set()
        self._listeners = []

    def live_members(self):
        return tuple(self.live[name] for name in sorted(self.live))

    def is_certainly_dead(self, member: Member) -> bool:
        return member in self.dead

    def on_change(self, listener) -> None:
        self._listeners.append(listener)

    def changed(self) -> None:
        for listener in self._listeners:
            listener()


class Region:
    def __init__(self, daemons: int = 3, seed: int = 1, encode=False, **settings):
        self.clock = Clock()
        self.random = random.Random(seed)
        self.fabric = MemoryFabric(self.clock, random.Random(seed), encode=encode)
        self.log = MemoryLog(self.clock)
        self.settings = ReplicationSection(**{"partition_count": 4} | settings)
        self.views: dict[DaemonName, ScriptedView] = {}
        self.services: dict[DaemonName, ReplicationService] = {}
        self.incarnation = 0
        self.zones: dict[DaemonName, ZoneName] = {}
        self.leaders: dict[tuple[int, int], DaemonName] = {}
        self.started: list[Member] = []
        self.dead: set[Member] = set()
        self.newcomers: set[str] = set()
        """Daemons that do not know the region yet."""
        for number in range(daemons):
            self.start(f"daemon-{number}", zone=f"zone-{number % 3}")

    def start(self, name: str, zone: str) -> None:
        """Start a daemon's process (again); everybody sees it at once."""
        daemon = DaemonName(name)
        self.zones[daemon] = ZoneName(zone)
        self.incarnation += 1
        member = Member(daemon, Incarnation(self.incarnation))
        process = self.fabric.join(member, ZoneName(zone))
        view = ScriptedView()
        entry = LiveMember(member, ZoneName(zone), process.address, False)
        self.dead |= {m for m in self.started if m.daemon == daemon}
        self.started.append(member)
        for other in self.views.values():
            other.dead |= self.dead
            other.live[daemon] = entry
        for other in self.views.values():
            view.live |= other.live
        view.dead |= self.dead
        view.live[daemon] = entry
        self.views[daemon] = view
        assignment = Assignment(view, self.settings.replica_count)
        service = ReplicationService(
            network=process.network,
            membership=view,
            replicas_of=assignment.replicas_of,
            log=self.log,
            clock=process.clock,
            random_source=random.Random(self.random.random()),
            region=REGION,
            settings=self.settings,
            state_machine_factory=lambda _partition: Notes(),
            command_types=(Note,),
            knows_region=lambda: name not in self.newcomers,
        )
        self.services[daemon] = service
        service.on_leadership(lambda p, epoch: self._led(daemon, p, epoch))
        service.start()
        for other in self.views.values():
            other.changed()

    def crash(self, name: str, certainly: bool = True) -> None:
        """End a process; everybody learns it at once."""
        daemon = DaemonName(name)
        self.fabric.crash(daemon)
        del self.services[daemon]
        del self.views[daemon]
        if certainly:
            self.dead |= {m for m in self.started if m.daemon == daemon}
        for view in self.views.values():
            view.live.pop(daemon, None)
            view.dead |= self.dead
            view.changed()

    def suspect(self, believer: str, suspected: str) -> None:
        """Let a daemon believe, rightly or not, that another one is not alive."""
        view = self.views.get(DaemonName(believer))
        if view is not None and believer != suspected:
            view.live.pop(DaemonName(suspected), None)
            view.changed()

    def tell_truth(self) -> None:
        """Let everybody know which processes run and which are dead."""
        running = {s.daemon: s for s in self.started if s.daemon in self.services}
        self.dead |= {m for m in self.started if running.get(m.daemon) != m}
        for view in self.views.values():
            view.dead |= self.dead
            view.live = {
                daemon: LiveMember(member, self.zones[daemon], f"{daemon}:1", False)
                for daemon, member in running.items()
            }
            view.changed()

    def leave(self, name: str) -> None:
        """Let everybody know that a daemon is leaving."""
        daemon = DaemonName(name)
        for view in self.views.values():
            view.live[daemon] = msgspec.structs.replace(view.live[daemon], leaving=True)
            view.changed()

    def stop_all(self) -> None:
        """End every process at once."""
        for name in tuple(self.services):
            self.crash(name)

    def leader_of(self, partition: int) -> DaemonName | None:
        """Give the only daemon that leads a partition."""
        number = PartitionNumber(partition)
        leaders = [
            name
            for name, service in self.services.items()
            if service.leader_epoch(number) is not None
        ]
        assert len(leaders) <= 1
        return leaders[0] if leaders else None

    def _led(self, daemon: DaemonName, partition: int, epoch: int | None) -> None:
        if epoch is not None:
            leader = self.leaders.setdefault((partition, epoch), daemon)
            assert leader == daemon, f"{leader} and {daemon} led in epoch {epoch}"

    def replicas_of(self, partition: int) -> dict[Member, Replica | None]:
        """Give what each running process holds of a partition."""
        held = {}
        for service in self.services.values():
            group = service._host.group(PartitionNumber(partition))
            has_state = group is not None and group.holds_state
            held[service._network.own_member] = group.replica if has_state else None
        return held

    def run(self, seconds: float) -> None:
        run_for(self.clock, seconds)

    def propose(self, partition: int, text: str, by: str | None = None):
        """Propose at the leader; gives the list in which the result appears."""
        daemon = by or self.leader_of(partition)
        results: list[Result] = []
        answer = self.services[daemon].propose(
            PartitionNumber(partition), Note(self.clock.seconds(), text)
        )
        answer.addCallback(results.append)
        return results

    def texts(self, daemon: str, partition: int) -> list[str]:
        state = self.services[daemon].state(PartitionNumber(partition))
        return [] if state is None else list(state.texts)
