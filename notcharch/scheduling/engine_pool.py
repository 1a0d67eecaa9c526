"""The engines of a pool that may get new work, for samples in constant time."""

import random
from collections.abc import Callable, Iterable

from notcharch.values.identifiers import EngineName

DRAWS = 8
"""Random draws before all engines are looked at: enough unless most are excluded."""


class EnginePool:
    """A fixed set of engines; a changed directory means a new pool."""

    def __init__(self, engines: Iterable[EngineName]) -> None:
        """Keep the engines in their order."""
        self._names = tuple(engines)
        self._members = frozenset(self._names)

    def __contains__(self, engine: EngineName) -> bool:
        return engine in self._members

    def __len__(self) -> int:
        return len(self._names)

    def without(self, avoided: frozenset[EngineName]) -> "EnginePool":
        """Give the other engines; all of them when there are no others."""
        others = tuple(name for name in self._names if name not in avoided)
        return EnginePool(others) if avoided and others else self

    def sample(
        self,
        count: int,
        excluded: Callable[[EngineName], bool],
        chance: random.Random,
    ) -> tuple[EngineName, ...]:
        """Draw `count` different engines that are not excluded, or all there are."""
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
