"""Deliberate breaks of the archive, the claims and the rebuilding of groups."""

from notcharch.replication import arbitration
from notcharch.replication.claims import Claims
from notcharch.replication.group import ReplicaGroup
from tests.stateful.replication.breaks import Break


def _never(*_arguments):
    return False


def _nobody(*_arguments):
    return []


def _claim_at_once(evidence, holders, archive, claim):
    """Rebuild from what this member has, though another one may have more."""
    return claim


async def _lead_without_reading(self, partition, claim, archive):
    """Take an append that was not refused for a claim that was won."""
    self._claiming.add(partition)
    record = self._record(partition, claim, archive)
    await self._append_claim(partition, record, archive)
    self._claiming.discard(partition)
    self._lead(partition, record, archive)


REGION_BREAKS = {
    "rebuild_though_electable": Break(
        arbitration, "_is_electable", _never, found_at=25
    ),
    "forget_members_that_are_not_seen": Break(
        arbitration, "_unseen", _nobody, found_at=339
    ),
    "rebuild_from_a_worse_survivor": Break(
        arbitration, "_by_best", _claim_at_once, found_at=2
    ),
    "lead_without_reading_the_claims": Break(
        Claims, "claim", _lead_without_reading, found_at=19
    ),
    "ignore_the_archive_on_claiming": Break(
        ReplicaGroup, "is_behind", _never, found_at=5
    ),
}
