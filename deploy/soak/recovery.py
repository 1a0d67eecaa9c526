"""Whether each daemon is ready in time after the last cause that kept it from being so."""

import msgspec

from deploy.soak.observations import Violation

RECOVERY_SECONDS = 12.0
"""`bounds.recovery_s` of the platform."""
MEASURING_SECONDS = 1.2
"""Interval of the probes, and of the checks for causes."""


class Recovery:
    """The causes and the readiness of one daemon, as they are seen."""

    def __init__(self, daemon: str, now: float) -> None:
        """Count from `now`, as if a cause had just ended."""
        self._daemon = daemon
        self._caused_at = now
        self._ready_at = now
        self._causes: list[str] = []
        self._is_waiting = True
        self._is_reported = False
        self.last_answer = ""
        """To the last probe; 0 stands for none."""
        self.slowest = 0.0
        """The longest time from the end of the last cause until it was ready."""
        self.violations: list[Violation] = []

    def observe(self, now: float, causes: list[str]) -> None:
        """Note what may keep the daemon from being ready now; check the time without."""
        if causes:
            self._caused_at, self._causes = now, causes
            self._is_waiting, self._is_reported = True, False
            return
        seconds = now - max(self._caused_at, self._ready_at)
        if seconds > RECOVERY_SECONDS + MEASURING_SECONDS and not self._is_reported:
            self._is_reported = True
            after = ", ".join(self._causes) or "its start"
            what = f"not ready {seconds:.1f} s after: {after}; says {self.last_answer}"
            self.violations.append(Violation("RECOVER", self._daemon, what))

    def heard_ready(self, now: float) -> None:
        """Note a probe that was answered with 200."""
        if self._is_waiting:
            self.slowest = max(self.slowest, now - self._caused_at)
        self._is_waiting = self._is_reported = False
        self._ready_at = now

    @property
    def is_settled(self) -> bool:
        """Whether it was ready after the last cause, or had the time to be."""
        return not self._is_waiting or self._is_reported


class ReadyAnswer(msgspec.Struct, frozen=True):
    """A probe that was answered with 200, and what a caller met after it."""

    daemon: str
    was_interrupted: bool
    """Whether the process was killed, paused or ended meanwhile."""
    front_is_held: bool
    """Whether a socket of the soak has the callers' port."""
    is_accepted: bool
    """Whether a connection to the callers' port was accepted."""


def judge_ready_answer(answer: ReadyAnswer) -> list[Violation]:
    """Check that a daemon that says it is ready accepts callers."""
    if answer.was_interrupted:
        return []
    if answer.front_is_held:
        return [Violation("READY", answer.daemon, "ready without its callers' port")]
    if not answer.is_accepted:
        return [Violation("READY", answer.daemon, "ready, and a caller is refused")]
    return []
