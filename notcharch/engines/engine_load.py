"""What a steward knows of its engine's load, which it reads late.

The steward's own grants are exact; the report tells of work that came from
elsewhere, such as the grants of an earlier steward. Because the report lags, a
run counts as foreign only if it is more than the steward had out at any moment
of the last `REPORT_LAG_SECONDS`.
"""

from collections import deque

import msgspec

from notcharch.clients.ports import EngineLoad, MachineState
from notcharch.scheduling.waits import MeanOccupancy, SlotLoad

REPORT_LAG_SECONDS = 5.0
RUNS_KEPT_SECONDS = 60.0
FAILED_READS_TO_DOUBT = 2
DEFAULT_HOLD_SECONDS = 2.0
DEFAULT_PREFILL_TOKENS_PER_SECOND = 4000.0


class _GrantCount(msgspec.Struct, frozen=True):
    """How many grants were out from a moment on."""

    since: float
    count: int


class _RunCount(msgspec.Struct, frozen=True):
    """How many runs a report had, and when it was read."""

    read_at: float
    runs: int


class KnownLoad:
    """Slots in use, expected holds and reachability of one engine."""

    def __init__(self, slots: int) -> None:
        """Begin with the machine list's number of slots (0 if it has none)."""
        self._listed_slots = slots
        self._report: EngineLoad | None = None
        self._report_at: float | None = None
        self._failed_reads = 0
        self._granted = 0
        self._counts: deque[_GrantCount] = deque()
        self._foreign = 0
        self._runs: deque[_RunCount] = deque()
        self._hold = MeanOccupancy()

    @property
    def report(self) -> EngineLoad | None:
        """The newest report, or None before the first."""
        return self._report

    @property
    def slots(self) -> int:
        """How many calls the engine runs at once."""
        if self._report is not None and self._report.slots > 0:
            return self._report.slots
        return max(1, self._listed_slots)

    @property
    def free_slots(self) -> int:
        """How many grants the engine has room for."""
        return max(0, self.slots - self._granted - self._foreign)

    @property
    def reachable(self) -> bool:
        """Whether the engine answered lately, or was not asked yet."""
        return self._failed_reads < FAILED_READS_TO_DOUBT

    @property
    def leaving(self) -> bool:
        """Whether the engine itself says that it is leaving."""
        return self._report is not None and self._report.state != MachineState.LIVE

    @property
    def mean_hold_seconds(self) -> float:
        """How long a call keeps its slot."""
        return self._hold.value(DEFAULT_HOLD_SECONDS)

    @property
    def prefill_tokens_per_second(self) -> float | None:
        """The engine's own figure; None before the first report."""
        return self._report.prefill_tokens_per_second if self._report else None

    @property
    def prefill_rate(self) -> float:
        """The same in tokens per second, with a default before the first report."""
        return self.prefill_tokens_per_second or DEFAULT_PREFILL_TOKENS_PER_SECOND

    def slot_load(self) -> SlotLoad:
        """Give the load as expected waits are computed from it."""
        busy = self._granted + self._foreign
        return SlotLoad(self.slots, busy, self.mean_hold_seconds)

    def age_seconds(self, now: float) -> float:
        """Give the age of the report as read; infinite before the first."""
        return now - self._report_at if self._report_at is not None else float("inf")

    def learn_report(self, report: EngineLoad, now: float) -> bool:
        """Take a report in; False for one that is older than the known one."""
        self._failed_reads = 0
        if not self._is_news(report):
            return False
        self._report = report
        self._report_at = now
        self._forget_old_counts(now)
        greatest = max((entry.count for entry in self._counts), default=0)
        reported = report.running + report.waiting
        self._foreign = max(0, reported - max(greatest, self._granted))
        self._runs.append(_RunCount(now, reported))
        while len(self._runs) > 1 and self._runs[1].read_at <= now - RUNS_KEPT_SECONDS:
            self._runs.popleft()
        return True

    def most_running_since(self, since: float) -> int | None:
        """Give the most runs of any report read since then.

        None if the reports do not reach back so far.
        """
        if not self._runs or self._runs[0].read_at > since:
            return None
        return max(entry.runs for entry in self._runs)

    def read_failed(self) -> None:
        """Note that the engine did not answer."""
        self._failed_reads += 1

    def set_granted(self, granted: int, now: float) -> None:
        """Note how many grants are out from now on."""
        self._granted = granted
        self._counts.append(_GrantCount(now, granted))
        self._forget_old_counts(now)

    def learn_hold(self, held_seconds: float) -> None:
        """Take the time of a finished call in."""
        self._hold.learn(held_seconds)

    def _is_news(self, report: EngineLoad) -> bool:
        """Tell a newer report, also by the clock of an engine that restarted."""
        known = self._report
        if known is None or report.sequence > known.sequence:
            return True
        return report.measured_at > known.measured_at

    def _forget_old_counts(self, now: float) -> None:
        """Keep what was in force within the lag, the last earlier count included."""
        while (
            len(self._counts) > 1 and self._counts[1].since <= now - REPORT_LAG_SECONDS
        ):
            self._counts.popleft()
