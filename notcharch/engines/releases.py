"""Releases of ended programs' memory that an engine has not confirmed yet. Pure.

Each is tried until the engine confirms it, or a newer epoch shows that the
program lives on elsewhere, or the engine is gone.
"""

import random

import msgspec

from notcharch.scheduling.retry import RetryPolicy
from notcharch.values.identifiers import Epoch, ProgramId


class Release(msgspec.Struct, frozen=True):
    """One program to release, fenced by its leader's epoch."""

    program: ProgramId
    epoch: Epoch


class _Pending(msgspec.Struct, frozen=True):
    """A release, how often it failed, and when it is tried next."""

    release: Release
    failures: int
    due_at: float


class PendingReleases:
    """The unconfirmed releases of one engine."""

    def __init__(self, retry: RetryPolicy, chance: random.Random) -> None:
        """Start empty."""
        self._retry = retry
        self._chance = chance
        self._pending: dict[ProgramId, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, program: ProgramId) -> bool:
        return program in self._pending

    def add(self, release: Release, now: float) -> None:
        """Keep a release until it is confirmed; the higher epoch counts."""
        known = self._pending.get(release.program)
        if known is None or known.release.epoch < release.epoch:
            self._pending[release.program] = _Pending(release, 0, now)

    def due(self, now: float, limit: int) -> tuple[Release, ...]:
        """Give up to `limit` releases to try now; each must be reported on."""
        due = [p.release for p in self._pending.values() if p.due_at <= now]
        return tuple(due[:limit])

    def confirmed(self, release: Release) -> None:
        """Note that the engine holds nothing of the program any more."""
        self._drop(release)

    def fenced(self, release: Release) -> None:
        """Note that the engine saw a higher epoch: the program has a newer leader."""
        self._drop(release)

    def failed(self, release: Release, now: float) -> None:
        """Note a failed try; the next one comes after a growing delay."""
        known = self._pending.get(release.program)
        if known is None or known.release != release:
            return
        failures = known.failures + 1
        due_at = now + self._retry.delay_seconds(failures, self._chance)
        self._pending[release.program] = _Pending(release, failures, due_at)

    def _drop(self, release: Release) -> None:
        known = self._pending.get(release.program)
        if known is not None and known.release.epoch <= release.epoch:
            del self._pending[release.program]
