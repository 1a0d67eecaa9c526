"""Which records of a partition are old enough to be written again. Pure."""

from collections import deque

import msgspec

from notcharch.journal.renewal import RenewalSchedule


class Segment(msgspec.Struct):
    """Consecutive records that end before an offset."""

    since: float
    """Clock seconds; none of them was appended earlier."""
    end: int
    total_bytes: int
    """Bytes of the partition before `end`, as far as its owner knows."""


class AppendTimes:
    """When the records of one partition were appended, at the earliest."""

    def __init__(self, schedule: RenewalSchedule) -> None:
        """Start without records."""
        self._schedule = schedule
        self._segments: deque[Segment] = deque()
        self._due_offset = 0
        self._opened_at = 0.0
        self._end = 0
        self.total_bytes = 0
        """Bytes that were replayed, then those that were appended as well."""

    def on_replayed(self, end: int, size: int, since: float | None) -> None:
        """Note an entry of an earlier owner, which ends before an offset.

        `since` is None if its record does not tell when it was written.
        """
        self.total_bytes += size
        self._end = end
        last = self._segments[-1] if self._segments else None
        if since is None:
            since = last.since if last is not None else float("-inf")
        if last is not None and last.since == since:
            last.end, last.total_bytes = end, self.total_bytes
            return
        self._segments.append(Segment(since, end, self.total_bytes))

    def begin(self, now: float) -> None:
        """Start to append; no record is older than one that precedes it."""
        since = now
        for segment in reversed(self._segments):
            since = segment.since = min(since, segment.since)
        self._opened_at = now

    def advance(self, now: float, end: int, total_bytes: int) -> None:
        """Note the end of the partition, which this owner's appends have moved."""
        self.total_bytes = total_bytes
        if end > self._end:
            self._segments.append(Segment(self._opened_at, end, total_bytes))
            self._end = end
        self._opened_at = now

    def due_offset(self, now: float) -> int:
        """Return the offset before which records that count are written again."""
        schedule = self._schedule
        oldest = now - schedule.renewal_age_seconds
        behind = self.total_bytes - schedule.max_bytes_behind
        while self._segments and (
            self._segments[0].since <= oldest or self._segments[0].total_bytes <= behind
        ):
            self._due_offset = self._segments.popleft().end
        return self._due_offset
