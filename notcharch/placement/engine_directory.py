"""Directory of the region's engines, from the machine list and the drained zones."""

from collections.abc import Callable

import msgspec

from notcharch.clients.ports import (
    Machine,
    MachineChanges,
    MachineKind,
    MachineState,
)
from notcharch.scheduling.zone_drains import DrainChange, DrainedZones, ZoneDrains
from notcharch.values.identifiers import EngineName, PoolName


class MachineEngineDirectory:
    """The daemon's `EngineDirectory`; `MachineListFollower` provides the changes."""

    def __init__(self) -> None:
        """Start with an empty directory."""
        self._listed: dict[str, Machine] = {}
        """Engines with their state in the machine list."""
        self._engines: dict[str, Machine] = {}
        """Engines by name, with live ones in drained zones marked as leaving."""
        self._drains = ZoneDrains()
        self._pools: dict[PoolName, tuple[Machine, ...]] = {}
        self._listeners: list[Callable[[], None]] = []

    def apply(self, changes: MachineChanges) -> None:
        """Apply changes of the machine list; a full list replaces all entries."""
        engines = {} if changes.full else dict(self._listed)
        for machine in changes.machines:
            if machine.kind is MachineKind.DAEMON:
                continue
            if machine.state is MachineState.GONE:
                engines.pop(machine.name, None)
            else:
                engines[machine.name] = machine
        self._listed = engines
        self._update()

    def drain_zones(self, drained: DrainedZones, now: float) -> DrainChange | None:
        """Set the drained zones, whose engines get no new work.

        Returns None if the set is older than the one in effect.
        """
        change = self._drains.update(drained, now)
        if change is not None and change.has_changes:
            self._update()
        return change

    def _update(self) -> None:
        """Recompute the engines' states and notify listeners if any changed."""
        engines = {
            name: self._as_drained(machine) for name, machine in self._listed.items()
        }
        if engines != self._engines:
            self._replace(engines)

    def _as_drained(self, machine: Machine) -> Machine:
        is_drained = self._drains.is_drained(machine.zone)
        if not is_drained or machine.state is not MachineState.LIVE:
            return machine
        return msgspec.structs.replace(machine, state=MachineState.LEAVING)

    def engines_of(self, pool: PoolName) -> tuple[Machine, ...]:
        """Return the pool's engines that may get new work, sorted by name."""
        return self._pools.get(pool, ())

    def engine(self, name: EngineName) -> Machine | None:
        """Return the engine's entry, even if it is leaving, or None."""
        return self._engines.get(name)

    def all_engines(self) -> tuple[Machine, ...]:
        """Return all engines that have not been removed, sorted by name."""
        return tuple(self._engines.values())

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register `listener`, called after each change of the directory."""
        self._listeners.append(listener)

    def _replace(self, engines: dict[str, Machine]) -> None:
        self._engines = dict(sorted(engines.items()))
        pools: dict[PoolName, list[Machine]] = {}
        for machine in self._engines.values():
            if machine.state is not MachineState.LIVE:
                continue
            for pool in machine.pools:
                pools.setdefault(pool, []).append(machine)
        self._pools = {pool: tuple(machines) for pool, machines in pools.items()}
        for listener in self._listeners:
            listener()
