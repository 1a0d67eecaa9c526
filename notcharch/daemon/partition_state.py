"""The whole replicated state of one partition: several components as one machine.

Each command type belongs to one component. A snapshot is the components'
snapshots, one netstring after another, in the order of construction.
"""

from collections.abc import Iterator, Sequence
from typing import ClassVar, Protocol, TypeVar

from notcharch.partitions.interface import Command, CommandResult
from notcharch.values.identifiers import Epoch

ComponentT = TypeVar("ComponentT")


class Component(Protocol):
    """One part of a partition's state; see `StateMachine`."""

    COMMANDS: ClassVar[tuple[type[Command], ...]]

    def apply(self, command: Command, epoch: Epoch) -> CommandResult:
        """Apply one committed command; deterministic."""

    def snapshot(self) -> bytes:
        """Encode the whole component."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole component."""


class SnapshotError(ValueError):
    """A snapshot is not one netstring for each component."""


class PartitionState:
    """A `StateMachine` made of components, found again by their type."""

    def __init__(self, components: Sequence[Component]) -> None:
        """Take the components; no two may claim the same command type."""
        self._components = tuple(components)
        self._owners: dict[type[Command], Component] = {}
        for component in components:
            for command_type in component.COMMANDS:
                if command_type in self._owners:
                    raise ValueError(f"{command_type.__name__} has two owners")
                self._owners[command_type] = component

    def component(self, kind: type[ComponentT]) -> ComponentT:
        """Give the component of a type."""
        for component in self._components:
            if isinstance(component, kind):
                return component
        raise LookupError(kind.__name__)

    def apply(self, command: Command, epoch: Epoch) -> CommandResult:
        """Give a command to the component that owns its type."""
        return self._owners[type(command)].apply(command, epoch)

    def snapshot(self) -> bytes:
        """Encode every component, in order."""
        return b"".join(_netstring(part.snapshot()) for part in self._components)

    def restore(self, snapshot: bytes) -> None:
        """Replace every component; raises SnapshotError and changes nothing."""
        parts = list(_netstrings(snapshot))
        if len(parts) != len(self._components):
            raise SnapshotError(f"{len(parts)} parts, not {len(self._components)}")
        for component, part in zip(self._components, parts, strict=True):
            component.restore(part)


def _netstring(payload: bytes) -> bytes:
    return b"%d:%b," % (len(payload), payload)


def _netstrings(data: bytes) -> Iterator[bytes]:
    position = 0
    while position < len(data):
        colon = data.find(b":", position)
        if colon < 0 or not data[position:colon].isdigit():
            raise SnapshotError(f"no length at byte {position}")
        start = colon + 1
        end = start + int(data[position:colon])
        if data[end : end + 1] != b",":
            raise SnapshotError(f"no comma at byte {end}")
        yield data[start:end]
        position = end + 1
