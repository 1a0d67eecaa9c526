"""The records of the other daemons, merged from all claims about them."""

from notcharch.membership.records import hash_of, is_living, supersedes
from notcharch.values.identifiers import DaemonName
from notcharch.wire.messages.membership import MemberRecord

DEAD_RETENTION_SECONDS = 3600.0
"""How long the record of a dead process is kept against late claims."""


class MemberTable:
    """The best record of each other daemon, and a hash over the living ones."""

    def __init__(self) -> None:
        """Begin empty."""
        self._records: dict[DaemonName, MemberRecord] = {}
        self._changed_at: dict[DaemonName, float] = {}
        self._view = 0

    @property
    def view(self) -> int:
        """The hash of the living members; equal views have equal hashes."""
        return self._view

    def get(self, daemon: DaemonName) -> MemberRecord | None:
        """Give the record of a daemon."""
        return self._records.get(daemon)

    def records(self) -> tuple[MemberRecord, ...]:
        """Give all records, dead ones included."""
        return tuple(self._records.values())

    def living(self) -> tuple[MemberRecord, ...]:
        """Give the records of processes that count as alive."""
        return tuple(r for r in self._records.values() if is_living(r))

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Take in a claim; tells whether it changed anything.

        The death of a process that was never known alive is not kept.
        """
        old = self._records.get(record.member.daemon)
        if old is None and not is_living(record):
            return False
        if old is not None and not supersedes(record, old):
            return False
        self._replace(old, record)
        self._changed_at[record.member.daemon] = now
        return True

    def drop_old_dead(self, now: float) -> None:
        """Forget processes that have been dead for long."""
        for daemon, record in list(self._records.items()):
            age = now - self._changed_at[daemon]
            if not is_living(record) and age > DEAD_RETENTION_SECONDS:
                del self._records[daemon]
                del self._changed_at[daemon]

    def _replace(self, old: MemberRecord | None, new: MemberRecord) -> None:
        if old is not None and is_living(old):
            self._view ^= hash_of(old)
        if is_living(new):
            self._view ^= hash_of(new)
        self._records[new.member.daemon] = new
