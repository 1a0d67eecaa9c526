"""How recently the table in force was certainly the newest one. Pure.

Keys that are taken away must stop working within a bound at every daemon, also at one that
the log service turns away. So a daemon judges a key only while it can show that its table
was the newest at an instant that lies no further back than the bound. It can show so by

- an answer of the log service that holds nothing newer: proves for the instant at which
  the question was *sent*, whenever the answer was read;
- a peer's answer, which tells how old the peer's own proof is: proves for the instant at
  which we asked, less that age. How long the answer was on its way doesn't matter.

Instants are seconds of a clock that is never set. A process that slept finds its proof as
old as it is. A request is judged at the moment at which its head is read, which is not
before its caller sent it.
"""

CLOCK_MARGIN_SECONDS = 0.1
"""The clocks of two daemons, and the platform's, may run apart by this much within one
bound of some seconds: 2%, far more than real clocks do."""


class TableFreshness:
    """The proof that this daemon has for its table."""

    def __init__(self, bound_seconds: float | None) -> None:
        """`bound_seconds`: a proof may be so old; None: no proof is asked for."""
        self._bound = bound_seconds
        self.version = -1
        """Of the table in force; negative before the first."""
        self._confirmed_at: float | None = None

    @property
    def is_required(self) -> bool:
        """Whether keys are judged by proof only."""
        return self._bound is not None

    def put_in_force(self, version: int) -> None:
        """Hear of a newer table: nothing is proved for it yet."""
        if version > self.version:
            self.version = version
            self._confirmed_at = None

    def confirm(self, version: int, at: float) -> None:
        """Hear that a version was the newest at an instant."""
        if version != self.version:
            return
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def age(self, now: float) -> float | None:
        """Give the seconds since the table was certainly the newest; None if never."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def is_fresh(self, now: float, ahead_seconds: float = 0.0) -> bool:
        """Tell whether keys may be judged now, and for some seconds more."""
        if self._bound is None:
            return True
        age = self.age(now)
        if age is None:
            return False
        return age + ahead_seconds <= self._bound - CLOCK_MARGIN_SECONDS
