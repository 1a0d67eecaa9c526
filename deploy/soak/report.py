"""What a soak saw, and its verdict."""

import msgspec

from deploy.soak.ends import ProcessEnd
from deploy.soak.observations import Violation

RECOVERED_SHARE = 0.95
"""Of the requests in the second half of the calm."""
MANY_SECONDS = 5.0
"""A verdict tells of processes that waited for a processor for so long."""


class SoakReport(msgspec.Struct, frozen=True):
    """What a soak saw."""

    seed: int
    requests: int
    served: int
    runs: int
    faults: int
    calm_served: int
    calm_requests: int
    calm_doubted: int
    """Of these, refused for now as their programs' budgets are doubted.

    A known fault (KNOWN-RED.txt): some of these doubts do not end.
    """
    calm_unserved: dict[str, int]
    """What came of the others in the calm."""
    own_ends: list[ProcessEnd]
    ended_before_program_ms: list[int]
    """When a SIGHUP ended a process before its first statement, in ms since the spawn.

    A known limit: nothing of the program runs by then.
    """
    has_usual_ports: bool
    """Whether daemons listen at ports that outgoing connections may have."""
    has_shared_range: bool
    """Whether daemons have one range of ports for their peers."""
    log_retention_seconds: float
    """For how long the store keeps records."""
    slowest_ready_seconds: float
    """The longest time from the end of the last cause until a daemon was ready."""
    longest_pause_seconds: float
    """By how much a check of the soak came too late: its store and engines stood still."""
    processor_waits: dict[str, float]
    """Seconds for which each process waited for a processor, in waits of 0.25 s or more."""
    peak_megabytes: dict[str, int]
    """The most memory that any process of each daemon had."""
    resumed: int
    """Streams that callers took up again."""
    went_on: int
    """Those of them that brought an event."""
    ended_under: list[int]
    """How many engines ended under each deadly request."""
    violations: list[Violation]
    burst_answers: dict[str, int] = {}
    """Requests of bursts by the status of their answer; 0 without one."""

    @property
    def keeps_promises(self) -> bool:
        """Whether every promise held and the system recovered."""
        share = self.calm_served / max(self.calm_requests - self.calm_doubted, 1)
        return not self.violations and not self.own_ends and share >= RECOVERED_SHARE

    @property
    def verdict(self) -> str:
        """Return the outcome in words."""
        if not self.keeps_promises:
            return f"broken{self._starved}"
        if self.ended_before_program_ms:
            count = len(self.ended_before_program_ms)
            return f"kept, but for a known limit: {count} ends before the program"
        if self.calm_doubted:
            return (
                f"kept, but for a known fault: {self.calm_doubted} requests of programs "
                "with doubted budgets"
            )
        return "clean"

    @property
    def _starved(self) -> str:
        """Tell of processes that waited long: that excuses nothing, but has to be known."""
        waited = {
            name: seconds
            for name, seconds in self.processor_waits.items()
            if seconds >= MANY_SECONDS
        }
        return f"; seconds of waiting for a processor: {waited}" if waited else ""
