"""Releases of ended programs' memory that an engine has not confirmed yet. No I/O.

Each release is retried until the engine confirms it, the engine reports a
newer epoch of the program, or the engine is removed.
"""

import random

import msgspec

from notcharch.scheduling.retry import RetryPolicy
from notcharch.values.identifiers import Epoch, ProgramId


class Release(msgspec.Struct, frozen=True):
    """A program to release, fenced by its leader's epoch."""

    program: ProgramId
    epoch: Epoch


class _PendingRelease(msgspec.Struct, frozen=True):
    """A release with its failure count and the time of its next attempt."""

    release: Release
    failures: int
    due_at: float


class PendingReleases:
    """The unconfirmed releases of one engine."""

    def __init__(self, retry: RetryPolicy, chance: random.Random) -> None:
        """Start without pending releases."""
        self._retry = retry
        self._chance = chance
        self._pending: dict[ProgramId, _PendingRelease] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, program: ProgramId) -> bool:
        return program in self._pending

    def add(self, release: Release, now: float) -> None:
        """Add a release; per program the one with the higher epoch is kept."""
        known = self._pending.get(release.program)
        if known is None or known.release.epoch < release.epoch:
            self._pending[release.program] = _PendingRelease(release, 0, now)

    def due(self, now: float, limit: int) -> tuple[Release, ...]:
        """Return at most `limit` due releases; the caller reports each outcome."""
        due = [p.release for p in self._pending.values() if p.due_at <= now]
        return tuple(due[:limit])

    def confirmed(self, release: Release) -> None:
        """Drop a release that the engine confirmed."""
        self._drop(release)

    def fenced(self, release: Release) -> None:
        """Drop a release that the engine rejected for its stale epoch."""
        self._drop(release)

    def failed(self, release: Release, now: float) -> None:
        """Schedule the next attempt after an increasing delay."""
        known = self._pending.get(release.program)
        if known is None or known.release != release:
            return
        failures = known.failures + 1
        due_at = now + self._retry.delay_seconds(failures, self._chance)
        self._pending[release.program] = _PendingRelease(release, failures, due_at)

    def _drop(self, release: Release) -> None:
        known = self._pending.get(release.program)
        if known is not None and known.release.epoch <= release.epoch:
            del self._pending[release.program]
