"""The calls that an engine's queue orders, and the weights of that order."""

import enum
import math

import msgspec

from notcharch.values.identifiers import (
    AttemptNumber,
    CallSequence,
    ProgramId,
    ServiceName,
)


class CallKey(msgspec.Struct, frozen=True, order=True):
    """Names one attempt of one call; a repeated request has the same key."""

    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber


class Headroom(enum.Enum):
    """For which calls that need headroom there is some."""

    FOR_ALL = "all"
    FOR_SERVICES_BEHIND = "services behind"
    """Only for services that have had less than their share."""

    FOR_NONE = "none"


class QueuedCall(msgspec.Struct, frozen=True):
    """A call that waits. Tokens are counts, `enqueued_at` is in seconds.

    `cost_tokens` is charged to the service's share when the call is granted:
    the uncached part of the prompt and the expected answer. A call that
    `needs_headroom` begins a program whose history needs free memory.
    """

    key: CallKey
    service: ServiceName
    share: float
    priority: int
    attained_tokens: int
    begun: bool
    cost_tokens: int
    enqueued_at: float
    needs_headroom: bool = False


class OrderPolicy(msgspec.Struct, frozen=True):
    """The weights of the queue order; docs/design/scheduling.md says why.

    Within a service a call stands where a call that came `delay_seconds`
    later would stand, so nothing waits behind calls that came more than
    `greatest_delay_seconds` after it.
    """

    level_tokens: int = 4096
    """Attained service of level 1; each doubling is one level more."""

    level_seconds: float = 1.0
    greatest_level: int = 8
    new_program_seconds: float = 10.0
    """More than all levels together, so a begun program goes before a new one."""

    lead_tokens: int = 20_000
    """How far a service of higher priority may run ahead of its share."""

    free_memory_part: float = 0.3
    """New programs begin on a busy engine only while so much of it is free."""

    free_memory_part_behind: float = 0.08
    """The same for services that have had less than their share."""

    busy_part_threshold: float = 0.25
    """An engine with a smaller part of its slots in use is not busy."""

    small_program_part: float = 1 / 64
    """Programs of a service whose prompts are of at most this part of the memory
    on average need no headroom."""

    def delay_seconds(self, attained_tokens: int, begun: bool) -> float:
        """Give how much later than it came a call is placed."""
        level = math.log2(1 + attained_tokens / self.level_tokens)
        delay = self.level_seconds * min(level, self.greatest_level)
        return delay if begun else delay + self.new_program_seconds

    @property
    def greatest_delay_seconds(self) -> float:
        """The longest time by which a later call of the service may overtake."""
        return self.level_seconds * self.greatest_level + self.new_program_seconds
