"""Counts the calls admitted within a sliding window, by time slots. Pure."""

import math
from collections import deque

import msgspec

SLOTS = 20
"""Number of slots in a window. A call is counted at most one slot too long."""


class Slot(msgspec.Struct):
    """The calls of one time slot."""

    number: int
    calls: float


class RecentCalls:
    """A sliding window counter."""

    def __init__(self, window_seconds: float) -> None:
        """Start at zero."""
        self._slot_seconds = window_seconds / SLOTS
        self._slots: deque[Slot] = deque()
        self._calls = 0.0

    def _number(self, now: float) -> int:
        return int(now // self._slot_seconds)

    def count(self, now: float) -> float:
        """Return the number of calls admitted within the last window."""
        oldest = self._number(now) - SLOTS
        while self._slots and self._slots[0].number < oldest:
            self._calls -= self._slots.popleft().calls
        return self._calls

    def seconds_until_at_most(self, max_calls: float, now: float) -> float:
        """Return the seconds until the window holds at most `max_calls`.

        Calls that are admitted for a later time count from now on.
        """
        calls = self.count(now)
        seconds = 0.0
        for slot in self._slots:
            if calls <= max_calls:
                break
            calls -= slot.calls
            seconds = (slot.number + SLOTS + 1) * self._slot_seconds - now
        return seconds if calls <= max_calls else math.inf

    def leaving(self, now: float) -> list[tuple[float, float]]:
        """Return the seconds until calls leave the window, and their number, in order."""
        self.count(now)
        return [
            ((slot.number + SLOTS + 1) * self._slot_seconds - now, slot.calls)
            for slot in self._slots
        ]

    def add(self, at: float, calls: float = 1.0) -> None:
        """Count calls admitted at a time, or in the newest slot if that is later."""
        number = self._number(at)
        if self._slots and self._slots[-1].number > number:
            number = self._slots[-1].number
        if not self._slots or self._slots[-1].number != number:
            self._slots.append(Slot(number, 0.0))
        self._slots[-1].calls += calls
        self._calls += calls

    def by_age(self, now: float) -> list[float]:
        """Return the calls of each slot by age, the current slot first."""
        self.count(now)
        present = self._number(now)
        ages = [0.0] * (SLOTS + 1)
        for slot in self._slots:
            ages[max(present - slot.number, 0)] += slot.calls
        return ages

    def restore(self, ages: list[float], now: float) -> None:
        """Continue from another owner's counts, as if no time had passed since."""
        present = self._number(now)
        for age in range(min(len(ages), SLOTS + 1) - 1, -1, -1):
            if ages[age]:
                self._slots.append(Slot(present - age, ages[age]))
                self._calls += ages[age]
