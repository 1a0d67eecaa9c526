"""The replicated state of a partition, composed of several state machines.

Each command type belongs to one component. A snapshot is the concatenation of the
components' snapshots as netstrings, in the order of construction.
"""

from collections.abc import Iterator, Sequence
from typing import ClassVar, Protocol, TypeVar

from notcharch.partitions.interface import Command, CommandResult
from notcharch.values.identifiers import Epoch

ComponentT = TypeVar("ComponentT")


class Component(Protocol):
    """One component of a partition's state; see `StateMachine`."""

    COMMANDS: ClassVar[tuple[type[Command], ...]]

    def apply(self, command: Command, epoch: Epoch) -> CommandResult:
        """Apply a committed command; must be deterministic."""

    def snapshot(self) -> bytes:
        """Encode the state of the component."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state of the component."""


class SnapshotError(ValueError):
    """A snapshot does not contain one netstring for each component."""


class PartitionState:
    """A `StateMachine` composed of components, which are looked up by type."""

    def __init__(self, components: Sequence[Component]) -> None:
        """Raise ValueError if two components handle the same command type."""
        self._components = tuple(components)
        self._component_by_command: dict[type[Command], Component] = {}
        for component in components:
            for command_type in component.COMMANDS:
                if command_type in self._component_by_command:
                    raise ValueError(
                        f"{command_type.__name__} is handled by two components"
                    )
                self._component_by_command[command_type] = component

    def component(self, kind: type[ComponentT]) -> ComponentT:
        """Return the component of the given type."""
        for component in self._components:
            if isinstance(component, kind):
                return component
        raise LookupError(kind.__name__)

    def apply(self, command: Command, epoch: Epoch) -> CommandResult:
        """Apply a command to the component that handles its type."""
        return self._component_by_command[type(command)].apply(command, epoch)

    def snapshot(self) -> bytes:
        """Encode the snapshots of all components, in order."""
        return b"".join(_encode_netstring(part.snapshot()) for part in self._components)

    def restore(self, snapshot: bytes) -> None:
        """Restore all components; a SnapshotError leaves them unchanged."""
        parts = list(_decode_netstrings(snapshot))
        if len(parts) != len(self._components):
            raise SnapshotError(f"{len(parts)} netstrings, not {len(self._components)}")
        for component, part in zip(self._components, parts, strict=True):
            component.restore(part)


def _encode_netstring(payload: bytes) -> bytes:
    return b"%d:%b," % (len(payload), payload)


def _decode_netstrings(data: bytes) -> Iterator[bytes]:
    position = 0
    while position < len(data):
        colon = data.find(b":", position)
        if colon < 0 or not data[position:colon].isdigit():
            raise SnapshotError(f"netstring at byte {position} has no length")
        start = colon + 1
        end = start + int(data[position:colon])
        if data[end : end + 1] != b",":
            raise SnapshotError(f"netstring has no comma at byte {end}")
        yield data[start:end]
        position = end + 1
