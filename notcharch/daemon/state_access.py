"""Finds the components of a led partition for the services that read them."""

from typing import TypeVar

from notcharch.daemon.partition_state import Component, PartitionState
from notcharch.engines.claims import StewardClaimsState
from notcharch.partitions.interface import Command, PartitionHost
from notcharch.programs.state import ProgramsState
from notcharch.services.allotments import AllotmentsState
from notcharch.values.identifiers import PartitionNumber

ComponentT = TypeVar("ComponentT", bound=Component)

COMMAND_TYPES: tuple[type[Command], ...] = (
    *ProgramsState.COMMANDS,
    *StewardClaimsState.COMMANDS,
    *AllotmentsState.COMMANDS,
)
"""Every command that any partition may hold."""


def new_partition_state(partition: PartitionNumber) -> PartitionState:
    """Make the empty state of a partition; its number does not matter."""
    return PartitionState((ProgramsState(), StewardClaimsState(), AllotmentsState()))


class StateAccess:
    """Typed access to the partitions that are led here."""

    def __init__(self, partitions: PartitionHost) -> None:
        """Read through `partitions`."""
        self._partitions = partitions

    def programs(self, partition: PartitionNumber) -> ProgramsState | None:
        """Give a partition's programs, or None when it is not here."""
        return self._component(partition, ProgramsState)

    def claims(self, partition: PartitionNumber) -> StewardClaimsState | None:
        """Give a partition's steward claims, or None when it is not here."""
        return self._component(partition, StewardClaimsState)

    def allotments(self, partition: PartitionNumber) -> AllotmentsState | None:
        """Give a partition's allotments, or None when it is not here."""
        return self._component(partition, AllotmentsState)

    def _component(
        self, partition: PartitionNumber, kind: type[ComponentT]
    ) -> ComponentT | None:
        state = self._partitions.state(partition)
        if not isinstance(state, PartitionState):
            return None
        return state.component(kind)
