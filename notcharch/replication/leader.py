"""What a replica does while it leads: replicate, commit, tell, transfer state."""

from notcharch.replication.commit import committed_index
from notcharch.replication.confirmation import Confirmation
from notcharch.replication.effects import LeadershipChanged
from notcharch.replication.log import command_bytes
from notcharch.replication.progress import Progress, Told
from notcharch.replication.replica import Replica, Timer
from notcharch.replication.role import Role
from notcharch.replication.transfer import Snapshot, SnapshotSender
from notcharch.values.identifiers import Member
from notcharch.wire.messages.replication import (
    Append,
    AppendReply,
    ArchivePosition,
    Configuration,
    Entry,
    Retire,
    SnapshotReply,
)

ROUND_BYTES = 256 * 1024
COMMIT_NOTICE_SECONDS = 0.1
"""How long followers may wait to learn of a commit when nothing else follows."""

UNCOMMITTED_BYTES = 8 * 1024 * 1024
LOG_BYTES = 8 * 1024 * 1024
"""Beyond this the log is not kept for members that are believed dead."""

LOG_BYTES_FOR_LIVE = 32 * 1024 * 1024
"""Beyond this it is not kept for live ones either; they get a snapshot."""

DISCARD_ENTRIES = 16
NEARLY_ENTRIES = 256


class Leader:
    """The part of a replica that leads; it is idle while another one does."""

    def __init__(self, replica: Replica) -> None:
        """Work on a replica's state."""
        self._replica = replica
        self.peers: dict[Member, Progress] = {}
        self.departing: set[Member] = set()
        """Removed members that have not yet answered that they know it."""
        self._first_index = 0
        self._round = 0
        self._confirmation = Confirmation(replica.own, 1)
        self._snapshot: Snapshot | None = None
        self._uncommitted_bytes = 0
        self.keeps_archive_backlog = True
        """Whether entries stay until they are archived; else a snapshot is due."""

    @property
    def has_committed_own_entry(self) -> bool:
        """Tell whether an entry of this epoch is committed."""
        return self._replica.commit_index >= self._first_index

    def begin(self, now: float, configuration: Configuration | None) -> None:
        """Lead from now on; `configuration` is set by a claim, else it stays."""
        replica = self._replica
        replica.role.moves.win()
        replica.leader = replica.own
        replica.timers.pop(Timer.STAND, None)
        self.peers = {}
        self.departing = set()
        self._snapshot = None
        self._uncommitted_bytes = replica.log.command_bytes(
            replica.commit_index, replica.log.last_index
        )
        replica.log.append(Entry(replica.epoch, configuration=configuration))
        self._first_index = replica.log.last_index
        self._match_peers()
        self._confirmation = Confirmation(replica.own, self._round + 1)
        self.flush(now)

    def _match_peers(self) -> None:
        """Keep a progress for exactly the members, the departing and the joiner."""
        replica = self._replica
        for member in replica.log.configuration.members:
            if member != replica.own and member not in self.peers:
                self.add_peer(member)

    def add_peer(self, member: Member) -> None:
        """Begin to replicate to a member or joiner."""
        self.departing.discard(member)
        self.peers[member] = Progress(self._replica.log.last_index, self._round + 1)

    def drop_peer(self, member: Member) -> None:
        """Stop replicating to a process."""
        self.peers.pop(member, None)
        self.departing.discard(member)

    def dismiss(self, member: Member) -> None:
        """Tell a process that a committed configuration has it no more."""
        if member not in self._replica.picture.alive:
            self.drop_peer(member)
        elif member not in self.departing:
            self.departing.add(member)
            self.peers[member].ask_again()

    def append(self, entry: Entry) -> int:
        """Add an entry to the log; `flush` sends it."""
        log = self._replica.log
        log.append(entry)
        self._uncommitted_bytes += command_bytes(entry)
        self._match_peers()
        return log.last_index

    def is_overloaded(self) -> bool:
        """Tell whether too much is waiting for a majority."""
        return self._uncommitted_bytes > UNCOMMITTED_BYTES

    def is_nearly_even(self, member: Member) -> bool:
        """Tell whether a member lacks so little that it may soon lead."""
        progress = self.peers.get(member)
        if progress is None or progress.snapshot is not None:
            return False
        return self._replica.log.last_index - progress.match_index <= NEARLY_ENTRIES

    def flush(self, now: float) -> None:
        """Send what each replica lacks, commit, and plan the commit notice."""
        for member in tuple(self.peers):
            self._replicate(member, now)
        self._commit(now)

    def _replicate(self, member: Member, now: float) -> None:
        replica = self._replica
        progress = self.peers[member]
        if progress.is_in_flight or member not in replica.picture.alive:
            return
        if member in self.departing:
            self._send_retire(member, progress, now)
        elif progress.snapshot or progress.next_index <= replica.log.base_index:
            self._send_chunk(member, progress, now)
        elif progress.next_index <= replica.log.last_index or progress.must_be_heard:
            self._send_append(member, progress, now)
        elif not self._is_told(progress):
            replica.timers.setdefault(Timer.COMMIT_NOTICE, now + COMMIT_NOTICE_SECONDS)

    def _is_told(self, progress: Progress) -> bool:
        """Tell whether a replica knows what is committed and may be discarded."""
        replica = self._replica
        return (
            progress.told.commit_index >= replica.commit_index
            and progress.told.discard_index >= replica.log.base_index
        )

    def _send_append(self, member: Member, progress: Progress, now: float) -> None:
        replica = self._replica
        log = replica.log
        previous_index = progress.next_index - 1
        previous_epoch = log.epoch_at(previous_index)
        assert previous_epoch is not None  # next_index is behind the log's base
        self._round += 1
        message = Append(
            replica.partition,
            replica.epoch,
            self._round,
            previous_index,
            previous_epoch,
            replica.commit_index,
            log.base_index,
            replica.archived,
            log.entries_from(progress.next_index, ROUND_BYTES),
        )
        progress.telling = Told(replica.commit_index, log.base_index)
        progress.sent(self._round, now)
        replica.send(member, message)

    def _send_chunk(self, member: Member, progress: Progress, now: float) -> None:
        replica = self._replica
        if progress.snapshot is None:
            progress.snapshot = SnapshotSender(self._current_snapshot())
        self._round += 1
        progress.sent(self._round, now)
        chunk = progress.snapshot.chunk(replica.partition, replica.epoch, self._round)
        replica.send(member, chunk)

    def _current_snapshot(self) -> Snapshot:
        """Give a snapshot behind which the log still follows."""
        snapshot = self._snapshot
        if snapshot is None or snapshot.index < self._replica.log.base_index:
            snapshot = self._replica.take_snapshot()
            self._snapshot = snapshot
        return snapshot

    def _send_retire(self, member: Member, progress: Progress, now: float) -> None:
        replica = self._replica
        configuration = replica.log.configuration_at(replica.commit_index)
        self._round += 1
        progress.sent(self._round, now)
        retire = Retire(replica.partition, replica.epoch, self._round, configuration)
        replica.send(member, retire)

    def on_append_reply(self, sender: Member, reply: AppendReply, now: float) -> None:
        """Note what a replica holds, commit, and go on."""
        progress = self._progress_of(sender, reply)
        if progress is None:
            return
        is_awaited = progress.answered(reply.round_number)
        if sender in self.departing:
            if is_awaited:
                self.drop_peer(sender)
            return
        self._confirmation.hear(sender, reply.round_number)
        if is_awaited and reply.accepted:
            progress.told = progress.telling
        if reply.accepted:
            progress.accepted(reply.index)
        elif is_awaited and reply.needs_snapshot:
            progress.snapshot = SnapshotSender(self._current_snapshot())
        elif is_awaited:
            progress.refused(reply.index)
        self._commit(now)
        self._replicate(sender, now)

    def _progress_of(
        self, sender: Member, reply: AppendReply | SnapshotReply
    ) -> Progress | None:
        """Give the progress to which an answer applies, if it still does."""
        replica = self._replica
        if reply.epoch > replica.epoch:
            replica.adopt_epoch(reply.epoch)
            return None
        if not replica.is_leading or reply.epoch < replica.epoch:
            return None
        progress = self.peers.get(sender)
        if progress is None or not progress.counts(reply.round_number):
            return None
        return progress

    def on_snapshot_reply(
        self, sender: Member, reply: SnapshotReply, now: float
    ) -> None:
        """Send the next chunk, or go on with the log."""
        progress = self._progress_of(sender, reply)
        if progress is None or not progress.answered(reply.round_number):
            return
        sending = progress.snapshot
        if sending is None or reply.index != sending.snapshot.index:
            return
        sending.received = reply.received
        if reply.received >= len(sending.snapshot.data):
            progress.snapshot = None
            progress.accepted(reply.index)
            self._release_snapshot()
        self._replicate(sender, now)

    def _release_snapshot(self) -> None:
        if all(progress.snapshot is None for progress in self.peers.values()):
            self._snapshot = None

    def _commit(self, now: float) -> None:
        replica = self._replica
        index = committed_index(
            replica.log, self._held(), replica.epoch, replica.commit_index
        )
        if index > replica.commit_index:
            self._uncommitted_bytes -= replica.log.command_bytes(
                replica.commit_index, index
            )
            replica.commit_through(index)
            replica.timers.setdefault(Timer.COMMIT_NOTICE, now + COMMIT_NOTICE_SECONDS)
            self._discard()
        self._confirm()

    def _held(self) -> list[int]:
        """Give what each member of the configuration holds."""
        replica = self._replica
        held: list[int] = []
        for member in replica.log.configuration.members:
            if member == replica.own:
                held.append(replica.log.last_index)
            else:
                held.append(self.peers[member].match_index)
        return held

    def archived(self, position: ArchivePosition, now: float) -> None:
        """Note how far the log service has the entries."""
        replica = self._replica
        replica.archived = position
        if position.index >= replica.log.base_index:
            self.keeps_archive_backlog = True
        self._discard()
        replica.timers.setdefault(Timer.COMMIT_NOTICE, now + COMMIT_NOTICE_SECONDS)

    def drop_archive_backlog(self) -> None:
        """Forget entries that are not archived; a snapshot will take their place."""
        self.keeps_archive_backlog = False
        self._discard()

    def _discard(self) -> None:
        """Forget entries that are applied, archived and held by all members."""
        replica = self._replica
        floor = replica.applied_index
        if self.keeps_archive_backlog:
            floor = min(floor, replica.archived.index)
        for member, progress in self.peers.items():
            if member in self.departing:
                continue
            is_alive = member in replica.picture.alive
            limit = LOG_BYTES_FOR_LIVE if is_alive else LOG_BYTES
            if replica.log.size_bytes < limit:
                floor = min(floor, self._needed_from(progress))
        if floor >= replica.log.base_index + DISCARD_ENTRIES:
            replica.log.discard_through(floor)

    def _needed_from(self, progress: Progress) -> int:
        if progress.snapshot is not None:
            return progress.snapshot.snapshot.index
        return progress.match_index

    def _confirm(self) -> None:
        """Serve the state once it is whole and a majority still follows."""
        replica = self._replica
        if replica.role.role is not Role.UNCONFIRMED:
            return
        is_followed = self._confirmation.is_whole(replica.log.configuration)
        if not is_followed or not self.has_committed_own_entry:
            return
        replica.role.moves.confirm()
        replica.effects.append(LeadershipChanged(replica.epoch))

    def doubt(self, now: float) -> None:
        """After a pause, ask a majority before serving the state again."""
        replica = self._replica
        if replica.role.role is Role.LEADER:
            replica.effects.append(LeadershipChanged(None))
        replica.role.moves.doubt()
        self._confirmation = Confirmation(replica.own, self._round + 1)
        for progress in self.peers.values():
            progress.ask_again()
        self.flush(now)

    def on_tick(self, now: float) -> None:
        """Repeat rounds that had no answer in time."""
        for member, progress in tuple(self.peers.items()):
            if progress.resend_at is not None and progress.resend_at <= now:
                progress.unanswered()
                self._replicate(member, now)

    def tell_indexes(self, now: float) -> None:
        """Let followers apply and discard, if nothing else told them they may."""
        for member, progress in self.peers.items():
            if not self._is_told(progress) and self._is_even(progress):
                progress.must_be_heard = True
                self._replicate(member, now)

    def _is_even(self, progress: Progress) -> bool:
        return progress.snapshot is None and not progress.is_in_flight

    def next_resend(self) -> float | None:
        """Give the time of the next repetition."""
        times = [p.resend_at for p in self.peers.values() if p.resend_at is not None]
        return min(times, default=None)
