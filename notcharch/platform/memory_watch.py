"""Metrics of a process's memory, and events when it is short."""

import os
from collections.abc import Mapping
from pathlib import Path

from prometheus_client import Counter, Gauge

from notcharch.events.event import emit
from notcharch.events.memory import MemoryNearLimit, MemoryRefusals
from notcharch.values.memory_pool import MeasureBytes, MemoryPool, PoolHolder

NEAR_LIMIT_SHARE = 0.9
"""Share of the limit above which memory is logged as near the limit."""
NOT_NEAR_SHARE = 0.85
"""Share below which it is no longer near, so that a steady process logs it once."""
LOGGED_HOLDERS = 5
QUIET_SECONDS = 5.0
"""A holder that refused nothing for this time has room again."""
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM = Path("/proc/self/statm")

RESIDENT = Gauge(
    "notcharch_memory_resident_bytes",
    "Resident memory of this process, read once a second",
)
LIMIT = Gauge(
    "notcharch_memory_limit_bytes",
    "Memory at which the platform kills this process; 0 if unknown",
)
HELD = Gauge(
    "notcharch_memory_held_bytes",
    "Estimated memory of each kind of holder",
    ["holder"],
)
HOLDER_LIMIT = Gauge(
    "notcharch_memory_holder_limit_bytes",
    "Estimated memory at which a kind of holder takes nothing new",
    ["holder"],
)
REFUSED = Counter(
    "notcharch_memory_refused",
    "Times that a kind of holder had no room for something new",
    ["holder"],
)


def read_resident_bytes() -> int:
    """Return this process's resident memory; 0 if it can't be read."""
    try:
        return int(STATM.read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


class _HolderWatch:
    """Tells when a holder begins to refuse, and when it has room again."""

    def __init__(self, pool: MemoryPool, holder: PoolHolder) -> None:
        self._pool = pool
        self._holder = holder
        self._counted = 0
        """Refusals that are in the metric."""
        self._logged = 0
        self._refused_at: float | None = None
        """When the last refusal was seen; None while there is room."""

    def tick(self, now: float) -> None:
        holder = self._holder
        HELD.labels(holder.name).set(holder.held)
        HOLDER_LIMIT.labels(holder.name).set(holder.limit_bytes)
        refused = holder.refused - self._counted
        if refused:
            self._counted = holder.refused
            REFUSED.labels(holder.name).inc(refused)
            if self._refused_at is None:
                self._log(is_refusing=True)
            self._refused_at = now
        elif self._refused_at is not None and now - self._refused_at >= QUIET_SECONDS:
            self._refused_at = None
            self._log(is_refusing=False)

    def _log(self, *, is_refusing: bool) -> None:
        holder, pool = self._holder, self._pool
        refused, self._logged = holder.refused - self._logged, holder.refused
        emit(
            MemoryRefusals(
                holder.name,
                is_refusing,
                holder.held,
                _whole(holder.limit_bytes),
                pool.total,
                refused,
            )
        )


def _whole(size: float) -> int:
    return int(min(size, 1 << 62))


class MemoryWatch:
    """Compares the resident memory with the limit once a tick."""

    def __init__(
        self,
        machine: str,
        limit_bytes: int,
        pool: MemoryPool,
        others: Mapping[str, MeasureBytes] | None = None,
        read_resident: MeasureBytes = read_resident_bytes,
    ) -> None:
        """`others` measure what has a bound of its own, outside the pool."""
        self._machine = machine
        self._limit_bytes = limit_bytes
        self._pool = pool
        self._others = {} if others is None else others
        self._read_resident = read_resident
        self._watches = [_HolderWatch(pool, holder) for holder in pool.holders]
        self._is_near = False
        LIMIT.set(limit_bytes)

    def tick(self, now: float) -> None:
        """Update the metrics, and log what changed."""
        for watch in self._watches:
            watch.tick(now)
        for name, measure in self._others.items():
            HELD.labels(name).set(measure())
        resident = self._read_resident()
        RESIDENT.set(resident)
        if not self._limit_bytes or not resident:
            return
        share = NOT_NEAR_SHARE if self._is_near else NEAR_LIMIT_SHARE
        is_near = resident > self._limit_bytes * share
        if is_near != self._is_near:
            self._is_near = is_near
            emit(
                MemoryNearLimit(
                    self._machine, is_near, resident, self._limit_bytes, self._largest()
                )
            )

    def _largest(self) -> dict[str, int]:
        """Return the holders that hold most, largest first."""
        sizes = {holder.name: holder.held for holder in self._pool.holders}
        sizes |= {name: measure() for name, measure in self._others.items()}
        largest = sorted(sizes.items(), key=lambda item: -item[1])
        return dict(largest[:LOGGED_HOLDERS])
