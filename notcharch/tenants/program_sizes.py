"""The number of calls that programs of a kind make, learned from ended ones. Pure."""

import math

import msgspec

MIN_WEIGHT = 0.05
"""Minimum weight of the newest program in the running mean. With fewer programs it is
the plain mean, in which the default size counts as one program."""


class ProgramSize(msgspec.Struct, frozen=True):
    """The calls of a program and the time from its first to its last call."""

    calls: float
    seconds: float

    @property
    def calls_per_second(self) -> float:
        """Calls per second while it runs."""
        return self.calls / self.seconds


DEFAULT_SIZE = ProgramSize(8.0, 4.0)
"""The assumed size for a kind without ended programs."""
DEFAULT_VARIANCE = 16.0
"""The assumed variance of the calls of such a kind, a deviation of half its size."""
USUAL_DEVIATIONS = 3.0
USUAL_FACTOR = 8.0
"""The largest usual program has this many standard deviations more calls than the mean,
and at least this many times the mean. Sizes are heavy-tailed: a tenth of the programs of a
kind make over three times its mean, and they are worth most. Programs that loop without
end exceed any multiple soon."""
MIN_PROGRAM_SECONDS = 1.0
"""Lower bound of the duration, because a program with one call has none."""


class ProgramSizes:
    """The mean size of each kind of program."""

    def __init__(self) -> None:
        """Start without samples."""
        self._sizes: dict[str, ProgramSize] = {}
        self._variances: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def of(self, kind: str) -> ProgramSize:
        """Return the mean size of a kind."""
        return self._sizes.get(kind, DEFAULT_SIZE)

    def largest_usual_calls(self, kind: str) -> float:
        """Return the number of calls that hardly any program of a kind exceeds."""
        mean = self.of(kind).calls
        deviation = math.sqrt(self._variances.get(kind, DEFAULT_VARIANCE))
        return max(USUAL_FACTOR * mean, mean + USUAL_DEVIATIONS * deviation)

    def record(self, kind: str, size: ProgramSize) -> None:
        """Record the size of a program that ended without a refused call."""
        mean = self.of(kind)
        count = self._counts[kind] = self._counts.get(kind, 1) + 1
        weight = max(MIN_WEIGHT, 1.0 / count)
        variance = self._variances.get(kind, DEFAULT_VARIANCE)
        squared = (size.calls - mean.calls) ** 2
        self._variances[kind] = (1.0 - weight) * (variance + weight * squared)
        seconds = max(size.seconds, MIN_PROGRAM_SECONDS)
        self._sizes[kind] = ProgramSize(
            mean.calls + weight * (size.calls - mean.calls),
            mean.seconds + weight * (seconds - mean.seconds),
        )
