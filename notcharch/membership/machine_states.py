"""The states of the region's daemons in the platform's machine list, which may lag.

The list supplies addresses of daemons to probe and marks the leaving ones. Whether
a daemon is alive is decided by probes alone.
"""

from notcharch.clients.ports import (
    Machine,
    MachineChanges,
    MachineKind,
    MachineState,
)
from notcharch.values.identifiers import DaemonName
from notcharch.wire.messages.membership import MemberRecord


class MachineStates:
    """The listed daemons by name; an unavailable list keeps its last state."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self._machines: dict[DaemonName, Machine] = {}
        self._has_full_list = False

    def apply(self, changes: MachineChanges) -> None:
        """Apply changes of the list; a full list replaces everything."""
        if changes.full:
            self._machines.clear()
            self._has_full_list = True
        for machine in changes.machines:
            if machine.kind is MachineKind.DAEMON:
                self._machines[DaemonName(machine.name)] = machine

    def seeds(self) -> dict[DaemonName, str]:
        """Return the addresses of the daemons that are not listed as gone."""
        return {
            daemon: machine.address
            for daemon, machine in self._machines.items()
            if machine.state is not MachineState.GONE
        }

    def removed(self) -> tuple[DaemonName, ...]:
        """Return the daemons whose machines are listed as gone."""
        return tuple(
            daemon
            for daemon, machine in self._machines.items()
            if machine.state is MachineState.GONE
        )

    def is_removed(self, record: MemberRecord) -> bool:
        """Return whether the machine that a process ran on is listed as gone."""
        return self._state_of(record) is MachineState.GONE

    def is_absent(self, daemon: DaemonName) -> bool:
        """Return whether the full list was read and does not list the daemon as live."""
        machine = self._machines.get(daemon)
        if machine is None:
            return self._has_full_list
        return machine.state is MachineState.GONE

    def is_leaving(self, record: MemberRecord) -> bool:
        """Return whether the machine that a process runs on is listed as leaving."""
        return self._state_of(record) is MachineState.LEAVING

    def _state_of(self, record: MemberRecord) -> MachineState | None:
        machine = self._machines.get(record.member.daemon)
        if machine is None or machine.address != record.address:
            return None
        return machine.state
