"""Table of the records of the other daemons, merged from all claims about them."""

from notcharch.membership.records import is_live, record_hash, supersedes
from notcharch.values.identifiers import DaemonName
from notcharch.wire.messages.membership import MemberRecord

DEAD_RETENTION_SECONDS = 3600.0
"""How long the record of a dead process is kept to recognize late claims about it."""


class MemberTable:
    """The newest record of each other daemon, and a hash of the live ones."""

    def __init__(self) -> None:
        """Start with an empty table."""
        self._records: dict[DaemonName, MemberRecord] = {}
        self._changed_at: dict[DaemonName, float] = {}
        self._view_hash = 0

    @property
    def view_hash(self) -> int:
        """The hash of the live members; equal views have equal hashes."""
        return self._view_hash

    def get(self, daemon: DaemonName) -> MemberRecord | None:
        """Return the record of a daemon, or None if it is unknown."""
        return self._records.get(daemon)

    def records(self) -> tuple[MemberRecord, ...]:
        """Return all records, including those of dead processes."""
        return tuple(self._records.values())

    def live(self) -> tuple[MemberRecord, ...]:
        """Return the records of alive and suspected processes."""
        return tuple(r for r in self._records.values() if is_live(r))

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Merge a claim; return whether it changed anything.

        A claim that an unknown process is dead is not stored.
        """
        old = self._records.get(record.member.daemon)
        if old is None and not is_live(record):
            return False
        if old is not None and not supersedes(record, old):
            return False
        self._replace(old, record)
        self._changed_at[record.member.daemon] = now
        return True

    def purge_dead(self, now: float) -> None:
        """Remove the records of processes that died `DEAD_RETENTION_SECONDS` ago."""
        for daemon, record in list(self._records.items()):
            age = now - self._changed_at[daemon]
            if not is_live(record) and age > DEAD_RETENTION_SECONDS:
                del self._records[daemon]
                del self._changed_at[daemon]

    def _replace(self, old: MemberRecord | None, new: MemberRecord) -> None:
        if old is not None and is_live(old):
            self._view_hash ^= record_hash(old)
        if is_live(new):
            self._view_hash ^= record_hash(new)
        self._records[new.member.daemon] = new
