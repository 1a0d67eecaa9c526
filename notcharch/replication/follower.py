"""What a replica does with its leader's entries and snapshots."""

from notcharch.replication.epochs import generation_of
from notcharch.replication.replica import Replica, Timer
from notcharch.replication.transfer import SnapshotReceiver
from notcharch.values.identifiers import Epoch, Member
from notcharch.wire.messages.replication import (
    Append,
    AppendReply,
    Entry,
    SnapshotChunk,
    SnapshotReply,
)


class Follower:
    """Keeps the log equal to the leader's and applies what is committed."""

    def __init__(self, replica: Replica) -> None:
        """Work on a replica's state."""
        self._replica = replica
        self._receiver: SnapshotReceiver | None = None

    def on_append(self, sender: Member, message: Append) -> None:
        """Take entries; the answer says up to where the logs are the same."""
        replica = self._replica
        if not self._accept_leader(sender, message.epoch):
            self._refuse(sender, message, replica.log.last_index)
        elif self._needs_snapshot(message):
            self._refuse(sender, message, 0, needs_snapshot=True)
        elif not self._joins(message):
            hint = min(replica.log.last_index, message.previous_index - 1)
            self._refuse(sender, message, max(replica.commit_index, hint))
        else:
            self._take(sender, message)

    def _accept_leader(self, sender: Member, epoch: Epoch) -> bool:
        """Follow the sender unless its epoch is old."""
        replica = self._replica
        if replica.is_stale(epoch):
            return False
        replica.adopt_epoch(epoch)
        if replica.is_leading:
            return False
        if replica.leader != sender:
            replica.role.moves.follow()
            replica.leader = sender
        # An epoch's leader is known now, so no other may have the vote.
        replica.voted_for = replica.voted_for or sender
        replica.timers.pop(Timer.STAND, None)
        return True

    def _needs_snapshot(self, message: Append) -> bool:
        """Tell whether committed entries differ from the leader's, or are lost.

        Within a generation a leader has all committed entries. A group that
        was rebuilt may lack some that this replica had seen committed.
        """
        replica = self._replica
        if replica.is_hollow:
            return True
        log = replica.log
        known_epoch = log.epoch_at(message.previous_index)
        if known_epoch == message.previous_epoch:
            return self._contradicts_committed(message)
        if message.previous_index > replica.commit_index:
            return False
        committed_epoch = log.epoch_at(replica.commit_index)
        is_other_lineage = committed_epoch is None or (
            generation_of(committed_epoch) != generation_of(message.epoch)
        )
        return is_other_lineage or known_epoch is not None

    def _contradicts_committed(self, message: Append) -> bool:
        replica = self._replica
        for index, entry in enumerate(message.entries, message.previous_index + 1):
            if index > replica.commit_index:
                return False
            if replica.log.epoch_at(index) != entry.epoch:
                return True
        return False

    def _joins(self, message: Append) -> bool:
        """Tell whether the message's entries follow on what is held."""
        log = self._replica.log
        if message.previous_index < log.base_index:
            return True
        return log.epoch_at(message.previous_index) == message.previous_epoch

    def _take(self, sender: Member, message: Append) -> None:
        replica = self._replica
        for index, entry in enumerate(message.entries, message.previous_index + 1):
            self._place(index, entry)
        matched = message.previous_index + len(message.entries)
        replica.commit_through(min(message.commit_index, matched))
        replica.archived = message.archived
        replica.log.discard_through(min(message.discard_index, replica.applied_index))
        reply = AppendReply(
            replica.partition, replica.epoch, message.round_number, True, matched
        )
        replica.send(sender, reply)

    def _place(self, index: int, entry: Entry) -> None:
        log = self._replica.log
        if index <= log.base_index:
            return
        held_epoch = log.epoch_at(index)
        if held_epoch == entry.epoch:
            return
        if held_epoch is not None:
            log.truncate_from(index)
        # A decoded command is a view that keeps its whole notice in memory.
        log.append(Entry(entry.epoch, entry.command.copy(), entry.configuration))

    def _refuse(
        self, sender: Member, message: Append, index: int, needs_snapshot: bool = False
    ) -> None:
        replica = self._replica
        reply = AppendReply(
            replica.partition,
            replica.epoch,
            message.round_number,
            False,
            index,
            needs_snapshot,
        )
        replica.send(sender, reply)

    def on_snapshot_chunk(self, sender: Member, message: SnapshotChunk) -> None:
        """Take a chunk; install the snapshot when it is whole."""
        if not self._accept_leader(sender, message.epoch):
            self._answer_chunk(sender, message, 0)
            return
        if self._holds(message):
            self._answer_chunk(sender, message, message.total)
            return
        if self._receiver is None or not self._receiver.belongs(message):
            self._receiver = SnapshotReceiver(message)
        snapshot = self._receiver.take(message)
        received = self._receiver.received
        if snapshot is not None:
            self._receiver = None
            self._replica.install(snapshot)
        self._answer_chunk(sender, message, received)

    def _holds(self, message: SnapshotChunk) -> bool:
        """Tell whether the state already contains the snapshot."""
        replica = self._replica
        if replica.is_hollow or message.index > replica.commit_index:
            return False
        known_epoch = replica.log.epoch_at(message.index)
        if known_epoch is not None:
            return known_epoch == message.index_epoch
        committed_epoch = replica.log.epoch_at(replica.commit_index)
        return committed_epoch is not None and (
            generation_of(committed_epoch) == generation_of(message.epoch)
        )

    def _answer_chunk(
        self, sender: Member, message: SnapshotChunk, received: int
    ) -> None:
        replica = self._replica
        reply = SnapshotReply(
            replica.partition,
            replica.epoch,
            message.round_number,
            message.index,
            received,
        )
        replica.send(sender, reply)
