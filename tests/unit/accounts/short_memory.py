"""Memory of accounts that is short."""

from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.turns import TurnCache
from notcharch.values.memory_pool import MemoryPool, PoolHolder


def bounded(accounts=1 << 30, turns=1 << 30, journal=1 << 30):
    """Return a function that creates the memory of a daemon, one pool for each kind.

    Nothing is cached, so each text comes from its owner.
    """

    def create() -> AccountMemory:
        return AccountMemory(
            MemoryPool(accounts).holder("accounts"),
            MemoryPool(turns).holder("turns"),
            MemoryPool(journal).holder("journal"),
            TurnCache(0),
        )

    return create


class WithoutTexts(PoolHolder):
    """A bound that is always exceeded, while new turns are taken all the same."""

    def __init__(self) -> None:
        super().__init__(MemoryPool(), "turns", 0.0)

    def has_room(self, size: int) -> bool:
        """Take each new turn; its text is set aside at once."""
        return True

    def fits(self, size: int) -> bool:
        """Keep no text that was read."""
        return False


def without_texts() -> AccountMemory:
    """Return the memory of a daemon that sets each text aside at once."""
    return AccountMemory(turns=WithoutTexts(), cache=TurnCache(0))
