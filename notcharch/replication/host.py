"""The replica groups of one daemon: runs their cores and carries out the effects."""

import random
from collections.abc import Callable, Iterator

from twisted.internet.interfaces import IReactorTime

from notcharch.events.event import emit
from notcharch.events.replication import (
    CommandFailed,
    CommittedCommandsInDoubt,
    GroupChanged,
    GroupRebuiltElsewhere,
    LeadershipLost,
    LeadershipTaken,
    ListenerFailed,
)
from notcharch.replication.applier import Applier, CommandCodec
from notcharch.replication.effects import (
    Applied,
    ApplyFailed,
    ConfigurationCommitted,
    Effect,
    LeadershipChanged,
    Retired,
    Send,
)
from notcharch.replication.group import ReplicaGroup
from notcharch.replication.interface import StateMachine
from notcharch.replication.outbox import Outbox
from notcharch.replication.pending import PendingProposals
from notcharch.replication.pictures import Pictures
from notcharch.values.identifiers import Epoch, Member, PartitionNumber
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.replication import (
    AnyGroupMessage,
    Append,
    Configuration,
    ReplicationNotice,
    SnapshotChunk,
    VoteRequest,
)
from notcharch.wire.peers import PeerNetwork

TICK_SECONDS = 0.05
"""Time between ticks while any group waits for something; no ticks otherwise."""

LeadershipListener = Callable[[PartitionNumber, Epoch | None], None]
StateMachineFactory = Callable[[PartitionNumber], StateMachine]


class GroupHost:
    """Keeps the groups, gives them messages and time, and does what they ask."""

    def __init__(
        self,
        *,
        network: PeerNetwork,
        clock: IReactorTime,
        source: random.Random,
        pictures: Pictures,
        state_machine_factory: StateMachineFactory,
        codec: CommandCodec,
        pending: PendingProposals,
        replica_count: int,
    ) -> None:
        """Begin without groups."""
        self._clock = clock
        self._random = source
        self._own = network.own_member
        self._pictures = pictures
        self._state_machine_factory = state_machine_factory
        self._codec = codec
        self._pending = pending
        self._replica_count = replica_count
        self._outbox = Outbox(network, clock, self._flush)
        self._groups: dict[PartitionNumber, ReplicaGroup] = {}
        self._proposed: set[PartitionNumber] = set()
        self._waiting: set[PartitionNumber] = set()
        self._announced: dict[PartitionNumber, Epoch] = {}
        self._listeners: list[LeadershipListener] = []
        self._looked_at: dict[PartitionNumber, Configuration] = {}
        """The configuration for which each group got its last picture."""
        self._is_tick_scheduled = False
        self._is_stopped = False
        self.doubts: dict[PartitionNumber, CommittedCommandsInDoubt] = {}
        self.losses: dict[PartitionNumber, GroupRebuiltElsewhere] = {}
        self.unsettled: set[PartitionNumber] = set()
        """Partitions that may need help to get a leader."""

    def on_leadership(self, listener: LeadershipListener) -> None:
        """Call `listener` when leadership of a partition begins or ends."""
        self._listeners.append(listener)

    def note_doubt(self, event: CommittedCommandsInDoubt) -> None:
        """Keep, for the status, what a rebuilt group cannot promise."""
        self.doubts[event.partition] = event

    def note_loss(self, event: GroupRebuiltElsewhere) -> None:
        """Keep, for the status, what was lost with a group that was replaced."""
        self.losses[event.partition] = event

    def stop(self) -> None:
        """Take no more input."""
        self._is_stopped = True

    def group(self, partition: PartitionNumber) -> ReplicaGroup | None:
        """Give the group of a partition, if this daemon has anything of it."""
        return self._groups.get(partition)

    def groups(self) -> Iterator[ReplicaGroup]:
        """Give all groups."""
        return iter(tuple(self._groups.values()))

    def led_partitions(self) -> tuple[PartitionNumber, ...]:
        """Give the partitions that were announced as led."""
        return tuple(sorted(self._announced))

    def leader_epoch(self, partition: PartitionNumber) -> Epoch | None:
        """Give the epoch of announced leadership."""
        return self._announced.get(partition)

    def group_for(self, partition: PartitionNumber) -> ReplicaGroup:
        """Give the group of a partition, a blank one if there is none."""
        group = self._groups.get(partition)
        if group is not None:
            return group
        applier = Applier(lambda: self._state_machine_factory(partition), self._codec)
        group = ReplicaGroup(
            partition, self._own, applier, self._random, self._replica_count
        )
        self._groups[partition] = group
        self._look(group)
        return group

    def _look(self, group: ReplicaGroup) -> list[Effect]:
        """Give a group its picture of the region."""
        replica = group.replica
        self._looked_at[replica.partition] = replica.log.configuration
        picture = self._pictures.of(replica.partition, replica.log.configuration)
        return group.membership_changed(picture, self._clock.seconds())

    def on_notice(self, sender: Member, message: Message) -> None:
        """Take the group messages of one turn of another daemon."""
        if self._is_stopped or not isinstance(message, ReplicationNotice):
            return
        for group_message in message.messages:
            self._receive(sender, group_message)

    def _receive(self, sender: Member, message: AnyGroupMessage) -> None:
        group = self._groups.get(message.partition)
        if group is None:
            if not isinstance(message, Append | SnapshotChunk | VoteRequest):
                return
            group = self.group_for(message.partition)
        self.carry_out(group, group.receive(sender, message, self._clock.seconds()))

    def carry_out(self, group: ReplicaGroup, effects: list[Effect]) -> None:
        """Do what a group asks."""
        partition = group.replica.partition
        for effect in effects:
            self._do(group, partition, effect)
        if group.replica.log.configuration is not self._looked_at[partition]:
            # The picture says which members of a configuration are dead.
            self._clock.callLater(0, self.look_again, partition)
        if group.next_deadline() is None:
            self._waiting.discard(partition)
        else:
            self._waiting.add(partition)
            self._schedule_tick()

    def _do(
        self, group: ReplicaGroup, partition: PartitionNumber, effect: Effect
    ) -> None:
        match effect:
            case Send():
                self._outbox.add(effect.destination.daemon, effect.message)
            case Applied():
                self._pending.applied(partition, effect)
            case LeadershipChanged():
                self._on_leadership(group, effect.epoch)
            case ConfigurationCommitted():
                self._on_configuration(group, effect)
            case ApplyFailed():
                emit(CommandFailed(partition, effect.index, effect.reason))
            case Retired():
                self._waiting.discard(partition)

    def _on_configuration(
        self, group: ReplicaGroup, effect: ConfigurationCommitted
    ) -> None:
        configuration = effect.configuration
        partition = group.replica.partition
        if group.is_leading:
            emit(GroupChanged(partition, configuration.version, configuration.members))

    def look_again(self, partition: PartitionNumber) -> None:
        """Give a group a fresh picture of the region."""
        group = self._groups.get(partition)
        if group is not None and not self._is_stopped:
            self.carry_out(group, self._look(group))

    def _on_leadership(self, group: ReplicaGroup, epoch: Epoch | None) -> None:
        partition = group.replica.partition
        if epoch is None and not group.is_leading:
            self.unsettled.add(partition)
            self._pending.leadership_lost(partition)
        former = self._announced.pop(partition, None)
        if epoch is not None:
            self._announced[partition] = epoch
            emit(LeadershipTaken(partition, epoch))
        elif former is not None:
            emit(LeadershipLost(partition, former))
        if former != epoch:
            self._tell_listeners(partition, epoch)

    def _tell_listeners(self, partition: PartitionNumber, epoch: Epoch | None) -> None:
        for listener in self._listeners:
            try:
                listener(partition, epoch)
            except Exception as error:
                emit(ListenerFailed(partition, f"{type(error).__name__}: {error}"))

    def flush_later(self, partition: PartitionNumber) -> None:
        """Send what was proposed at the end of the turn."""
        self._proposed.add(partition)
        self._outbox.schedule()

    def _flush(self) -> None:
        proposed = self._proposed
        self._proposed = set()
        for partition in proposed:
            group = self._groups[partition]
            self.carry_out(group, group.flush(self._clock.seconds()))

    def membership_changed(self) -> None:
        """Give every group a fresh picture of the region."""
        for partition in tuple(self._groups):
            self.look_again(partition)
        self.unsettled.update(self._groups)

    def woke(self) -> None:
        """Doubt all leadership, after a pause of the process."""
        for group in self.groups():
            if group.is_leading:
                self.carry_out(group, group.woke(self._clock.seconds()))

    def _schedule_tick(self) -> None:
        if not self._is_tick_scheduled:
            self._is_tick_scheduled = True
            self._clock.callLater(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self._is_tick_scheduled = False
        if self._is_stopped:
            return
        now = self._clock.seconds()
        for partition in tuple(self._waiting):
            group = self._groups[partition]
            deadline = group.next_deadline()
            if deadline is not None and deadline <= now:
                self.carry_out(group, group.tick(now))
                if not group.is_leading:
                    self.unsettled.add(partition)
        if self._waiting:
            self._schedule_tick()
