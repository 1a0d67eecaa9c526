"""Memory of a process that holders of several kinds share, each within a bound. Pure.

Sizes are estimates of what objects take with Python's overhead. A holder asks before it
takes new work; what must be kept in any case is counted without being asked for.
"""

import math
from collections.abc import Callable

PRESSURE_SHARE = 1 / 2
"""Share of its bound above which a kind is under pressure."""
POOL_PRESSURE_SHARE = 3 / 4
"""Share of the pool above which each kind is under pressure."""


class PoolHolder:
    """What one kind of objects holds of a pool."""

    def __init__(self, pool: "MemoryPool", name: str, limit_bytes: float) -> None:
        """Hold nothing; `limit_bytes` bounds this kind."""
        self._pool = pool
        self.name = name
        self.limit_bytes = limit_bytes
        self.held = 0
        self.refused = 0
        """Number of times that there was no room for something new."""

    def fits(self, size: int) -> bool:
        """Return whether so many bytes more are within the bounds."""
        is_within = self.held + size <= self.limit_bytes
        return is_within and self._pool.total + size <= self._pool.limit_bytes

    def has_room(self, size: int) -> bool:
        """Return whether something new may be held; count it as refused if not."""
        if self.fits(size):
            return True
        self.refused += 1
        return False

    def take(self, size: int) -> bool:
        """Hold something new if there is room for it; return whether it is held."""
        if not self.has_room(size):
            return False
        self.change(size)
        return True

    def change(self, size: int) -> None:
        """Hold so many bytes more, or less, in any case."""
        former = min(self.held, self.limit_bytes)
        self.held += size
        self._pool.total += int(min(self.held, self.limit_bytes) - former)

    @property
    def is_under_pressure(self) -> bool:
        """Whether to drop early what may be dropped, before anything is refused."""
        is_kind_full = self.held > self.limit_bytes * PRESSURE_SHARE
        pool = self._pool
        return is_kind_full or pool.total > pool.limit_bytes * POOL_PRESSURE_SHARE

    @property
    def is_over(self) -> bool:
        """Whether this kind, or the pool, holds more than its bound."""
        is_pool_over = self._pool.total > self._pool.limit_bytes
        return self.held > self.limit_bytes or is_pool_over


class MemoryPool:
    """The memory that the holders share."""

    def __init__(self, limit_bytes: float = math.inf) -> None:
        """Bound what all holders take together; without a limit everything fits."""
        self.limit_bytes = limit_bytes
        self.total = 0
        """What all hold, each up to its bound: what one kind must keep beyond its bound
        leaves the others their room."""
        self.holders: list[PoolHolder] = []

    def holder(self, name: str, share: float = 1.0) -> PoolHolder:
        """Create a holder that may take a share of the pool."""
        holder = PoolHolder(self, name, self.limit_bytes * share)
        self.holders.append(holder)
        return holder


def unbounded_holder() -> PoolHolder:
    """Return a holder without a bound, where no memory limit is known."""
    return MemoryPool().holder("unbounded")


class HeldPart:
    """What one object, such as a call or a partition, holds; none after its end."""

    def __init__(self, holder: PoolHolder) -> None:
        """Hold nothing yet."""
        self.holder = holder
        self.size = 0
        self._is_closed = False

    def take(self, size: int) -> bool:
        """Hold so many bytes more if there is room for them; return whether it is so."""
        if self._is_closed or not self.holder.take(size):
            return False
        self.size += size
        return True

    def change(self, size: int) -> None:
        """Hold so many bytes more, or less, in any case."""
        if not self._is_closed:
            self.size += size
            self.holder.change(size)

    def close(self) -> None:
        """Hold nothing any more; later changes are ignored."""
        if not self._is_closed:
            self._is_closed = True
            self.holder.change(-self.size)
            self.size = 0


MeasureBytes = Callable[[], int]
"""Returns a number of bytes, such as what a kind of buffer holds now."""
