"""Queue of records to gossip, each a bounded number of times."""

import math

from notcharch.values.identifiers import DaemonName
from notcharch.wire.messages.membership import MemberRecord

SPREAD_FACTOR = 3
"""A record is sent this many times `ceil(log2(members + 1))`."""


class GossipQueue:
    """The latest record of each daemon that other members may not have received."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._records: dict[DaemonName, MemberRecord] = {}
        self._sent: dict[DaemonName, int] = {}

    def __len__(self) -> int:
        """Return the number of records still to be sent."""
        return len(self._records)

    def add(self, record: MemberRecord) -> None:
        """Queue a record; it replaces an earlier record of the same daemon."""
        self._records[record.member.daemon] = record
        self._sent[record.member.daemon] = 0

    def take(self, count: int, member_count: int) -> tuple[MemberRecord, ...]:
        """Return up to `count` records for one datagram, the least often sent first."""
        chosen = sorted(self._sent, key=self._sent.__getitem__)[:count]
        records = tuple(self._records[daemon] for daemon in chosen)
        limit = SPREAD_FACTOR * math.ceil(math.log2(member_count + 1))
        for daemon in chosen:
            self._sent[daemon] += 1
            if self._sent[daemon] >= limit:
                del self._sent[daemon]
                del self._records[daemon]
        return records
