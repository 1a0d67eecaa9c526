"""Whether an engine has headroom for the history of one more program. Pure.

A program that has begun comes back for its history. When every block is in use, a
new program's history displaces one that will be computed again, which takes engine
time from everyone, so that more programs are under way at once and displace more:
past that point an engine does less the more it is given. So on a busy engine without
free blocks, new programs wait until others end, and begun ones go on.
"""

from typing import Protocol

from notcharch.scheduling.calls import Headroom, OrderPolicy
from notcharch.values.identifiers import ServiceName

MEAN_WEIGHT = 0.05


class MemoryReport(Protocol):
    """What an engine says of its memory."""

    @property
    def total_blocks(self) -> int:
        """All blocks."""

    @property
    def free_blocks(self) -> int:
        """Those that hold nothing that is in use."""

    @property
    def block_tokens(self) -> int:
        """Tokens in a block."""


class MemoryHeadroom:
    """The free memory of one engine, in tokens."""

    def __init__(self, policy: OrderPolicy) -> None:
        """Know nothing: there is headroom until a report says otherwise."""
        self._policy = policy
        self._total = 0
        self._free = 0
        self._mean_prompts: dict[ServiceName, float] = {}

    def learn_report(self, report: MemoryReport) -> None:
        """Take in the free blocks; blocks of paused programs are not free."""
        self._total = report.total_blocks * report.block_tokens
        self._free = report.free_blocks * report.block_tokens

    def note_grant(
        self, service: ServiceName, prompt_tokens: int, uncached_tokens: int
    ) -> None:
        """Take off what a granted call will fill, and learn its service's prompts."""
        self._free -= uncached_tokens
        mean = self._mean_prompts.get(service, prompt_tokens)
        self._mean_prompts[service] = mean + MEAN_WEIGHT * (prompt_tokens - mean)

    def is_small(self, service: ServiceName) -> bool:
        """Tell whether a service's programs displace nothing that matters.

        A program's shape is unknown, but its service's prompts so far are not.
        """
        mean = self._mean_prompts.get(service, 0.0)
        return mean <= self._total * self._policy.small_program_part

    def allowed_new_programs(self, busy_part: float) -> Headroom:
        """Tell which new programs may begin while so much of the engine is busy."""
        if self._total == 0 or busy_part < self._policy.busy_part_threshold:
            return Headroom.FOR_ALL
        if self._free >= self._total * self._policy.free_memory_part:
            return Headroom.FOR_ALL
        if self._free >= self._total * self._policy.free_memory_part_behind:
            return Headroom.FOR_SERVICES_BEHIND
        return Headroom.FOR_NONE
