"""Decides which running attempts to abandon. Pure: time is an argument.

An attempt is abandoned when its gateway's process has certainly ended, when the
gateway has been missing from the membership for too long (less for a call that may
run again), or when the attempt exceeds its time limit. This is safe even if the
gateway still runs: its later dispatch is refused and its outcome is not stored.
"""

from collections.abc import Iterable

import msgspec

from notcharch.programs.record import CallPhase, OpenCall
from notcharch.values.identifiers import Member

MAX_WAITS_BEFORE_DISPATCH = 2
"""Multiple of the row's `max_wait_seconds` that a call may wait before dispatch:
once for a concurrency slot and once in an engine's queue."""

DISPATCH_MARGIN_SECONDS = 30.0
MAX_REPEATABLE_ABSENCE_SECONDS = 2.0
"""Maximum absence of the gateway of a call that may run again. If the gateway still
runs, one answer is computed twice."""

MISSING_RETENTION_FACTOR = 4.0
"""A missing member's entry is kept for this multiple of `gateway_dead_seconds`."""


class WatchLimits(msgspec.Struct, frozen=True):
    """Time limits of an attempt, in seconds."""

    gateway_dead_seconds: float
    attempt_seconds: float


class AttemptWatch:
    """Tracks how long gateways have been missing and checks their attempts."""

    def __init__(self, limits: WatchLimits) -> None:
        """Start with no missing members."""
        self._limits = limits
        self._missing_since: dict[Member, float] = {}
        self._live: set[Member] = set()

    def observe(self, gateways: set[Member], live: set[Member], now: float) -> None:
        """Record which members are missing at `now`.

        Members that drive no attempt of a partition led here are recorded as well:
        if this daemon becomes leader, it counts from when it first missed them.
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
        """Number of members recorded as missing."""
        return len(self._missing_since)

    def reason_to_abandon(
        self, call: OpenCall, max_wait_seconds: float, *, dead: bool, now: float
    ) -> str | None:
        """Return why an attempt must be abandoned, or None to let it continue.

        `max_wait_seconds` is the cell of the program's row; `dead` is true if the
        gateway's process has certainly ended.
        """
        if dead:
            return f"the process of gateway {call.gateway.daemon} ended"
        since = self._missing_since.get(call.gateway)
        if since is not None and now - since >= self._max_absence(call):
            return f"gateway {call.gateway.daemon} is missing from the membership"
        if now - call.phase_at >= self._max_duration(call, max_wait_seconds):
            return f"the attempt timed out after it was {call.phase.value}"
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
    """Return the gateways of the calls."""
    return {call.gateway for call in calls}
