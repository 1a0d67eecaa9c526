"""What a soak saw, and its verdict."""

import msgspec

from deploy.soak.ends import ProcessEnd
from deploy.soak.observations import Violation
from deploy.soak.processor_waits import ProcessorWait

RECOVERED_SHARE = 0.98
"""Of the requests in the second half of the calm: 0.986 was the least of 30 runs, at a load
of 22 on 8 processors, and 1 that of most."""


class SoakReport(msgspec.Struct, frozen=True):
    """What a soak saw."""

    seed: int
    requests: int
    served: int
    runs: int
    faults: int
    calm_served: int
    calm_requests: int
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
    slowest_ready_seconds: float
    """The longest time from the end of the last cause until a daemon was ready."""
    longest_pause_seconds: float
    """By how much a check of the soak came too late: its store and engines stood still."""
    processor_waits: list[ProcessorWait]
    """Waits for a processor: the machine had too few."""
    resumed: int
    """Streams that callers took up again."""
    went_on: int
    """Those of them that brought an event."""
    ended_under: list[int]
    """How many engines ended under each deadly request."""
    violations: list[Violation]

    @property
    def keeps_promises(self) -> bool:
        """Whether every promise held and the system recovered."""
        share = self.calm_served / max(self.calm_requests, 1)
        return not self.violations and not self.own_ends and share >= RECOVERED_SHARE

    @property
    def verdict(self) -> str:
        """Return the outcome in words."""
        if not self.keeps_promises:
            return "broken"
        if self.ended_before_program_ms:
            count = len(self.ended_before_program_ms)
            return f"kept, but for a known limit: {count} ends before the program"
        return "clean"
