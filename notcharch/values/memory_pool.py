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
    """What one kind of objects holds of a pool.

    A kind that must never wait for the others has a reserve beside the pool for its small
    objects: a fixed line of the budget.
    """

    def __init__(
        self,
        pool: "MemoryPool",
        name: str,
        limit_bytes: float,
        reserved_bytes: int = 0,
    ) -> None:
        """Hold nothing; `limit_bytes` bounds what this kind has of the pool."""
        self._pool = pool
        self.name = name
        self.limit_bytes = limit_bytes
        self.reserved_bytes = reserved_bytes
        """What small objects hold without a share of the pool."""
        self.held = 0
        self._small = 0
        """What small objects hold."""
        self.refused = 0
        """Number of times that there was no room for something new."""

    @property
    def pooled(self) -> int:
        """What is held beyond the reserve."""
        return self.held - min(self._small, self.reserved_bytes)

    def fits(self, size: int, *, is_small: bool = False) -> bool:
        """Return whether so many bytes more are within the bounds."""
        if is_small and self._small + size <= self.reserved_bytes:
            return True
        # What is left of the reserve counts as room for a small object.
        left = self.reserved_bytes - self._small if is_small else 0
        more = size - max(left, 0)
        is_within = self.pooled + more <= self.limit_bytes
        return is_within and self._pool.total + more <= self._pool.limit_bytes

    def has_room(self, size: int, *, is_small: bool = False) -> bool:
        """Return whether something new may be held; count it as refused if not."""
        if self.fits(size, is_small=is_small):
            return True
        self.refused += 1
        return False

    def take(self, size: int, *, is_small: bool = False) -> bool:
        """Hold something new if there is room for it; return whether it is held."""
        if not self.has_room(size, is_small=is_small):
            return False
        self.change(size, is_small=is_small)
        return True

    def change(self, size: int, *, is_small: bool = False) -> None:
        """Hold so many bytes more, or less, in any case.

        `is_small` is the same when an object is held and when it is held no more.
        """
        former = min(self.pooled, self.limit_bytes)
        self.held += size
        if is_small:
            self._small += size
        self._pool.total += int(min(self.pooled, self.limit_bytes) - former)

    @property
    def is_under_pressure(self) -> bool:
        """Whether to drop early what may be dropped, before anything is refused."""
        is_kind_full = self.pooled > self.limit_bytes * PRESSURE_SHARE
        pool = self._pool
        return is_kind_full or pool.total > pool.limit_bytes * POOL_PRESSURE_SHARE

    @property
    def is_over(self) -> bool:
        """Whether this kind, or the pool, holds more than its bound."""
        is_pool_over = self._pool.total > self._pool.limit_bytes
        return self.pooled > self.limit_bytes or is_pool_over


class MemoryPool:
    """The memory that the holders share."""

    def __init__(self, limit_bytes: float = math.inf) -> None:
        """Bound what all holders take together; without a limit everything fits."""
        self.limit_bytes = limit_bytes
        self.total = 0
        """What all hold, each up to its bound: what one kind must keep beyond its bound
        leaves the others their room."""
        self.holders: list[PoolHolder] = []

    def holder(
        self, name: str, share: float = 1.0, reserved_bytes: int = 0
    ) -> PoolHolder:
        """Create a holder that may take a share of the pool, and a reserve beside it."""
        limit_bytes = self.limit_bytes * share
        holder = PoolHolder(self, name, limit_bytes, reserved_bytes)
        self.holders.append(holder)
        return holder


def unbounded_holder() -> PoolHolder:
    """Return a holder without a bound, where no memory limit is known."""
    return MemoryPool().holder("unbounded")


class HeldPart:
    """What one object, such as a call or a partition, holds; none after its end."""

    def __init__(self, holder: PoolHolder, small_bytes: int = 0) -> None:
        """Hold nothing yet; what is taken may use the reserve up to `small_bytes`."""
        self.holder = holder
        self.size = 0
        self._small_bytes = small_bytes
        self._small = 0
        """What was taken as small."""
        self._is_closed = False

    def take(self, size: int) -> bool:
        """Hold so many bytes more if there is room for them; return whether it is so."""
        is_small = self._small + size <= self._small_bytes
        if self._is_closed or not self.holder.take(size, is_small=is_small):
            return False
        self.size += size
        if is_small:
            self._small += size
        return True

    def change(self, size: int) -> None:
        """Hold so many bytes more, or less, in any case."""
        if not self._is_closed:
            self.size += size
            self.holder.change(size)

    def shrink(self, size: int) -> int:
        """Hold no more than `size`; return how much less of what was taken as large."""
        excess = self.size - size
        if self._is_closed or excess <= 0:
            return 0
        of_large = min(excess, self.size - self._small)
        self.holder.change(-of_large)
        self.holder.change(of_large - excess, is_small=True)
        self._small -= excess - of_large
        self.size = size
        return of_large

    def is_small_with(self, size: int) -> bool:
        """Return whether so many bytes more would be taken as small."""
        return self._small + size <= self._small_bytes

    def close(self) -> None:
        """Hold nothing any more; later changes are ignored."""
        if not self._is_closed:
            self._is_closed = True
            self.holder.change(-self._small, is_small=True)
            self.holder.change(self._small - self.size)
            self.size = self._small = 0


MeasureBytes = Callable[[], int]
"""Returns a number of bytes, such as what a kind of buffer holds now."""
