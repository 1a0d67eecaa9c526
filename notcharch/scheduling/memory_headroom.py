"""Whether an engine has headroom for the history of one more program. Pure.

A running program reuses its history. When all blocks are in use, a new program's
history evicts one that must be recomputed. Recomputing slows all programs, so that more
of them run at once and evict even more, and throughput falls under load (thrashing). So
on a busy engine without free blocks, new programs wait until others end, while running
ones continue.
"""

from typing import Protocol

from notcharch.scheduling.calls import Headroom, OrderPolicy
from notcharch.values.identifiers import ServiceName

MEAN_WEIGHT = 0.05


class MemoryReport(Protocol):
    """The memory usage that an engine reports."""

    @property
    def total_blocks(self) -> int:
        """Number of all blocks."""

    @property
    def free_blocks(self) -> int:
        """Number of blocks without contents in use."""

    @property
    def block_tokens(self) -> int:
        """Number of tokens in a block."""


class MemoryHeadroom:
    """The free memory of one engine, in tokens."""

    def __init__(self, policy: OrderPolicy) -> None:
        """Start without limits, until a report arrives."""
        self._policy = policy
        self._total = 0
        self._free = 0
        self._mean_prompts: dict[ServiceName, float] = {}

    def learn_report(self, report: MemoryReport) -> None:
        """Record the free blocks; blocks of paused programs are not free."""
        self._total = report.total_blocks * report.block_tokens
        self._free = report.free_blocks * report.block_tokens

    def note_grant(
        self, service: ServiceName, prompt_tokens: int, uncached_tokens: int
    ) -> None:
        """Subtract what a granted call will fill, and update the mean prompt."""
        self._free -= uncached_tokens
        mean = self._mean_prompts.get(service, prompt_tokens)
        self._mean_prompts[service] = mean + MEAN_WEIGHT * (prompt_tokens - mean)

    def is_small(self, service: ServiceName) -> bool:
        """Return whether the programs of a service are too small to matter.

        The size of a new program is unknown, so the service's past prompts are used.
        """
        mean = self._mean_prompts.get(service, 0.0)
        return mean <= self._total * self._policy.small_program_part

    def allowed_new_programs(self, busy_part: float) -> Headroom:
        """Return which new programs may start while a part of the engine is busy."""
        if self._total == 0 or busy_part < self._policy.busy_part_threshold:
            return Headroom.FOR_ALL
        if self._free >= self._total * self._policy.free_memory_part:
            return Headroom.FOR_ALL
        if self._free >= self._total * self._policy.free_memory_part_behind:
            return Headroom.FOR_SERVICES_BEHIND
        return Headroom.FOR_NONE
