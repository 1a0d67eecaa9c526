"""A replica of one partition: messages, proposals and time in, effects out.

Pure: no I/O, no clock. docs/design/replication.md gives the protocol and why it
is safe.
"""

import random

import msgspec

from notcharch.replication.applier import Applier
from notcharch.replication.archive_plan import is_archive_due
from notcharch.replication.archive_replay import ArchiveReplay
from notcharch.replication.candidate import Candidate
from notcharch.replication.configuration import can_have_majority
from notcharch.replication.effects import ConfigurationCommitted, Effect
from notcharch.replication.follower import Follower
from notcharch.replication.interface import StateMachine
from notcharch.replication.leader import Leader
from notcharch.replication.picture import Picture
from notcharch.replication.reconfiguration import Reconfiguration
from notcharch.replication.replica import Replica, Timer
from notcharch.replication.role import Role
from notcharch.values.identifiers import Epoch, Member, PartitionNumber
from notcharch.wire.messages.replication import (
    AnyGroupMessage,
    Append,
    AppendReply,
    ArchivePosition,
    Configuration,
    Entry,
    GroupDescription,
    Holding,
    Retire,
    SnapshotChunk,
    SnapshotReply,
    TakeOver,
    VoteReply,
    VoteRequest,
)


class ReplicaGroup:
    """One member's side of the agreement on one partition.

    Each input returns the effects that follow from it, in order. Times are
    seconds of any clock that only grows.
    """

    def __init__(
        self,
        partition: PartitionNumber,
        own: Member,
        applier: Applier,
        source: random.Random,
        replica_count: int,
    ) -> None:
        """Begin with nothing, as a process does that has just started."""
        self._replica = Replica(partition, own, applier, source)
        self._follower = Follower(self._replica)
        self._candidate = Candidate(self._replica)
        self._leader = Leader(self._replica)
        self._reconfiguration = Reconfiguration(
            self._replica, self._leader, replica_count
        )

    @property
    def replica(self) -> Replica:
        """The state of this replica, to be read only."""
        return self._replica

    @property
    def state(self) -> StateMachine:
        """The applied state."""
        return self._replica.applier.state

    @property
    def is_leading(self) -> bool:
        """Tell whether this member leads, confirmed or not."""
        return self._replica.is_leading

    @property
    def confirmed_epoch(self) -> Epoch | None:
        """The epoch in which this member leads with the whole state applied."""
        if self._replica.role.role is Role.LEADER:
            return self._replica.epoch
        return None

    @property
    def leader_hint(self) -> Member | None:
        """The member that should be asked instead of this one."""
        if self.is_leading and self._reconfiguration.heir is not None:
            return self._reconfiguration.heir
        return self._replica.leader

    @property
    def failed_rounds(self) -> int:
        """The number of election rounds since there was a leader."""
        return self._candidate.failed_rounds

    @property
    def holds_state(self) -> bool:
        """Tell whether this member has ever held anything, and has it still."""
        return self._holding() is Holding.STATE

    @property
    def may_have_majority(self) -> bool:
        """Tell whether so few members are certainly dead that an election helps."""
        replica = self._replica
        return can_have_majority(replica.log.configuration, replica.picture.dead)

    def describe(self) -> GroupDescription:
        """Say what this daemon holds of the partition."""
        replica = self._replica
        return GroupDescription(
            replica.partition,
            self._holding(),
            replica.epoch,
            replica.log.last_index,
            replica.log.last_epoch,
            self._known_configuration(),
            replica.leader,
            self.confirmed_epoch is not None,
        )

    def _known_configuration(self) -> Configuration:
        """Give the committed configuration of a leader, else the newest one."""
        log = self._replica.log
        if self.confirmed_epoch is not None:
            return log.configuration_at(self._replica.commit_index)
        return log.configuration

    def _holding(self) -> Holding:
        if self._replica.is_hollow:
            return Holding.RETIRED
        if self._replica.epoch == 0:
            return Holding.NOTHING
        return Holding.STATE

    def claim(
        self,
        epoch: Epoch,
        configuration: Configuration,
        archive: ArchiveReplay,
        now: float,
    ) -> list[Effect]:
        """Lead a new generation, whose claim this member won in the log service.

        The state is the archive's if that has more than this member's log.
        """
        replica = self._replica
        if epoch <= replica.epoch:
            return []
        if self.is_behind(archive):
            replica.load(archive)
        replica.archived = archive.position
        replica.adopt_epoch(epoch)
        replica.voted_for = replica.own
        self._begin_leading(now, configuration)
        return self._drain(now)

    def is_behind(self, archive: ArchiveReplay) -> bool:
        """Tell whether the archive has more than this member's log."""
        log = self._replica.log
        archived = (archive.last_epoch, archive.last_index)
        return self._replica.is_hollow or archived > (log.last_epoch, log.last_index)

    def _begin_leading(self, now: float, configuration: Configuration | None) -> None:
        self._leader.begin(now, configuration)
        self._reconfiguration.begin(now)

    def propose(self, command: msgspec.Raw) -> int:
        """Append a command of this epoch and give its index.

        Only while `accepts_proposals`. `flush` sends it, together with all that
        was proposed in the same turn.
        """
        return self._leader.append(Entry(self._replica.epoch, command))

    @property
    def accepts_proposals(self) -> bool:
        """Tell whether a command may be proposed here now."""
        is_busy = self._reconfiguration.heir is not None
        return self.is_leading and not is_busy and not self._leader.is_overloaded()

    def flush(self, now: float) -> list[Effect]:
        """Send what was proposed."""
        if self.is_leading:
            self._leader.flush(now)
        return self._drain(now)

    def receive(
        self, sender: Member, message: AnyGroupMessage, now: float
    ) -> list[Effect]:
        """Take a message of another replica."""
        match message:
            case Append():
                self._follower.on_append(sender, message)
            case AppendReply():
                self._leader.on_append_reply(sender, message, now)
            case SnapshotChunk():
                self._follower.on_snapshot_chunk(sender, message)
            case SnapshotReply():
                self._leader.on_snapshot_reply(sender, message, now)
            case VoteRequest():
                self._candidate.on_request(sender, message, now)
            case VoteReply():
                self._candidate.on_reply(sender, message)
            case TakeOver():
                self._on_take_over(sender, message, now)
            case Retire():
                self._on_retire(sender, message)
        return self._drain(now)

    def _on_take_over(self, sender: Member, message: TakeOver, now: float) -> None:
        replica = self._replica
        if message.epoch == replica.epoch and replica.leader == sender:
            self._reconfiguration.hear_leaving(message.leaving, now)
            self._candidate.take_over(now)

    def _on_retire(self, sender: Member, message: Retire) -> None:
        replica = self._replica
        if replica.is_stale(message.epoch):
            return
        replica.adopt_epoch(message.epoch)
        if not replica.is_leading:
            replica.retire(message.configuration)
            reply = AppendReply(
                replica.partition, replica.epoch, message.round_number, True, 0
            )
            replica.send(sender, reply)

    def tick(self, now: float) -> list[Effect]:
        """Do what is due."""
        for timer in self._due(now):
            self._on_timer(timer, now)
        if self.is_leading:
            self._leader.on_tick(now)
        return self._drain(now)

    def _due(self, now: float) -> list[Timer]:
        timers = self._replica.timers
        due = [timer for timer, at in timers.items() if at <= now]
        for timer in due:
            del timers[timer]
        return due

    def _on_timer(self, timer: Timer, now: float) -> None:
        match timer:
            case Timer.STAND:
                self._candidate.on_timer(now)
            case Timer.COMMIT_NOTICE:
                self._leader.tell_indexes(now)
            case Timer.TRANSFER:
                self._reconfiguration.give_up_transfer(now)
            case Timer.RECONFIGURE:
                self._reconfiguration.look()

    def next_deadline(self) -> float | None:
        """Give the time at which `tick` has something to do; None when idle."""
        times = list(self._replica.timers.values())
        if self.is_leading:
            resend_at = self._leader.next_resend()
            if resend_at is not None:
                times.append(resend_at)
        return min(times, default=None)

    def membership_changed(self, picture: Picture, now: float) -> list[Effect]:
        """Take a new belief about the daemons of the region."""
        replica = self._replica
        have_targets_changed = picture.targets != replica.picture.targets
        replica.picture = picture
        if self.is_leading and not replica.has_live_majority():
            replica.step_down()
        if self.is_leading:
            if have_targets_changed:
                self._reconfiguration.targets_changed(now)
            self._reconfiguration.look()
            self._leader.flush(now)
        return self._drain(now)

    def superseded(self, configuration: Configuration, now: float) -> list[Effect]:
        """Drop the state: a later configuration, without this member, goes on."""
        self._replica.step_down()
        self._replica.retire(configuration)
        return self._drain(now)

    def archived(self, position: ArchivePosition, now: float) -> list[Effect]:
        """Note, as the leader, how far the log service has the commands."""
        if self.is_leading:
            self._leader.archived(position, now)
        return self._drain(now)

    @property
    def backlog_bytes(self) -> int:
        """The size of the commands kept, as the leader, until they are archived."""
        replica = self._replica
        if not self._leader.keeps_archive_backlog or not is_archive_due(replica):
            return 0
        return replica.log.size_bytes

    def drop_archive_backlog(self) -> None:
        """Keep nothing for the archive, as the leader, until a snapshot is in it."""
        if self.is_leading:
            self._leader.drop_archive_backlog()

    def woke(self, now: float) -> list[Effect]:
        """Make sure of leadership before serving, after a pause of the process."""
        if self.is_leading:
            self._leader.doubt(now)
        return self._drain(now)

    def _drain(self, now: float) -> list[Effect]:
        """Do what follows from the input, and give all effects."""
        replica = self._replica
        if replica.believes_leader_alive():
            self._candidate.forget()
        if self._candidate.outcome(now):
            self._begin_leading(now, None)
        if replica.is_leading:
            if any(isinstance(e, ConfigurationCommitted) for e in replica.effects):
                self._reconfiguration.configuration_committed(now)
            self._reconfiguration.advance(now)
            self._reconfiguration.ask_heir(now)
        else:
            self._candidate.arm(now)
        effects = replica.effects
        replica.effects = []
        return effects
