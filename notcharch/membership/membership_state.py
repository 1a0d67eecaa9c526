"""The membership state of one process: all records, suspicions and queued gossip."""

import msgspec

from notcharch.membership.effects import (
    Effect,
    RecordChanged,
    SelfRefuted,
    Superseded,
)
from notcharch.membership.gossip import GossipQueue
from notcharch.membership.members import MemberTable
from notcharch.membership.records import is_live, record_hash, supersedes
from notcharch.membership.suspicions import Suspicions
from notcharch.values.identifiers import DaemonName
from notcharch.wire.messages.membership import MemberRecord, MemberStatus


class MembershipState:
    """Merges claims; each change is gossiped and returned as an effect."""

    def __init__(self, local_record: MemberRecord, suspicion_seconds: float) -> None:
        """Start with the record of this process only."""
        self._local_record = local_record
        self._table = MemberTable()
        self._gossip = GossipQueue()
        self._suspicions = Suspicions(suspicion_seconds)
        self._superseded_by: int | None = None
        self.view_changed_at = 0.0
        self._gossip.add(local_record)

    @property
    def local_record(self) -> MemberRecord:
        """The record of this process."""
        return self._local_record

    @property
    def view_hash(self) -> int:
        """The hash of all live members, including this one."""
        return self._table.view_hash ^ record_hash(self._local_record)

    def records(self) -> tuple[MemberRecord, ...]:
        """Return every record, this process's first."""
        return (self._local_record, *self._table.records())

    def record_of(self, daemon: DaemonName) -> MemberRecord | None:
        """Return the record of another daemon, or None if it is unknown."""
        return self._table.get(daemon)

    def other_live_records(self) -> tuple[MemberRecord, ...]:
        """Return the records of the other alive or suspected processes."""
        return self._table.live()

    def take_gossip(self, count: int) -> tuple[MemberRecord, ...]:
        """Return the records to gossip in one datagram."""
        return self._gossip.take(count, len(self._table.live()) + 1)

    def merge(self, record: MemberRecord, now: float) -> list[Effect]:
        """Merge a claim about any daemon, including this one.

        A received claim that a live member is dead only marks it suspected: each
        process declares a member dead only after probing it itself without success.
        """
        if record.member.daemon == self._local_record.member.daemon:
            return self._merge_local(record, now)
        before = self._table.get(record.member.daemon)
        was_live = before is not None and is_live(before)
        if was_live and record.status is MemberStatus.DEAD:
            record = _with_status(record, MemberStatus.SUSPECT)
        return self._apply(before, record, now)

    def _apply(
        self, before: MemberRecord | None, record: MemberRecord, now: float
    ) -> list[Effect]:
        previous_hash = self._table.view_hash
        if not self._table.merge(record, now):
            return []
        if self._table.view_hash != previous_hash:
            self.view_changed_at = now
        self._gossip.add(record)
        self._update_suspicion(before, record, now)
        return [RecordChanged(before, record)]

    def suspect(self, daemon: DaemonName, now: float) -> list[Effect]:
        """Mark an alive member as suspected because it does not respond."""
        record = self._table.get(daemon)
        if record is None or record.status is not MemberStatus.ALIVE:
            return []
        return self.merge(_with_status(record, MemberStatus.SUSPECT), now)

    def expire_suspicions(self, now: float) -> list[Effect]:
        """Declare suspected members dead whose suspicion was not refuted in time."""
        effects: list[Effect] = []
        for member in self._suspicions.take_expired(now):
            record = self._table.get(member.daemon)
            if record is not None and record.status is MemberStatus.SUSPECT:
                dead = _with_status(record, MemberStatus.DEAD)
                effects += self._apply(record, dead, now)
        self._table.purge_dead(now)
        return effects

    def suspects_to_probe(self, now: float) -> list[MemberRecord]:
        """Return the suspected members that are due for a direct probe."""
        members = self._suspicions.take_due_probes(now)
        records = [self._table.get(member.daemon) for member in members]
        return [record for record in records if record is not None]

    def next_suspicion_time(self) -> float | None:
        """Return when a suspicion next needs a probe or expires, or None."""
        return self._suspicions.next_time()

    def is_conflicting(self, record: MemberRecord) -> bool:
        """Return whether a claim says that a process recorded dead here is live."""
        known = self._table.get(record.member.daemon)
        return (
            known is not None
            and known.status is MemberStatus.DEAD
            and known.member == record.member
            and is_live(record)
            and not supersedes(record, known)
        )

    def restart_suspicions(self, now: float) -> None:
        """Restart the timeouts of all suspicions, after a stall of this process."""
        self._suspicions.restart(now)

    def set_leaving(self, leaving: bool, now: float) -> None:
        """Announce that this process is about to leave, or no longer is."""
        if self._local_record.leaving is not leaving:
            changed = msgspec.structs.replace(self._local_record, leaving=leaving)
            self._publish_local(changed, self._local_record.refutations, now)

    def mark_left(self) -> None:
        """Set the final status of this process: it has left."""
        self._local_record = _with_status(self._local_record, MemberStatus.LEFT)

    def _merge_local(self, record: MemberRecord, now: float) -> list[Effect]:
        local = self._local_record
        if record.member.incarnation > local.member.incarnation:
            return self._report_superseded(record)
        if local.status is MemberStatus.LEFT or not supersedes(record, local):
            return []
        self._publish_local(local, record.refutations, now)
        return [SelfRefuted(self._local_record.refutations)]

    def _publish_local(
        self, record: MemberRecord, refutations: int, now: float
    ) -> None:
        self._local_record = msgspec.structs.replace(
            record, refutations=refutations + 1
        )
        self._gossip.add(self._local_record)
        self.view_changed_at = now

    def _report_superseded(self, record: MemberRecord) -> list[Effect]:
        if self._superseded_by == record.member.incarnation:
            return []
        self._superseded_by = record.member.incarnation
        return [Superseded(self._local_record.member, record.member)]

    def _update_suspicion(
        self, before: MemberRecord | None, after: MemberRecord, now: float
    ) -> None:
        if before is not None:
            self._suspicions.stop(before.member)
        if after.status is MemberStatus.SUSPECT:
            self._suspicions.start(after.member, now)


def _with_status(record: MemberRecord, status: MemberStatus) -> MemberRecord:
    return msgspec.structs.replace(record, status=status)
