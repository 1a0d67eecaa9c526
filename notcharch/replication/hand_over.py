"""A planned stop: nothing is led, replicated or unarchived here when it ends."""

import msgspec
from twisted.internet.defer import Deferred

from notcharch.replication.archiver import Archiver
from notcharch.replication.group import ReplicaGroup
from notcharch.replication.host import GroupHost
from notcharch.replication.pictures import Pictures


class HandOverReport(msgspec.Struct, frozen=True):
    """What was left when the hand-over ended; zeros when it was whole.

    `unarchived` counts led partitions that have commands which neither another
    daemon nor the log service holds.
    """

    led: int
    replicated: int
    unarchived: int


class HandOver:
    """Watches a planned stop until everything is elsewhere, or time is up."""

    def __init__(
        self, host: GroupHost, pictures: Pictures, archiver: Archiver, deadline: float
    ) -> None:
        """Wait until `deadline` at most, in seconds of the clock."""
        self._host = host
        self._pictures = pictures
        self._archiver = archiver
        self._deadline = deadline
        self.done: Deferred[HandOverReport] = Deferred()

    def look(self, now: float) -> bool:
        """Fire `done` when the hand-over is whole or late; tell whether it fired."""
        report = self._report()
        if self._is_whole(report) or now >= self._deadline:
            self.done.callback(report)
            return True
        return False

    def _is_whole(self, report: HandOverReport) -> bool:
        if not self._pictures.has_other_staying():
            return report.unarchived == 0
        return report.led == 0 and report.replicated == 0

    def _report(self) -> HandOverReport:
        led = [group for group in self._host.groups() if group.is_leading]
        return HandOverReport(
            len(led),
            sum(group.holds_state for group in self._host.groups()),
            sum(self._is_unarchived(group) for group in led),
        )

    def _is_unarchived(self, group: ReplicaGroup) -> bool:
        return not self._archiver.is_drained(group)
