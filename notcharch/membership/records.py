"""Precedence between claims about the same daemon."""

import xxhash

from notcharch.wire.messages.membership import MemberRecord, MemberStatus

LIVE_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def supersedes(new: MemberRecord, old: MemberRecord) -> bool:
    """Return whether `new` replaces `old`; both are about the same daemon.

    A newer process takes precedence over every claim about an older one. For one
    process, LEFT wins, then the higher refutation number, then the worse status.
    """
    return _precedence(new) > _precedence(old)


def is_live(record: MemberRecord) -> bool:
    """Return whether the process is alive or only suspected."""
    return record.status in LIVE_STATUSES


def record_hash(record: MemberRecord) -> int:
    """Return a 32-bit hash of the fields on which the views of members must agree."""
    member = record.member
    text = f"{member.daemon} {member.incarnation} {record.refutations}"
    return xxhash.xxh32_intdigest(text.encode())


def _precedence(record: MemberRecord) -> tuple[int, bool, int, int]:
    has_left = record.status is MemberStatus.LEFT
    return record.member.incarnation, has_left, record.refutations, record.status
