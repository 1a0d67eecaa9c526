"""Whether a replayed journal may lack turns that still count. Pure.

The log service drops the oldest records by age, which owners prevent for what still counts
by writing it again, and by the size of a partition, which they can't prevent.
"""

import math

CLOCK_ERROR_SECONDS = 10.0
"""How far apart the clocks of two daemons may be, with some margin."""


class JournalHistory:
    """What a replay shows about the records that the log service dropped."""

    def __init__(self, log_retention_seconds: float = math.inf) -> None:
        """Start before the first record; the log service drops records of that age."""
        self._log_retention_seconds = log_retention_seconds
        self._is_cut = False
        self._oldest_written_at: int | None = None
        """Unix time of the first record after the cut."""
        self._unreadable_before: int | None = None
        """Unix time before which a record was written that can't be read."""

    def on_cut(self) -> None:
        """Note that the records before the next one are not stored any more."""
        self._is_cut = True
        self._oldest_written_at = None

    def on_unreadable(self, wall_time: int) -> None:
        """Note that a record can't be read, at any time before `wall_time`."""
        self._unreadable_before = wall_time

    def on_record(self, written_at: int) -> None:
        """Note when a record was written; 0 if it does not tell."""
        if self._oldest_written_at is None and written_at:
            self._oldest_written_at = written_at

    def may_lack(self, wall_time: int, keep_seconds: float) -> bool:
        """Return whether a missing record may be younger than `keep_seconds`.

        A cut at the log's own retention lacks nothing: what counts was written again.
        """
        if self._unreadable_before is not None:
            unreadable_age = wall_time - self._unreadable_before
            if unreadable_age < keep_seconds + CLOCK_ERROR_SECONDS:
                return True
        if not self._is_cut or self._oldest_written_at is None:
            return False
        age = wall_time - self._oldest_written_at
        return age < min(
            keep_seconds + CLOCK_ERROR_SECONDS,
            self._log_retention_seconds - CLOCK_ERROR_SECONDS,
        )
