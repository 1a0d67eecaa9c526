"""How recently the active table was confirmed to be the newest one. Pure.

A revoked key must stop working within a bounded time at every daemon, also at one that
the log service refuses. So a daemon accepts or rejects keys only while it can confirm
that its table was the newest within the bound. It is confirmed by

- a response of the log service without newer records, for the time at which the request
  was *sent*, however late the response was read;
- a peer's response with the age of the peer's own confirmation, for the time at which
  the request was sent, less that age. The delay of the response doesn't matter.

Times are seconds of a monotonic clock, so a suspended process finds its confirmation
expired. A key is checked when the head of its request is read, which is never before
the request was sent.
"""

CLOCK_MARGIN_SECONDS = 0.1
"""Maximum clock drift between two daemons, or a daemon and the platform, within the
bound: 2% of a bound of 5 s, far more than real clocks drift."""


class TableFreshness:
    """The freshness of this daemon's table."""

    def __init__(self, bound_seconds: float | None) -> None:
        """`bound_seconds`: maximum age of a confirmation; None disables the check."""
        self._bound = bound_seconds
        self.version = -1
        """Version of the active table; negative before the first."""
        self._confirmed_at: float | None = None

    @property
    def is_required(self) -> bool:
        """Whether keys are only checked against a fresh table."""
        return self._bound is not None

    def put_in_force(self, version: int) -> None:
        """Record a newer active table, which isn't confirmed yet."""
        if version > self.version:
            self.version = version
            self._confirmed_at = None

    def confirm(self, version: int, at: float) -> None:
        """Record the time at which a version was the newest."""
        if version != self.version:
            return
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def age(self, now: float) -> float | None:
        """Return the seconds since the last confirmation, None if there was none."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def is_fresh(self, now: float, ahead_seconds: float = 0.0) -> bool:
        """Return whether keys may be checked now and for `ahead_seconds` longer."""
        if self._bound is None:
            return True
        age = self.age(now)
        if age is None:
            return False
        return age + ahead_seconds <= self._bound - CLOCK_MARGIN_SECONDS
