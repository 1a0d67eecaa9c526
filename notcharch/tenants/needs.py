"""Whether a limit can serve the expected calls of several programs. Pure.

Each program is expected to make its calls at a constant rate from a start to an end.
The bucket refills at a constant rate, and calls leave the sliding window one by one;
the greatest shortfall of either is found by going through the times at which a rate
changes.
"""

import math
from collections.abc import Iterable, Sequence

import msgspec

MIN_SECONDS = 0.05
"""Lower bound of the duration of a need, because calls at once have no rate."""


class Need(msgspec.Struct, frozen=True):
    """Calls that are expected at a constant rate."""

    calls: float
    seconds: float
    """Time from the first to the last call."""
    start: float = 0.0
    """Seconds from now to the first call."""

    def after(self, delay: float) -> "Need":
        """Return the part that is left after a delay."""
        if delay <= self.start:
            return Need(self.calls, self.seconds, self.start - delay)
        left = max(1.0 - (delay - self.start) / self.seconds, 0.0)
        return Need(self.calls * left, max(self.seconds * left, MIN_SECONDS))


class Room(msgspec.Struct, frozen=True):
    """What a limit can admit from now on."""

    level: float
    """Calls in the bucket; negative if calls were admitted for a later time."""
    rate: float
    """Calls per second that the bucket gains."""
    capacity: float
    """Maximum number of calls in the bucket."""
    window_free: float
    """Calls that the window can admit now."""
    leaving: Sequence[tuple[float, float]] = ()
    """Seconds until calls leave the window, and their number, in order."""
    window_seconds: float = math.inf

    def after(self, delay: float, needs: Iterable[Need]) -> "Room":
        """Return the room after a delay in which `needs` were served."""
        served = sum(need.calls - need.after(delay).calls for need in needs)
        left = sum(calls for seconds, calls in self.leaving if seconds <= delay)
        later = [(at - delay, calls) for at, calls in self.leaving if at > delay]
        level = min(self.capacity, self.level + self.rate * delay - served)
        return msgspec.structs.replace(
            self,
            level=level,
            window_free=self.window_free + left - served,
            leaving=later,
        )

    def shortfall(self, needs: Sequence[Need]) -> float:
        """Return the largest number of calls that will be missing; negative if none."""
        bucket = max_deficit(needs, self.level, self.rate, self.capacity)
        expiries = [Need(-calls, MIN_SECONDS, at) for at, calls in self.leaving]
        window = max_deficit(
            [*needs, *expiries], self.window_free, until=self.window_seconds
        )
        return max(bucket, window)


def max_deficit(
    needs: Iterable[Need],
    available: float,
    rate: float = 0.0,
    capacity: float = math.inf,
    until: float = math.inf,
) -> float:
    """Return the greatest number of calls missing at any time before `until`.

    `rate` calls become available per second, and at most `capacity` can be unused.
    """
    changes = [(need.start, need.calls / need.seconds) for need in needs]
    changes += [
        (need.start + need.seconds, -need.calls / need.seconds) for need in needs
    ]
    deficit = worst = -available
    slope = -rate
    now = 0.0
    for at, change in sorted(changes):
        if at > until:
            break
        deficit = max(deficit + slope * (at - now), -capacity)
        worst = max(worst, deficit)
        slope += change
        now = at
    return worst
