"""When records that must outlive the retention of a log are written again. Pure.

A log service drops records by age and by the size of their partition. An owner therefore
writes what still counts again, and states from time to time from which offset on the log
holds all of it. The oldest record that such a statement needs is at most one renewal age
old, and older by the time over which many bytes are spread, by the interval of the
statements, by two looks and by two writes. What remains of the retention is the time that
a partition may be without an owner.
"""

import math

import msgspec

WRITE_SECONDS = 1.5
"""Longest time of one write: the time-out of a call to the log service."""
MIN_CHECK_SECONDS = 0.25
MAX_CHECK_SECONDS = 10.0
CHECKS_PER_AGE = 5.0
"""Looks for records to renew within one renewal age."""
MAX_MARK_SECONDS = 60.0
MARK_SHARE = 0.4
"""Interval of the statements, as a share of the renewal age."""
SPREAD_SHARE = 1 / 3
"""Share of the renewal age over which many bytes are spread."""
MAX_AGE_SHARE = 1 / 2
"""Largest renewal age, as a share of the retention."""
MIN_AGE_SHARE = 1 / 10
"""Smallest one: records are not written more often, also if that bridges too little."""
PARTITION_SHARE = 1 / 2
"""Share of a partition's size after whose appending a record is renewed."""
USUAL_ABSENCE_SECONDS = 12.0
ROUNDING_SECONDS = 0.001


class RenewalSchedule(msgspec.Struct, frozen=True):
    """Ages and intervals of the renewal, in seconds."""

    renewal_age_seconds: float
    """Age at which a record is written again."""
    check_seconds: float
    """Interval between looks for such records."""
    mark_seconds: float
    """Interval of the statements about what the log holds."""
    bridged_seconds: float
    """How long a partition may be without an owner before records that count are lost."""
    max_bytes_behind: float
    """A record is also renewed after so many bytes were appended to its partition."""

    @property
    def spread_rounds(self) -> float:
        """Looks over which many bytes are spread."""
        rounds = self.renewal_age_seconds / self.check_seconds
        return max(1.0, rounds * SPREAD_SHARE)


def renewal_schedule(
    retention_seconds: float,
    partition_bytes: float,
    absence_seconds: float = USUAL_ABSENCE_SECONDS,
) -> RenewalSchedule:
    """Return the schedule for a log that keeps records for `retention_seconds`.

    `absence_seconds` is how long a partition may have to be without an owner. A short
    retention can't bridge that: `bridged_seconds` is then shorter.
    """
    available = retention_seconds - absence_seconds - 2 * WRITE_SECONDS
    share = 1.0 + SPREAD_SHARE + MARK_SHARE
    age = (available - 2 * MAX_CHECK_SECONDS) / share
    if age < MAX_CHECK_SECONDS * CHECKS_PER_AGE:
        age = available / (share + 2 / CHECKS_PER_AGE)
    age = max(age, retention_seconds * MIN_AGE_SHARE)
    age = min(age, retention_seconds * MAX_AGE_SHARE)
    check = max(MIN_CHECK_SECONDS, min(MAX_CHECK_SECONDS, age / CHECKS_PER_AGE))
    mark = min(MAX_MARK_SECONDS, age * MARK_SHARE)
    needed = age * (1.0 + SPREAD_SHARE) + mark + 2 * check + 2 * WRITE_SECONDS
    return RenewalSchedule(
        renewal_age_seconds=age,
        check_seconds=check,
        mark_seconds=mark,
        bridged_seconds=retention_seconds - needed,
        max_bytes_behind=partition_bytes * PARTITION_SHARE,
    )


def retention_findings(
    schedule: RenewalSchedule, retention_seconds: float, absence_seconds: float
) -> list[str]:
    """Return which promises a retention can't keep; none if it keeps all."""
    if schedule.bridged_seconds >= absence_seconds - ROUNDING_SECONDS:
        return []
    return [
        f"a retention of {retention_seconds:g} s bridges a loss of all owners for "
        f"{max(schedule.bridged_seconds, 0.0):.1f} s of {absence_seconds:g} s: after a longer "
        "one, turns and budgets of which records may be lost get 503 until their own "
        "retention is over"
    ]


NO_RENEWAL = renewal_schedule(math.inf, math.inf)
"""Of a log that drops nothing."""
