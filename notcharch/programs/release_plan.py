"""Decides when the release of an engine's memory is asked again. Pure.

What is owed is replicated state; the plan only remembers, in the leader's memory,
what was asked when. A new leader begins with an empty plan and asks at once.
"""

from collections.abc import Callable, Iterable

import msgspec

from notcharch.programs.commands import ReleaseDuty

FIRST_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 30.0
MAX_RELEASES_IN_FLIGHT = 64
"""Releases that one daemon asks for at once."""

ENGINE_REMOVED_SECONDS = 30.0
"""An engine missing from the directory for so long is gone with its memory. The
directory lags: an engine may serve before this daemon has read of it."""


class ReleaseProgress(msgspec.Struct):
    """What the leader did for one duty so far; times are in seconds."""

    tries: int = 0
    in_flight: bool = False
    next_at: float = 0.0
    engine_missing_since: float | None = None


class ReleasePlan:
    """The progress of all duties of the led partitions."""

    def __init__(self) -> None:
        """Begin with nothing asked."""
        self._progress: dict[ReleaseDuty, ReleaseProgress] = {}
        self._in_flight = 0

    def retain(self, pending: Iterable[ReleaseDuty]) -> None:
        """Forget the progress of what is not owed any more, unless it is asked now."""
        current = set(pending)
        self._progress = {
            duty: progress
            for duty, progress in self._progress.items()
            if duty in current or progress.in_flight
        }

    def due(self, pending: Iterable[ReleaseDuty], now: float) -> list[ReleaseDuty]:
        """Give the duties to ask for now, and note them as being asked."""
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
        """Note the reply to a request; gives how often it was asked for."""
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
        """Give the duties whose engine has been missing for long."""
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
