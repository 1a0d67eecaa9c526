"""The command log of one replica: entries in memory behind a discarded prefix."""

import msgspec

from notcharch.values.identifiers import Epoch
from notcharch.wire.messages.replication import Configuration, Entry

NO_CONFIGURATION = Configuration(0, ())
ENTRY_OVERHEAD_BYTES = 32


class Position(msgspec.Struct, frozen=True, order=True):
    """The last entry of a log; the greater one is more up to date."""

    epoch: Epoch
    index: int


class PlacedConfiguration(msgspec.Struct, frozen=True):
    """A configuration and the index of the entry that set it."""

    index: int
    configuration: Configuration


class CommandLog:
    """Entries `base_index + 1 … last_index`; the ones before are only state.

    Indexes count from 1. An index and an epoch together identify a log up to
    there, because an epoch has one leader.
    """

    def __init__(self) -> None:
        """Begin empty, with no configuration."""
        self.base_index = 0
        self.base_epoch = Epoch(0)
        self.size_bytes = 0
        self._entries: list[Entry] = []
        self._configurations = [PlacedConfiguration(0, NO_CONFIGURATION)]

    @property
    def last_index(self) -> int:
        """The index of the last entry, 0 when nothing was ever appended."""
        return self.base_index + len(self._entries)

    @property
    def last_epoch(self) -> Epoch:
        """The epoch of the last entry."""
        return self._entries[-1].epoch if self._entries else self.base_epoch

    @property
    def configuration(self) -> Configuration:
        """The newest configuration, committed or not: it is the one in force."""
        return self._configurations[-1].configuration

    @property
    def configuration_index(self) -> int:
        """The index of the entry that set the newest configuration."""
        return self._configurations[-1].index

    def configuration_at(self, index: int) -> Configuration:
        """Give the configuration in force after the entry at `index`."""
        for placed in reversed(self._configurations):
            if placed.index <= index:
                return placed.configuration
        return NO_CONFIGURATION

    def epoch_at(self, index: int) -> Epoch | None:
        """Give the epoch of an entry, or None if it is not known any more or yet."""
        if index == self.base_index:
            return self.base_epoch
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].epoch
        return None

    def entry_at(self, index: int) -> Entry:
        """Give an entry that is held."""
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Give the entries from `index` on, about `limit_bytes`, at least one."""
        chosen: list[Entry] = []
        size = 0
        for entry in self._entries[index - self.base_index - 1 :]:
            size += entry_bytes(entry)
            if chosen and size > limit_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def command_bytes(self, after: int, through: int) -> int:
        """Give the length of the commands after one index up to another, in bytes."""
        positions = range(after + 1, through + 1)
        return sum(command_bytes(self.entry_at(position)) for position in positions)

    def append(self, entry: Entry) -> None:
        """Add an entry at the end."""
        self._entries.append(entry)
        self.size_bytes += entry_bytes(entry)
        if entry.configuration is not None:
            placed = PlacedConfiguration(self.last_index, entry.configuration)
            self._configurations.append(placed)

    def truncate_from(self, index: int) -> None:
        """Drop the entry at `index` and all later ones, with their configurations."""
        position = index - self.base_index - 1
        self.size_bytes -= sum(map(entry_bytes, self._entries[position:]))
        del self._entries[position:]
        while self._configurations[-1].index >= index:
            self._configurations.pop()

    def discard_through(self, index: int) -> None:
        """Forget entries up to `index`, which are part of the state."""
        count = index - self.base_index
        if count <= 0:
            return
        self.base_epoch = self._entries[count - 1].epoch
        self.size_bytes -= sum(map(entry_bytes, self._entries[:count]))
        del self._entries[:count]
        self.base_index = index
        while len(self._configurations) > 1 and self._configurations[1].index <= index:
            self._configurations.pop(0)

    def reset(self, index: int, epoch: Epoch, configuration: Configuration) -> None:
        """Begin anew behind a snapshot of the state after `index`."""
        self.base_index = index
        self.base_epoch = epoch
        self.size_bytes = 0
        self._entries.clear()
        self._configurations = [PlacedConfiguration(index, configuration)]


def entry_bytes(entry: Entry) -> int:
    """Estimate the memory of an entry, in bytes."""
    return command_bytes(entry) + ENTRY_OVERHEAD_BYTES


def command_bytes(entry: Entry) -> int:
    """Give the length of an entry's command, in bytes."""
    return len(memoryview(entry.command))
