"""Bounds what the answers of one server take together, while they are being received.

A daemon that takes over many partitions at once reads them all at once. Above the bound only
the answer that began first is read on, and the others when there is room again, so none is
given up and no read has to wait for another one that is small.
"""

import math
from typing import Protocol

from notcharch.values.memory_pool import PoolHolder, unbounded_holder


class PausableAnswer(Protocol):
    """An answer that is being received."""

    def pause(self) -> None:
        """Read no more of it until `resume`."""

    def resume(self) -> None:
        """Continue to read it."""


class AnswerRoom:
    """The answers that are being received, oldest first."""

    def __init__(
        self, limit_bytes: float = math.inf, held: PoolHolder | None = None
    ) -> None:
        """Read further answers while all have up to `limit_bytes`; `held` counts them."""
        self._limit_bytes = limit_bytes
        self._held = held or unbounded_holder()
        self._sizes: dict[PausableAnswer, int] = {}
        self._paused: dict[PausableAnswer, None] = {}
        self._total = 0

    def received(self, answer: PausableAnswer, size: int) -> None:
        """Count bytes of an answer, and pause it if there is no room for more."""
        self._sizes[answer] = self._sizes.get(answer, 0) + size
        self._total += size
        self._held.change(size)
        is_oldest = next(iter(self._sizes)) is answer
        if self._total > self._limit_bytes and not is_oldest:
            self._paused[answer] = None
            answer.pause()

    def ended(self, answer: PausableAnswer) -> None:
        """Count an answer no more, and read on others as far as there is room."""
        size = self._sizes.pop(answer, 0)
        self._paused.pop(answer, None)
        self._total -= size
        self._held.change(-size)
        while self._paused:
            oldest = next(iter(self._sizes))
            if self._total <= self._limit_bytes:
                self._resume(next(iter(self._paused)))
            elif oldest in self._paused:
                self._resume(oldest)
            else:
                return

    def _resume(self, answer: PausableAnswer) -> None:
        del self._paused[answer]
        answer.resume()
