"""The order in which members are probed: each once in every round, shuffled."""

from collections.abc import Iterable
from random import Random

from notcharch.values.identifiers import DaemonName


class ProbeOrder:
    """A shuffled round of the members; new ones enter at a random place."""

    def __init__(self, random: Random) -> None:
        """Begin with an empty round."""
        self._random = random
        self._round: list[DaemonName] = []

    def next(self, living: Iterable[DaemonName]) -> DaemonName | None:
        """Give the next member to probe, or None when there is no other."""
        present = set(living)
        while self._round:
            daemon = self._round.pop()
            if daemon in present:
                return daemon
        self._round = sorted(present)
        self._random.shuffle(self._round)
        return self._round.pop() if self._round else None

    def add(self, daemon: DaemonName) -> None:
        """Enter a member that came into the running round."""
        if daemon not in self._round:
            place = self._random.randint(0, len(self._round))
            self._round.insert(place, daemon)
