"""The calls in an engine's queue, and the weights that order them."""

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
    """Identifies one attempt of one call; a repeated request has the same key."""

    program: ProgramId
    sequence: CallSequence
    attempt: AttemptNumber


class Headroom(enum.Enum):
    """Which calls that need memory headroom may be granted."""

    FOR_ALL = "all"
    FOR_SERVICES_BEHIND = "services behind"
    """Only those of services that have received less than their share."""

    FOR_NONE = "none"


class QueuedCall(msgspec.Struct, frozen=True):
    """A queued call. Tokens are counts, `enqueued_at` is in seconds.

    `cost_tokens` is charged to the service's share when the call is granted: the
    uncached part of the prompt and the expected output. A call that `needs_headroom`
    starts a program whose history needs free memory.
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
    """The weights of the queue order, explained in docs/design/scheduling.md.

    Within a service a call is ordered as if it had arrived `delay_seconds` later, so no
    call waits behind calls that arrived more than `greatest_delay_seconds` after it.
    """

    level_tokens: int = 4096
    """Attained tokens of level 1; each doubling is one level more."""

    level_seconds: float = 1.0
    greatest_level: int = 8
    new_program_seconds: float = 10.0
    """More than all levels together, so that started programs precede new ones."""

    lead_tokens: int = 20_000
    """How far a service of higher priority may run ahead of its share."""

    free_memory_part: float = 0.3
    """Part of the memory that must be free for new programs to start on a busy
    engine."""

    free_memory_part_behind: float = 0.08
    """Part of the memory for services that have received less than their share."""

    busy_part_threshold: float = 0.25
    """An engine is busy when at least this part of its slots is in use."""

    small_program_part: float = 1 / 64
    """Programs need no headroom if the mean prompt of their service is at most this
    part of the memory."""

    def delay_seconds(self, attained_tokens: int, begun: bool) -> float:
        """Return the delay by which a call is ordered after its arrival."""
        level = math.log2(1 + attained_tokens / self.level_tokens)
        delay = self.level_seconds * min(level, self.greatest_level)
        return delay if begun else delay + self.new_program_seconds

    @property
    def greatest_delay_seconds(self) -> float:
        """Return the maximum time by which a later call of the service may overtake."""
        return self.level_seconds * self.greatest_level + self.new_program_seconds
