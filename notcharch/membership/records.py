"""Which of two claims about a daemon holds."""

import xxhash

from notcharch.wire.messages.membership import MemberRecord, MemberStatus

LIVING = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def supersedes(new: MemberRecord, old: MemberRecord) -> bool:
    """Tell whether `new` replaces `old`; both are about the same daemon.

    A later process wins over every claim about an earlier one. Of one process,
    its own last word wins, then the higher refutation, then the worse status.
    """
    return _order(new) > _order(old)


def is_living(record: MemberRecord) -> bool:
    """Tell whether the process counts as alive; a suspected one still does."""
    return record.status in LIVING


def hash_of(record: MemberRecord) -> int:
    """Hash what must agree between the views of two members, as 32 bits."""
    member = record.member
    text = f"{member.daemon} {member.incarnation} {record.refutations}"
    return xxhash.xxh32_intdigest(text.encode())


def _order(record: MemberRecord) -> tuple[int, bool, int, int]:
    has_left = record.status is MemberStatus.LEFT
    return record.member.incarnation, has_left, record.refutations, record.status
