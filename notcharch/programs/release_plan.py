"""Decides when to request releases of engine memory and when to retry. Pure.

Duties are replicated state; only the leader has the plan, in memory. A new leader
starts with an empty plan and requests every release at once.
"""

from collections.abc import Callable, Iterable

import msgspec

from notcharch.programs.commands import ReleaseDuty

FIRST_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 30.0
MAX_RELEASES_IN_FLIGHT = 64
"""Release requests of one daemon that may be in flight."""

ENGINE_REMOVED_SECONDS = 30.0
"""An engine that is missing from the directory this long counts as removed. An engine
may serve calls before it is in this daemon's directory."""


class ReleaseProgress(msgspec.Struct):
    """Progress of one duty; times are in seconds."""

    tries: int = 0
    in_flight: bool = False
    next_at: float = 0.0
    engine_missing_since: float | None = None


class ReleasePlan:
    """Progress of all duties of the led partitions."""

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self._progress: dict[ReleaseDuty, ReleaseProgress] = {}
        self._in_flight = 0

    def retain(self, pending: Iterable[ReleaseDuty]) -> None:
        """Drop the progress of duties that are neither pending nor in flight."""
        current = set(pending)
        self._progress = {
            duty: progress
            for duty, progress in self._progress.items()
            if duty in current or progress.in_flight
        }

    def due(self, pending: Iterable[ReleaseDuty], now: float) -> list[ReleaseDuty]:
        """Return the duties to request now, and mark them as in flight."""
        selected: list[ReleaseDuty] = []
        for duty in pending:
            if self._in_flight >= MAX_RELEASES_IN_FLIGHT:
                break
            progress = self._progress.setdefault(duty, ReleaseProgress())
            if progress.in_flight or now < progress.next_at:
                continue
            progress.in_flight = True
            progress.tries += 1
            self._in_flight += 1
            selected.append(duty)
        return selected

    def record_reply(self, duty: ReleaseDuty, *, confirmed: bool, now: float) -> int:
        """Record the reply to a request; return the number of tries."""
        progress = self._progress.setdefault(duty, ReleaseProgress())
        if progress.in_flight:
            progress.in_flight = False
            self._in_flight -= 1
        if not confirmed:
            wait = FIRST_RETRY_SECONDS * 2.0 ** (progress.tries - 1)
            progress.next_at = now + min(wait, MAX_RETRY_SECONDS)
        return progress.tries

    def duties_of_removed_engines(
        self,
        pending: Iterable[ReleaseDuty],
        known: Callable[[ReleaseDuty], bool],
        now: float,
    ) -> list[ReleaseDuty]:
        """Return the duties whose engine has been missing long enough to be removed."""
        found: list[ReleaseDuty] = []
        for duty in pending:
            progress = self._progress.setdefault(duty, ReleaseProgress())
            if known(duty):
                progress.engine_missing_since = None
            elif progress.engine_missing_since is None:
                progress.engine_missing_since = now
            elif now - progress.engine_missing_since >= ENGINE_REMOVED_SECONDS:
                found.append(duty)
        return found
