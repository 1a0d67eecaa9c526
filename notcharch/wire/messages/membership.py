"""Membership records, and the full exchange of them over a peer connection.

The frequent messages of membership are datagrams; see
`notcharch.membership.datagrams`.
"""

import enum

import msgspec

from notcharch.values.identifiers import Member, ZoneName
from notcharch.wire.messages.base import Message


class MemberStatus(enum.IntEnum):
    """What is claimed of a process; a higher value wins at equal refutations."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    """Believed dead; the process itself may still refute it."""

    LEFT = 3
    """The process said, as its last word, that it stops; never refuted."""


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A claim about one process, as it is spread between members.

    `refutations` is how often the process has contradicted a suspicion; only
    the process itself raises it. `address` is its peer `host:port`.
    """

    member: Member
    zone: ZoneName
    address: str
    refutations: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    leaving: bool = False


class ExchangeMembers(Message, frozen=True):
    """Give all of the sender's records and ask for all of the receiver's.

    Reply: `MemberRecords`.
    """

    records: tuple[MemberRecord, ...]


class MemberRecords(Message, frozen=True):
    """All records of a member, after it took in those of the question."""

    records: tuple[MemberRecord, ...]
