"""What the accounts of a daemon may hold, over all its groups and partitions."""

import msgspec

from notcharch.accounts.turns import TURN_CACHE_BYTES, TurnCache
from notcharch.values.memory_pool import PoolHolder, unbounded_holder


class AccountMemory(msgspec.Struct, frozen=True):
    """The holders of a process, shared by its groups."""

    accounts: PoolHolder = msgspec.field(default_factory=unbounded_holder)
    """Programs whose partitions are owned here."""
    turns: PoolHolder = msgspec.field(default_factory=unbounded_holder)
    """Turns of these partitions."""
    journal: PoolHolder = msgspec.field(default_factory=unbounded_holder)
    """Entries that wait to be appended."""
    cache: TurnCache = msgspec.field(
        default_factory=lambda: TurnCache(TURN_CACHE_BYTES)
    )
    """Turns of programs whose calls come here: one cache for all groups."""
