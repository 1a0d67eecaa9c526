"""Finds the components of a replicated partition for the services that read them."""

from typing import TypeVar

from notcharch.daemon.partition_state import Component, PartitionState
from notcharch.engines.claims import StewardClaimsState
from notcharch.programs.state import ProgramsState
from notcharch.replication.interface import Command, PartitionReplicas
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
    """Typed access to the partitions that are replicated here."""

    def __init__(self, replicas: PartitionReplicas) -> None:
        """Read through `replicas`."""
        self._replicas = replicas

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
        state = self._replicas.state(partition)
        if not isinstance(state, PartitionState):
            return None
        return state.component(kind)
