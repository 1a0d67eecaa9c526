"""The number of calls that programs of a kind make, learned from ended ones. Pure."""

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
MIN_PROGRAM_SECONDS = 1.0
"""Lower bound of the duration, because a program with one call has none."""


class ProgramSizes:
    """The mean size of each kind of program."""

    def __init__(self) -> None:
        """Start without samples."""
        self._sizes: dict[str, ProgramSize] = {}
        self._counts: dict[str, int] = {}

    def of(self, kind: str) -> ProgramSize:
        """Return the mean size of a kind."""
        return self._sizes.get(kind, DEFAULT_SIZE)

    def record(self, kind: str, size: ProgramSize) -> None:
        """Record the size of a program that ended without a refused call."""
        mean = self.of(kind)
        count = self._counts[kind] = self._counts.get(kind, 1) + 1
        weight = max(MIN_WEIGHT, 1.0 / count)
        seconds = max(size.seconds, MIN_PROGRAM_SECONDS)
        self._sizes[kind] = ProgramSize(
            mean.calls + weight * (size.calls - mean.calls),
            mean.seconds + weight * (seconds - mean.seconds),
        )
