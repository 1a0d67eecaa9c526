"""What one process knows of all daemons: its own record, the others', and gossip."""

import msgspec

from notcharch.membership.effects import (
    Effect,
    RecordChanged,
    SelfRefuted,
    Superseded,
)
from notcharch.membership.gossip import GossipQueue
from notcharch.membership.members import MemberTable
from notcharch.membership.records import hash_of, is_living, supersedes
from notcharch.membership.suspicions import Suspicions
from notcharch.values.identifiers import DaemonName
from notcharch.wire.messages.membership import MemberRecord, MemberStatus


class Knowledge:
    """Merges claims; each change is spread further and given as an effect."""

    def __init__(self, own: MemberRecord, suspicion_seconds: float) -> None:
        """Begin knowing only this process."""
        self._own = own
        self._table = MemberTable()
        self._gossip = GossipQueue()
        self._suspicions = Suspicions(suspicion_seconds)
        self._superseded_by: int | None = None
        self.view_changed_at = 0.0
        self._gossip.add(own)

    @property
    def own(self) -> MemberRecord:
        """This process's record of itself."""
        return self._own

    @property
    def view(self) -> int:
        """The hash over all living members, this one included."""
        return self._table.view ^ hash_of(self._own)

    def records(self) -> tuple[MemberRecord, ...]:
        """Give every record, this process's first."""
        return (self._own, *self._table.records())

    def record_of(self, daemon: DaemonName) -> MemberRecord | None:
        """Give the record of another daemon."""
        return self._table.get(daemon)

    def living_others(self) -> tuple[MemberRecord, ...]:
        """Give the records of the other processes that count as alive."""
        return self._table.living()

    def take_gossip(self, count: int) -> tuple[MemberRecord, ...]:
        """Give records to spread on one datagram."""
        return self._gossip.take(count, len(self._table.living()) + 1)

    def merge(self, record: MemberRecord, now: float) -> list[Effect]:
        """Take in a claim about any daemon, this one included.

        The claim that a living member is dead only makes it suspected here: each
        process buries by its own suspicion alone, after asking the member itself.
        """
        if record.member.daemon == self._own.member.daemon:
            return self._merge_own(record, now)
        before = self._table.get(record.member.daemon)
        is_held_alive = before is not None and is_living(before)
        if is_held_alive and record.status is MemberStatus.DEAD:
            record = _with_status(record, MemberStatus.SUSPECT)
        return self._take(before, record, now)

    def _take(
        self, before: MemberRecord | None, record: MemberRecord, now: float
    ) -> list[Effect]:
        view = self._table.view
        if not self._table.merge(record, now):
            return []
        if self._table.view != view:
            self.view_changed_at = now
        self._gossip.add(record)
        self._follow_suspicion(before, record, now)
        return [RecordChanged(before, record)]

    def suspect(self, daemon: DaemonName, now: float) -> list[Effect]:
        """Claim that a living member does not answer."""
        record = self._table.get(daemon)
        if record is None or record.status is not MemberStatus.ALIVE:
            return []
        return self.merge(_with_status(record, MemberStatus.SUSPECT), now)

    def bury_overdue(self, now: float) -> list[Effect]:
        """Turn suspicions that were not refuted in time into deaths."""
        effects: list[Effect] = []
        for member in self._suspicions.due(now):
            record = self._table.get(member.daemon)
            if record is not None and record.status is MemberStatus.SUSPECT:
                dead = _with_status(record, MemberStatus.DEAD)
                effects += self._take(record, dead, now)
        self._table.drop_old_dead(now)
        return effects

    def suspects_to_ask(self, now: float) -> list[MemberRecord]:
        """Give the suspected members that must be asked themselves now."""
        members = self._suspicions.to_ask(now)
        records = [self._table.get(member.daemon) for member in members]
        return [record for record in records if record is not None]

    def next_suspicion_time(self) -> float | None:
        """Give when suspicions need something done, or None."""
        return self._suspicions.next_time()

    def is_contested(self, record: MemberRecord) -> bool:
        """Tell whether a claim says alive of a process that is held dead here."""
        known = self._table.get(record.member.daemon)
        return (
            known is not None
            and known.status is MemberStatus.DEAD
            and known.member == record.member
            and is_living(record)
            and not supersedes(record, known)
        )

    def restart_suspicions(self, now: float) -> None:
        """Give suspected members their whole time again, after a stall."""
        self._suspicions.restart(now)

    def set_leaving(self, leaving: bool, now: float) -> None:
        """Spread that this process is going to leave, or stays after all."""
        if self._own.leaving is not leaving:
            changed = msgspec.structs.replace(self._own, leaving=leaving)
            self._contradict(changed, self._own.refutations, now)

    def set_left(self) -> None:
        """Make this process's last word that it stops."""
        self._own = _with_status(self._own, MemberStatus.LEFT)

    def _merge_own(self, record: MemberRecord, now: float) -> list[Effect]:
        own = self._own
        if record.member.incarnation > own.member.incarnation:
            return self._note_superseded(record)
        if own.status is MemberStatus.LEFT or not supersedes(record, own):
            return []
        self._contradict(own, record.refutations, now)
        return [SelfRefuted(self._own.refutations)]

    def _contradict(self, own: MemberRecord, refutations: int, now: float) -> None:
        self._own = msgspec.structs.replace(own, refutations=refutations + 1)
        self._gossip.add(self._own)
        self.view_changed_at = now

    def _note_superseded(self, record: MemberRecord) -> list[Effect]:
        if self._superseded_by == record.member.incarnation:
            return []
        self._superseded_by = record.member.incarnation
        return [Superseded(self._own.member, record.member)]

    def _follow_suspicion(
        self, before: MemberRecord | None, after: MemberRecord, now: float
    ) -> None:
        if before is not None:
            self._suspicions.stop(before.member)
        if after.status is MemberStatus.SUSPECT:
            self._suspicions.start(after.member, now)


def _with_status(record: MemberRecord, status: MemberStatus) -> MemberRecord:
    return msgspec.structs.replace(record, status=status)
