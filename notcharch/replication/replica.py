"""The state of one replica, which its follower, candidate and leader parts share."""

import enum
import random

from notcharch.replication.applier import Applier
from notcharch.replication.archive_replay import ArchivedSnapshot, ArchiveReplay
from notcharch.replication.configuration import can_have_majority
from notcharch.replication.effects import (
    Applied,
    ApplyFailed,
    ConfigurationCommitted,
    Effect,
    LeadershipChanged,
    Retired,
    Send,
)
from notcharch.replication.log import NO_CONFIGURATION, CommandLog, Position
from notcharch.replication.picture import Picture
from notcharch.replication.role import RoleHolder
from notcharch.replication.transfer import Snapshot
from notcharch.values.identifiers import Epoch, Member, PartitionNumber
from notcharch.wire.messages.replication import (
    NO_COMMAND,
    NOTHING_ARCHIVED,
    AnyGroupMessage,
    Configuration,
    Entry,
)


class Timer(enum.Enum):
    """What a replica waits for."""

    STAND = "stand"
    COMMIT_NOTICE = "commit_notice"
    RECONFIGURE = "reconfigure"
    TRANSFER = "transfer"


class Replica:
    """Epoch, vote, log and applied state of one member, and the effects so far."""

    def __init__(
        self,
        partition: PartitionNumber,
        own: Member,
        applier: Applier,
        source: random.Random,
    ) -> None:
        """Begin with nothing: no configuration, no entry, epoch 0."""
        self.partition = partition
        self.own = own
        self.applier = applier
        self.random = source
        self.role = RoleHolder()
        self.picture = Picture()
        self.log = CommandLog()
        self.epoch = Epoch(0)
        self.voted_for: Member | None = None
        self.leader: Member | None = None
        self.commit_index = 0
        self.applied_index = 0
        self.archived = NOTHING_ARCHIVED
        self.is_hollow = False
        """Whether the state was dropped: only the vote and position are left."""
        self.effects: list[Effect] = []
        self.timers: dict[Timer, float] = {}

    @property
    def is_leading(self) -> bool:
        """Tell whether this member leads, confirmed or not."""
        return self.role.is_leading

    @property
    def position(self) -> Position:
        """The last entry of the log."""
        return Position(self.log.last_epoch, self.log.last_index)

    def send(self, destination: Member, message: AnyGroupMessage) -> None:
        """Ask for a message to be sent."""
        self.effects.append(Send(destination, message))

    def is_stale(self, epoch: Epoch) -> bool:
        """Tell whether a message's epoch is older than one already seen."""
        return epoch < self.epoch

    def adopt_epoch(self, epoch: Epoch) -> None:
        """Enter a higher epoch: with no vote, no leader and not leading."""
        if epoch <= self.epoch:
            return
        self.step_down()
        self.epoch = epoch
        self.voted_for = None
        self.leader = None

    def step_down(self) -> None:
        """Stop standing or leading."""
        if self.is_leading:
            self.effects.append(LeadershipChanged(None))
            self.leader = None
        self.role.moves.follow()

    def believes_leader_alive(self) -> bool:
        """Tell whether there is a leader of this epoch that is believed alive."""
        return self.leader is not None and self.leader in self.picture.alive

    def has_live_majority(self) -> bool:
        """Tell whether a majority of the configuration is believed alive."""
        members = self.log.configuration.members
        lost = frozenset(m for m in members if m not in self.picture.alive)
        return can_have_majority(self.log.configuration, lost)

    def commit_through(self, index: int) -> None:
        """Apply the entries that are newly known to be committed."""
        self.commit_index = max(self.commit_index, index)
        while self.applied_index < self.commit_index:
            self._apply_next()

    def _apply_next(self) -> None:
        index = self.applied_index + 1
        entry = self.log.entry_at(index)
        self.applied_index = index
        if entry.configuration is not None:
            self.effects.append(ConfigurationCommitted(entry.configuration))
        if entry.command == NO_COMMAND:
            return
        outcome = self.applier.apply(entry.command, entry.epoch)
        if outcome.failure is not None:
            self.effects.append(ApplyFailed(index, outcome.failure))
        if self.is_leading and entry.epoch == self.epoch:
            self.effects.append(Applied(index, entry.epoch, outcome.result))

    def take_snapshot(self) -> Snapshot:
        """Encode the applied state."""
        index = self.applied_index
        epoch = self.log.epoch_at(index)
        assert epoch is not None  # applied entries are discarded only up to here
        return Snapshot(
            index,
            epoch,
            self.log.configuration_at(index),
            self.archived,
            self.applier.state.snapshot(),
        )

    def install(self, snapshot: Snapshot) -> None:
        """Replace state and log."""
        self.applier.state.restore(snapshot.data)
        self.log.reset(snapshot.index, snapshot.epoch, snapshot.configuration)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self.archived = snapshot.archived
        self.is_hollow = False

    def load(self, archive: ArchiveReplay) -> None:
        """Replace state and log by what is archived."""
        self.applier.forget()
        self.log.reset(0, Epoch(0), NO_CONFIGURATION)
        self.commit_index = 0
        self.applied_index = 0
        self.is_hollow = False
        if archive.snapshot is not None:
            self._load_snapshot(archive.snapshot)
        for entry in archive.entries():
            self.log.append(
                Entry(entry.epoch, entry.command.copy(), entry.configuration)
            )
        self.commit_through(archive.last_index)

    def _load_snapshot(self, snapshot: ArchivedSnapshot) -> None:
        self.install(
            Snapshot(
                snapshot.index,
                snapshot.epoch,
                snapshot.configuration,
                self.archived,
                snapshot.data,
            )
        )

    def retire(self, configuration: Configuration) -> None:
        """Drop the state, but keep the vote and the position of the log.

        A candidate of an older configuration may still ask for this member's
        vote, and must not get it more easily than before.
        """
        if self.is_hollow:
            return
        self.applier.forget()
        self.log.reset(self.log.last_index, self.log.last_epoch, configuration)
        self.commit_index = self.log.last_index
        self.applied_index = self.log.last_index
        self.is_hollow = True
        self.timers.clear()
        self.step_down()
        self.effects.append(Retired())
