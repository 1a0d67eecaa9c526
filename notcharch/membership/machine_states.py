"""What the platform's lagging machine list says of the daemons of the region.

The list proposes: it gives addresses of daemons to probe and says who is leaving.
Whether a daemon lives is decided by probes.
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
    """The listed daemons by name; a silent list keeps its last state."""

    def __init__(self) -> None:
        """Begin empty."""
        self._machines: dict[DaemonName, Machine] = {}
        self._is_read = False

    def apply(self, changes: MachineChanges) -> None:
        """Take in changes of the list; a full one replaces everything."""
        if changes.full:
            self._machines.clear()
            self._is_read = True
        for machine in changes.machines:
            if machine.kind is MachineKind.DAEMON:
                self._machines[DaemonName(machine.name)] = machine

    def seeds(self) -> dict[DaemonName, str]:
        """Give the daemons that may be there, with their addresses."""
        return {
            daemon: machine.address
            for daemon, machine in self._machines.items()
            if machine.state is not MachineState.GONE
        }

    def gone(self) -> tuple[DaemonName, ...]:
        """Give the daemons whose machines are listed as gone."""
        return tuple(
            daemon
            for daemon, machine in self._machines.items()
            if machine.state is MachineState.GONE
        )

    def is_gone(self, record: MemberRecord) -> bool:
        """Tell whether the machine that a process ran on is listed as gone."""
        return self._state_of(record) is MachineState.GONE

    def has_no_more(self, daemon: DaemonName) -> bool:
        """Tell whether the whole list was read and has no such live machine."""
        machine = self._machines.get(daemon)
        if machine is None:
            return self._is_read
        return machine.state is MachineState.GONE

    def is_leaving(self, record: MemberRecord) -> bool:
        """Tell whether the machine that a process runs on is listed as leaving."""
        return self._state_of(record) is MachineState.LEAVING

    def _state_of(self, record: MemberRecord) -> MachineState | None:
        machine = self._machines.get(record.member.daemon)
        if machine is None or machine.address != record.address:
            return None
        return machine.state
