"""One replica group of pure cores, under a scheduler of its own with faults.

Time is simulated. Each node has a view of the others that the run may falsify:
only deaths that are called certain are true.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from notcharch.replication.applier import Applier, CommandCodec
from notcharch.replication.archive_replay import ArchiveReplay
from notcharch.replication.effects import Applied, Effect, Send
from notcharch.replication.epochs import first_epoch_of
from notcharch.replication.group import ReplicaGroup
from notcharch.replication.picture import Picture
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    LogOffset,
    Member,
    PartitionNumber,
)
from notcharch.wire.messages.replication import (
    AnyGroupMessage,
    ArchivePosition,
    Configuration,
)
from tests.stateful.replication.oracle import Oracle
from tests.unit.replication.counting import Note, Notes

PARTITION = PartitionNumber(0)
TICK_SECONDS = 0.05
CODEC = CommandCodec((Note,))
DAEMONS = tuple(DaemonName(f"daemon-{number}") for number in range(5))


class NetworkFaults(msgspec.Struct, frozen=True):
    loss: float = 0.0
    duplication: float = 0.0
    longest_delay: float = 0.002
    """Messages overtake one another when this is long."""


class Node:
    """One process: its core, and what it believes."""

    def __init__(self, member: Member, group: ReplicaGroup) -> None:
        self.member = member
        self.group = group
        self.is_paused = False
        self.held: list[Callable[[], None]] = []
        self.suspected: set[DaemonName] = set()


class Simulation:
    """The nodes, the network between them and the oracle."""

    def __init__(self, seed: int, members: int = 3, replica_count: int = 3) -> None:
        self.random = random.Random(seed)
        self.replica_count = replica_count
        self.now = 0.0
        self.faults = NetworkFaults()
        self.oracle = Oracle()
        self.nodes: dict[DaemonName, Node] = {}
        self.dead: set[Member] = set()
        self.placement = list(DAEMONS)
        """The order in which daemons should replicate the partition."""
        self.cut: set[frozenset[DaemonName]] = set()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._texts = itertools.count()
        self._incarnation = itertools.count(1)
        for daemon in DAEMONS:
            self._start(daemon)
        self._found(DAEMONS[:members])
        self._schedule(TICK_SECONDS, self._tick_all)

    def _start(self, daemon: DaemonName) -> None:
        member = Member(daemon, Incarnation(next(self._incarnation)))
        source = random.Random(self.random.random())
        group = ReplicaGroup(
            PARTITION, member, Applier(Notes, CODEC), source, self.replica_count
        )
        self.nodes[daemon] = Node(member, group)

    def _found(self, daemons: tuple[DaemonName, ...]) -> None:
        """Let the first daemon win the claim of the first generation."""
        members = tuple(sorted(self.nodes[daemon].member for daemon in daemons))
        self.look_all()
        group = self.nodes[daemons[0]].group
        effects = group.claim(
            first_epoch_of(1), Configuration(1, members), ArchiveReplay(), self.now
        )
        self._carry_out(self.nodes[daemons[0]], effects)

    # What a node believes.

    def picture_of(self, node: Node) -> Picture:
        live = [
            self.nodes[daemon].member
            for daemon in self.placement
            if daemon in self.nodes and daemon not in node.suspected
        ]
        return Picture(
            frozenset(live) | {node.member},
            frozenset(),
            frozenset(self.dead),
            tuple(live[: self.replica_count]),
        )

    def look(self, node: Node) -> None:
        """Tell a node what it believes."""

        def see() -> None:
            picture = self.picture_of(node)
            self._carry_out(node, node.group.membership_changed(picture, self.now))

        self._run_or_hold(node, see)

    def look_all(self) -> None:
        for node in tuple(self.nodes.values()):
            self.look(node)

    # The scheduler.

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay, next(self._order), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def _tick_all(self) -> None:
        for node in tuple(self.nodes.values()):
            if not node.is_paused:
                self._carry_out(node, node.group.tick(self.now))
        self._schedule(TICK_SECONDS, self._tick_all)

    def _run_or_hold(self, node: Node, action: Callable[[], None]) -> None:
        if self.nodes.get(node.member.daemon) is not node:
            return
        if node.is_paused:
            node.held.append(action)
        else:
            action()

    def _carry_out(self, node: Node, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(node, effect.destination.daemon, effect.message)
            elif isinstance(effect, Applied):
                self.oracle.acknowledged(effect.index)
        self.oracle.observe(node.group)

    def _send(
        self, node: Node, destination: DaemonName, message: AnyGroupMessage
    ) -> None:
        link = frozenset((node.member.daemon, destination))
        if link in self.cut or self.random.random() < self.faults.loss:
            return
        sender = node.member
        copies = 2 if self.random.random() < self.faults.duplication else 1
        for _ in range(copies):
            delay = self.random.uniform(0.0005, self.faults.longest_delay)
            self._schedule(delay, lambda: self._arrive(sender, destination, message))

    def _arrive(
        self, sender: Member, destination: DaemonName, message: AnyGroupMessage
    ) -> None:
        node = self.nodes.get(destination)
        if node is None or frozenset((sender.daemon, destination)) in self.cut:
            return

        def receive() -> None:
            self._carry_out(node, node.group.receive(sender, message, self.now))

        self._run_or_hold(node, receive)

    # What a run does.

    def propose(self, daemon: DaemonName) -> bool:
        """Propose a fresh command at a node, if it thinks that it leads."""
        node = self.nodes.get(daemon)
        if node is None or node.is_paused or not node.group.accepts_proposals:
            return False
        text = f"command-{next(self._texts)}"
        node.group.propose(CODEC.encode(Note(self.now, text)))
        self._carry_out(node, node.group.flush(self.now))
        return True

    def archive(self, daemon: DaemonName) -> None:
        """Let a leader believe that the log service has all that is committed."""
        node = self.nodes.get(daemon)
        if node is None or node.is_paused or not node.group.is_leading:
            return
        position = ArchivePosition(
            node.group.replica.commit_index, LogOffset(0), LogOffset(0)
        )
        self._carry_out(node, node.group.archived(position, self.now))

    def crash(self, daemon: DaemonName) -> None:
        """End a process and its memory; the others learn it for certain."""
        node = self.nodes.pop(daemon, None)
        if node is not None:
            self.dead.add(node.member)
            self.look_all()

    def restart(self, daemon: DaemonName) -> None:
        """Start a new process with empty memory, ending the old one."""
        self.crash(daemon)
        self._start(daemon)
        self.look_all()

    def pause(self, daemon: DaemonName) -> None:
        node = self.nodes.get(daemon)
        if node is not None:
            node.is_paused = True

    def resume(self, daemon: DaemonName) -> None:
        """Wake a node: it believes what it believed, and then hears of the rest."""
        node = self.nodes.get(daemon)
        if node is None or not node.is_paused:
            return
        node.is_paused = False
        self._carry_out(node, node.group.woke(self.now))
        held, node.held = node.held, []
        for action in held:
            self._run_or_hold(node, action)

    def isolate(self, daemons: tuple[DaemonName, ...]) -> None:
        """Cut some daemons from all others."""
        others = [daemon for daemon in DAEMONS if daemon not in daemons]
        for daemon in daemons:
            self.cut |= {frozenset((daemon, other)) for other in others}

    def move(self, placement: tuple[DaemonName, ...]) -> None:
        """Change where the partition should be."""
        self.placement = list(placement)
        self.look_all()

    def suspect(self, believer: DaemonName, suspected: DaemonName) -> None:
        """Let a node believe, rightly or not, that another one is not alive."""
        node = self.nodes.get(believer)
        if node is not None and believer != suspected:
            node.suspected.add(suspected)
            self.look(node)

    def believe_all(self, believer: DaemonName) -> None:
        """Let a node believe that every process that runs is alive."""
        node = self.nodes.get(believer)
        if node is not None:
            node.suspected.clear()
            self.look(node)

    def heal(self) -> None:
        """End every fault, and let everybody know the truth."""
        self.faults = NetworkFaults()
        self.cut.clear()
        for daemon in DAEMONS:
            self.resume(daemon)
        for daemon in DAEMONS:
            self.believe_all(daemon)

    # What must hold in the end.

    def is_any_electable(self) -> bool:
        """Tell whether a live majority of a holder's configuration can elect it."""
        position_of = {
            node.member: node.group.replica.position for node in self.nodes.values()
        }
        for node in self.nodes.values():
            members = node.group.replica.log.configuration.members
            mine = position_of[node.member]
            voters = [m for m in members if m in position_of and position_of[m] <= mine]
            is_candidate = node.member in members and node.group.holds_state
            if is_candidate and len(voters) * 2 > len(members):
                return True
        return False

    def has_live_majority(self) -> bool:
        """Tell whether a majority runs, whatever it holds.

        Both of the last committed configuration and of all that may follow it.
        """
        index, committed = self.oracle.committed_configuration()
        in_question = [committed]
        for node in self.nodes.values():
            log = node.group.replica.log
            if log.configuration_index > index and not node.group.replica.is_hollow:
                in_question.append(log.configuration)
        running = {node.member for node in self.nodes.values()}
        return all(
            len(running.intersection(configuration.members)) * 2
            > len(configuration.members)
            for configuration in in_question
        )

    def check_end(self) -> None:
        """After all faults, a group with a live majority leads and has everything."""
        self.heal()
        if not self.has_live_majority() and not self.is_any_electable():
            return
        self.run(30)
        self.oracle.check_whole([node.group for node in self.nodes.values()])
