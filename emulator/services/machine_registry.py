"""The platform's list of machines: changes with versions, shown with a lag."""

from bisect import bisect_right
from collections.abc import Iterable

import attrs
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import Machine, MachineChanges
from notcharch.values.identifiers import RegionName

KEPT_CHANGES = 10_000
"""A reader that is further behind gets the full list."""


@attrs.frozen
class _Change:
    version: int
    at: float
    machine: Machine


class MachineRegistry:
    """The truth, and what readers see of it `lag_seconds` later."""

    def __init__(self, clock: IReactorTime, lag_seconds: float) -> None:
        """Begin empty, at version 0."""
        self._clock = clock
        self.usual_lag_seconds = lag_seconds
        self.lag_seconds = lag_seconds
        self._changes: list[_Change] = []
        self._truth: dict[str, Machine] = {}
        self._shown: dict[str, Machine] = {}
        self._shown_version = 0

    def put(self, machine: Machine) -> None:
        """Add or change a machine by its name; no change makes no version."""
        if self._truth.get(machine.name) == machine:
            return
        self._truth[machine.name] = machine
        version = self._changes[-1].version + 1 if self._changes else 1
        self._changes.append(_Change(version, self._clock.seconds(), machine))

    def truth(self) -> tuple[Machine, ...]:
        """Give the present list without lag."""
        return tuple(self._truth.values())

    def find(self, name: str) -> Machine | None:
        """Give a machine as it truly is."""
        return self._truth.get(name)

    def changes(self, region: RegionName, after: int | None) -> MachineChanges:
        """Give what is shown of a region: changes after a version, or all."""
        self._show()
        oldest = self._changes[0].version if self._changes else 1
        if after is None or after > self._shown_version or after < oldest - 1:
            machines = self._shown.values()
            return MachineChanges(
                self._shown_version, True, _of_region(machines, region)
            )
        newer = {
            change.machine.name: change.machine
            for change in self._changes
            if after < change.version <= self._shown_version
        }
        return MachineChanges(
            self._shown_version, False, _of_region(newer.values(), region)
        )

    def _show(self) -> None:
        """Let what is older than the lag be seen; the shown never goes back."""
        visible = bisect_right(
            self._changes, self._clock.seconds() - self.lag_seconds, key=_changed_at
        )
        start = bisect_right(self._changes, self._shown_version, key=_version)
        for change in self._changes[start:visible]:
            self._shown[change.machine.name] = change.machine
            self._shown_version = change.version
        if visible > 2 * KEPT_CHANGES:
            del self._changes[:KEPT_CHANGES]


def _changed_at(change: _Change) -> float:
    return change.at


def _version(change: _Change) -> int:
    return change.version


def _of_region(machines: Iterable[Machine], region: RegionName) -> tuple[Machine, ...]:
    return tuple(machine for machine in machines if machine.region == region)
