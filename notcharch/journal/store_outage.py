"""An outage of the log service, as the heartbeats of this daemon show it.

Heartbeats keep their interval in an outage, so they are the one probe of a daemon: all
other calls wait for them. Time is an argument.
"""

KNOWN_AFTER_SECONDS = 0.6
"""How long an answer must be overdue until the service counts as down.

A lost heartbeat and its retry are over by then. A call that waits 2 s for its answer is
held for 0.9 s at most without a decision, so the calls that wait since the start of the
outage are still waiting, and later ones would wait in vain.
"""
CONFIRMED_AFTER_SECONDS = 0.25
"""Time since the first failure in which the retry of the heartbeat must be unanswered.

A process that did not run for a while finds its requests timed out although they were
answered; its retry is sent after 0.1 s and answered in some milliseconds.
"""
FAILURES_TO_HOLD = 2
"""Failed heartbeats in a row from which on other calls wait."""


class StoreOutage:
    """Whether the service is down, and since when."""

    def __init__(self) -> None:
        """Start with an available service."""
        self._due_at: float | None = None
        """When the first missing answer was due; None without a failure."""
        self._failed_at = 0.0
        self._failures = 0

    def failed(self, due_at: float, now: float) -> None:
        """Record a heartbeat without an answer, or refused; one was due at `due_at`."""
        self._failures += 1
        if self._due_at is None:
            self._due_at = min(due_at, now)
            self._failed_at = now

    def answered(self, now: float) -> float:
        """Record an answer; return how long the known outage lasted, 0 if none was."""
        seconds = self.known_seconds(now)
        self.forget()
        return seconds

    def forget(self) -> None:
        """Forget the outage: no heartbeat will tell when it is over."""
        self._due_at = None
        self._failures = 0

    def known_seconds(self, now: float) -> float:
        """Return how long the outage has lasted; 0 unless the service counts as down."""
        if self._due_at is None or now - self._failed_at < CONFIRMED_AFTER_SECONDS:
            return 0.0
        seconds = now - self._due_at
        return seconds if seconds >= KNOWN_AFTER_SECONDS else 0.0

    @property
    def holds_calls(self) -> bool:
        """Whether calls other than heartbeats wait for an answered heartbeat."""
        return self._failures >= FAILURES_TO_HOLD
