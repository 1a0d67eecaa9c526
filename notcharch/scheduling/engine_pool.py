"""The engines that accept new work, sampled in constant time."""

import random
from collections.abc import Callable, Iterable

from notcharch.values.identifiers import EngineName

DRAWS = 8
"""Number of random draws before all engines are examined."""


class EnginePool:
    """A fixed set of engines; a change of the directory makes a new pool."""

    def __init__(self, engines: Iterable[EngineName]) -> None:
        """Keep the engines in their order."""
        self._names = tuple(engines)
        self._members = frozenset(self._names)

    def __contains__(self, engine: EngineName) -> bool:
        return engine in self._members

    def __len__(self) -> int:
        return len(self._names)

    def without(self, avoided: frozenset[EngineName]) -> "EnginePool":
        """Return the pool without some engines; the same pool if none would be left."""
        others = tuple(name for name in self._names if name not in avoided)
        return EnginePool(others) if avoided and others else self

    def sample(
        self,
        count: int,
        excluded: Callable[[EngineName], bool],
        chance: random.Random,
    ) -> tuple[EngineName, ...]:
        """Return up to `count` different random engines that aren't excluded."""
        if len(self._names) > 2 * DRAWS:
            drawn = self._draw(count, excluded, chance)
            if len(drawn) == count:
                return drawn
        eligible = [engine for engine in self._names if not excluded(engine)]
        return tuple(chance.sample(eligible, min(count, len(eligible))))

    def _draw(
        self,
        count: int,
        excluded: Callable[[EngineName], bool],
        chance: random.Random,
    ) -> tuple[EngineName, ...]:
        drawn: list[EngineName] = []
        for _ in range(DRAWS):
            engine = self._names[chance.randrange(len(self._names))]
            if engine not in drawn and not excluded(engine):
                drawn.append(engine)
            if len(drawn) == count:
                break
        return tuple(drawn)
