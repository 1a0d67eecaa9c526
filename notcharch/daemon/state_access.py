"""Access to the state components of the partitions that this daemon leads."""

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
"""All command types that a partition may contain."""


def new_partition_state(partition: PartitionNumber) -> PartitionState:
    """Create the empty state of a partition, which is the same for all partitions."""
    return PartitionState((ProgramsState(), StewardClaimsState(), AllotmentsState()))


class StateAccess:
    """Typed access to the state of partitions that this daemon leads."""

    def __init__(self, partitions: PartitionHost) -> None:
        """Read the states from `partitions`."""
        self._partitions = partitions

    def programs(self, partition: PartitionNumber) -> ProgramsState | None:
        """Return a partition's programs, or None if it is not led here."""
        return self._component(partition, ProgramsState)

    def claims(self, partition: PartitionNumber) -> StewardClaimsState | None:
        """Return a partition's steward claims, or None if it is not led here."""
        return self._component(partition, StewardClaimsState)

    def allotments(self, partition: PartitionNumber) -> AllotmentsState | None:
        """Return a partition's allotments, or None if it is not led here."""
        return self._component(partition, AllotmentsState)

    def _component(
        self, partition: PartitionNumber, kind: type[ComponentT]
    ) -> ComponentT | None:
        state = self._partitions.state(partition)
        if not isinstance(state, PartitionState):
            return None
        return state.component(kind)
