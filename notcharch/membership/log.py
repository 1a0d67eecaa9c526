"""Emits the log events for the effects of the failure detector."""

from notcharch.events.event import emit
from notcharch.events.membership import (
    MemberDead,
    MemberJoined,
    MemberLeaving,
    MemberLeft,
    MemberRestored,
    MemberSuspected,
    ProcessStalled,
    ProcessSuperseded,
    SuspicionRefuted,
)
from notcharch.membership.effects import (
    RecordChanged,
    SelfRefuted,
    Stalled,
    Superseded,
)
from notcharch.membership.records import is_live
from notcharch.wire.messages.membership import MemberRecord, MemberStatus


def log_effect(effect: SelfRefuted | Stalled | Superseded) -> None:
    """Log an effect that concerns this process."""
    if isinstance(effect, SelfRefuted):
        emit(SuspicionRefuted(effect.refutations))
    elif isinstance(effect, Stalled):
        emit(ProcessStalled(effect.seconds))
    else:
        local, other = effect.local, effect.other
        emit(ProcessSuperseded(local.daemon, local.incarnation, other.incarnation))


def log_change(change: RecordChanged) -> None:
    """Log the new status of another process."""
    daemon, incarnation = change.after.member.daemon, change.after.member.incarnation
    status = change.after.status
    if status is MemberStatus.SUSPECT:
        emit(MemberSuspected(daemon, incarnation))
    elif status is MemberStatus.DEAD:
        emit(MemberDead(daemon, incarnation))
    elif status is MemberStatus.LEFT:
        emit(MemberLeft(daemon, incarnation))
    else:
        _log_alive(change.before, change.after)


def _log_alive(before: MemberRecord | None, after: MemberRecord) -> None:
    daemon, incarnation = after.member.daemon, after.member.incarnation
    if before is None or before.member != after.member:
        emit(MemberJoined(daemon, incarnation, after.zone))
    elif not is_live(before):
        emit(MemberRestored(daemon, incarnation))
    if after.leaving and (before is None or not before.leaving):
        emit(MemberLeaving(daemon, incarnation))
