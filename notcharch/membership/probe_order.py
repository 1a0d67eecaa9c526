"""Shuffled round-robin order in which members are probed."""

from collections.abc import Iterable
from random import Random

from notcharch.values.identifiers import DaemonName


class ProbeOrder:
    """A shuffled round of the members; new ones enter at a random position."""

    def __init__(self, random: Random) -> None:
        """Start with an empty round."""
        self._random = random
        self._round: list[DaemonName] = []

    def next(self, live: Iterable[DaemonName]) -> DaemonName | None:
        """Return the next member to probe, or None if there is no other member."""
        present = set(live)
        while self._round:
            daemon = self._round.pop()
            if daemon in present:
                return daemon
        self._round = sorted(present)
        self._random.shuffle(self._round)
        return self._round.pop() if self._round else None

    def add(self, daemon: DaemonName) -> None:
        """Insert a new member into the current round."""
        if daemon not in self._round:
            position = self._random.randint(0, len(self._round))
            self._round.insert(position, daemon)
