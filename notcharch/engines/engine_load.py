"""A steward's view of its engine's load, combining its grants with late reports.

A report also includes runs from elsewhere, such as those granted by an earlier
steward. Because reports lag, runs count as foreign only as far as they exceed
the largest number of grants within the last `REPORT_LAG_SECONDS`.
"""

from collections import deque

import msgspec

from notcharch.clients.ports import EngineLoad, MachineState
from notcharch.scheduling.waits import MeanOccupancy, SlotLoad

REPORT_LAG_SECONDS = 5.0
RUN_HISTORY_SECONDS = 60.0
UNREACHABLE_AFTER_FAILED_READS = 2
DEFAULT_OCCUPANCY_SECONDS = 2.0
DEFAULT_PREFILL_TOKENS_PER_SECOND = 4000.0


class _GrantCount(msgspec.Struct, frozen=True):
    """The number of outstanding grants from `since` on."""

    since: float
    count: int


class _RunCount(msgspec.Struct, frozen=True):
    """The number of runs in a report, with the time it was read."""

    read_at: float
    runs: int


class LoadTracker:
    """Slots in use, mean slot occupancy and reachability of one engine."""

    def __init__(self, slots: int) -> None:
        """Start with the machine list's number of slots (0 if not listed)."""
        self._listed_slots = slots
        self._report: EngineLoad | None = None
        self._report_at: float | None = None
        self._failed_reads = 0
        self._granted = 0
        self._grant_counts: deque[_GrantCount] = deque()
        self._foreign_runs = 0
        self._run_counts: deque[_RunCount] = deque()
        self._occupancy = MeanOccupancy()

    @property
    def report(self) -> EngineLoad | None:
        """The latest report, or None before the first."""
        return self._report

    @property
    def slots(self) -> int:
        """The number of calls that the engine runs concurrently."""
        if self._report is not None and self._report.slots > 0:
            return self._report.slots
        return max(1, self._listed_slots)

    @property
    def free_slots(self) -> int:
        """The number of grants that the engine has capacity for."""
        return max(0, self.slots - self._granted - self._foreign_runs)

    @property
    def reachable(self) -> bool:
        """Whether the latest load reads did not fail too often in succession."""
        return self._failed_reads < UNREACHABLE_AFTER_FAILED_READS

    @property
    def leaving(self) -> bool:
        """Whether the engine reports that it is leaving."""
        return self._report is not None and self._report.state != MachineState.LIVE

    @property
    def mean_occupancy_seconds(self) -> float:
        """The mean time for which a call occupies its slot."""
        return self._occupancy.value(DEFAULT_OCCUPANCY_SECONDS)

    @property
    def prefill_tokens_per_second(self) -> float | None:
        """The rate that the engine reports; None before the first report."""
        return self._report.prefill_tokens_per_second if self._report else None

    @property
    def prefill_rate(self) -> float:
        """`prefill_tokens_per_second` with a default before the first report."""
        return self.prefill_tokens_per_second or DEFAULT_PREFILL_TOKENS_PER_SECOND

    def slot_load(self) -> SlotLoad:
        """Return the load in the form from which expected waits are computed."""
        in_use = self._granted + self._foreign_runs
        return SlotLoad(self.slots, in_use, self.mean_occupancy_seconds)

    def age_seconds(self, now: float) -> float:
        """Return the seconds since the report was read; infinite before the first."""
        return now - self._report_at if self._report_at is not None else float("inf")

    def learn_report(self, report: EngineLoad, now: float) -> bool:
        """Record a report; False if it is not newer than the known one."""
        self._failed_reads = 0
        if not self._is_newer(report):
            return False
        self._report = report
        self._report_at = now
        self._forget_old_counts(now)
        max_granted = max((entry.count for entry in self._grant_counts), default=0)
        reported = report.running + report.waiting
        self._foreign_runs = max(0, reported - max(max_granted, self._granted))
        self._run_counts.append(_RunCount(now, reported))
        while (
            len(self._run_counts) > 1
            and self._run_counts[1].read_at <= now - RUN_HISTORY_SECONDS
        ):
            self._run_counts.popleft()
        return True

    def max_running_since(self, since: float) -> int | None:
        """Return the largest number of runs in the reports read after `since`.

        None if no report is that old.
        """
        if not self._run_counts or self._run_counts[0].read_at > since:
            return None
        return max(entry.runs for entry in self._run_counts)

    def read_failed(self) -> None:
        """Count a failed read of the load."""
        self._failed_reads += 1

    def set_granted(self, granted: int, now: float) -> None:
        """Record the number of outstanding grants from `now` on."""
        self._granted = granted
        self._grant_counts.append(_GrantCount(now, granted))
        self._forget_old_counts(now)

    def learn_occupancy(self, occupied_seconds: float) -> None:
        """Add the slot occupancy of a finished call to the mean."""
        self._occupancy.learn(occupied_seconds)

    def _is_newer(self, report: EngineLoad) -> bool:
        """Return whether a report is newer, also after a restart of the engine."""
        known = self._report
        if known is None or report.sequence > known.sequence:
            return True
        return report.measured_at > known.measured_at

    def _forget_old_counts(self, now: float) -> None:
        """Drop the counts that ended before the last `REPORT_LAG_SECONDS`."""
        while (
            len(self._grant_counts) > 1
            and self._grant_counts[1].since <= now - REPORT_LAG_SECONDS
        ):
            self._grant_counts.popleft()
