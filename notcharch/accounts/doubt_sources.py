"""The sources of a program's doubted tokens that belong to no known call. Pure."""

from notcharch.values.doubts import DoubtCause, DoubtSource

MAX_NOTED = 3
"""Sources that are kept one by one for each program; further ones are summed."""
MAX_TOLD = 6
"""Sources in one log line."""


class NotedSources:
    """The sources of the doubted tokens of one program that belong to no known call."""

    def __init__(self) -> None:
        """Start without a source."""
        self._noted: tuple[DoubtSource, ...] = ()
        self.is_told = True
        """Whether all sources are in the log."""

    def add(self, source: DoubtSource) -> None:
        """Note one more source."""
        if source.tokens <= 0:
            return
        self.is_told = False
        self._noted = (*self._noted, source)
        if len(self._noted) > MAX_NOTED + 1:
            self._noted = bounded(self._noted, MAX_NOTED)

    def replace(self, source: DoubtSource) -> None:
        """Note a source that includes all others."""
        self._noted = ()
        self.add(source)

    def all(self) -> tuple[DoubtSource, ...]:
        """Return the sources, the oldest first."""
        return self._noted


def bounded(
    sources: tuple[DoubtSource, ...], most: int = MAX_TOLD
) -> tuple[DoubtSource, ...]:
    """Return the newest sources, after the sum of the others."""
    if len(sources) <= most:
        return sources
    others = sum(source.tokens for source in sources[:-most])
    return (DoubtSource(DoubtCause.OTHERS, others), *sources[-most:])
