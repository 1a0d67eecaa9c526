"""The engines of the region, from the machine list and the drained zones."""

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
    """The `EngineDirectory` of one daemon; fed by `MachineListFollower`."""

    def __init__(self) -> None:
        """Begin empty."""
        self._listed: dict[str, Machine] = {}
        """As the machine list has them."""
        self._engines: dict[str, Machine] = {}
        """With those of drained zones as leaving."""
        self._drains = ZoneDrains()
        self._pools: dict[PoolName, tuple[Machine, ...]] = {}
        self._listeners: list[Callable[[], None]] = []

    def apply(self, changes: MachineChanges) -> None:
        """Take in changes of the machine list; a full one replaces everything."""
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
        """Give the engines of some zones no new work; None if the set is an old one."""
        change = self._drains.update(drained, now)
        if change is not None and change.has_changes:
            self._update()
        return change

    def _update(self) -> None:
        """Tell of engines that differ; those of drained zones leave."""
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
        """Give the pool's engines that may get new work, sorted by name."""
        return self._pools.get(pool, ())

    def engine(self, name: EngineName) -> Machine | None:
        """Give an engine's entry, leaving ones included."""
        return self._engines.get(name)

    def all_engines(self) -> tuple[Machine, ...]:
        """Give every engine of the region that is not gone, sorted by name."""
        return tuple(self._engines.values())

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after the directory changed."""
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
