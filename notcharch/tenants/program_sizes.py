"""How many calls programs of a kind ask for, learned from those that ended. Pure."""

import msgspec

MIN_WEIGHT = 0.05
"""Of the newest program in the running mean, once there are twenty; before that it is the
plain mean, in which the first guess counts as one program."""


class ProgramSize(msgspec.Struct, frozen=True):
    """What a program asks for from its first call to its last."""

    calls: float
    seconds: float

    @property
    def calls_per_second(self) -> float:
        """Calls a second while it runs."""
        return self.calls / self.seconds


DEFAULT_SIZE = ProgramSize(8.0, 4.0)
"""Taken of a kind that nobody has seen the end of: between the programs of three and of
eleven turns, each with tools, that users run."""
MIN_PROGRAM_SECONDS = 1.0
"""A program of one call lasts no time; its call comes within this."""


class ProgramSizes:
    """The mean size of each kind of program."""

    def __init__(self) -> None:
        """Begin without any."""
        self._sizes: dict[str, ProgramSize] = {}
        self._counts: dict[str, int] = {}

    def of(self, kind: str) -> ProgramSize:
        """Give the mean size of a kind."""
        return self._sizes.get(kind, DEFAULT_SIZE)

    def record(self, kind: str, size: ProgramSize) -> None:
        """Take a program that ended without having been refused anything."""
        mean = self.of(kind)
        count = self._counts[kind] = self._counts.get(kind, 1) + 1
        weight = max(MIN_WEIGHT, 1.0 / count)
        seconds = max(size.seconds, MIN_PROGRAM_SECONDS)
        self._sizes[kind] = ProgramSize(
            mean.calls + weight * (size.calls - mean.calls),
            mean.seconds + weight * (seconds - mean.seconds),
        )
