"""Decides which running attempts are given up. Pure: time is an argument.

An attempt is given up when its gateway's process is certainly gone, when the
gateway was missing from the membership for long (for a while, if the call may run
again), or when it took longer than any honest gateway lets it take. Giving up is safe while the gateway still lives: its
later dispatch is refused, and its later outcome is not stored.
"""

from collections.abc import Iterable

import msgspec

from notcharch.programs.record import CallPhase, OpenCall
from notcharch.values.identifiers import Member

MAX_WAITS_BEFORE_DISPATCH = 2
"""A call waits at most so many times the row's `max_wait_seconds` before its
dispatch: once for a concurrency slot and once in an engine's queue."""

DISPATCH_MARGIN_SECONDS = 30.0
MAX_REPEATABLE_ABSENCE_SECONDS = 2.0
"""A missing gateway loses a call that may run again after so long: if the gateway
lives, one answer is worked out in vain."""

MISSING_RETENTION_FACTOR = 4.0
"""So many times `gateway_dead_seconds` after it vanished, a member is forgotten."""


class WatchLimits(msgspec.Struct, frozen=True):
    """How long an attempt may go on, seconds."""

    gateway_dead_seconds: float
    attempt_seconds: float


class AttemptWatch:
    """Remembers since when gateways are missing, and judges attempts by it."""

    def __init__(self, limits: WatchLimits) -> None:
        """Take the limits."""
        self._limits = limits
        self._missing_since: dict[Member, float] = {}
        self._live: set[Member] = set()

    def observe(self, gateways: set[Member], live: set[Member], now: float) -> None:
        """Note which members are missing at `now`.

        Those that vanish are noted even if they drive no attempt of partitions led
        here: this daemon may become the leader of some, and then counts from when
        it missed the gateway itself.
        """
        expiry_cutoff = (
            now - MISSING_RETENTION_FACTOR * self._limits.gateway_dead_seconds
        )
        missing = {
            member: since
            for member, since in self._missing_since.items()
            if member not in live and (member in gateways or since > expiry_cutoff)
        }
        for member in (gateways | self._live) - live:
            missing.setdefault(member, now)
        self._missing_since = missing
        self._live = set(live)

    @property
    def missing_count(self) -> int:
        """Count the members that are remembered as missing."""
        return len(self._missing_since)

    def reason_to_abandon(
        self, call: OpenCall, max_wait_seconds: float, *, dead: bool, now: float
    ) -> str | None:
        """Say why an attempt is given up, or None to let it go on.

        `max_wait_seconds` is the cell of the program's row; `dead` tells whether
        the gateway's process is certainly gone.
        """
        if dead:
            return f"the gateway {call.gateway.daemon} was lost"
        since = self._missing_since.get(call.gateway)
        if since is not None and now - since >= self._max_absence(call):
            return f"the gateway {call.gateway.daemon} is missing"
        if now - call.phase_at >= self._max_duration(call, max_wait_seconds):
            return f"the attempt took too long after it was {call.phase.value}"
        return None

    def _max_absence(self, call: OpenCall) -> float:
        may_run_again = call.repeatable or call.phase is CallPhase.ADMITTED
        longest = self._limits.gateway_dead_seconds
        return (
            min(longest, MAX_REPEATABLE_ABSENCE_SECONDS) if may_run_again else longest
        )

    def _max_duration(self, call: OpenCall, max_wait_seconds: float) -> float:
        if call.phase is CallPhase.ADMITTED:
            return (
                MAX_WAITS_BEFORE_DISPATCH * max_wait_seconds + DISPATCH_MARGIN_SECONDS
            )
        return self._limits.attempt_seconds


def gateways_of(calls: Iterable[OpenCall]) -> set[Member]:
    """Give the gateways that drive the calls."""
    return {call.gateway for call in calls}
