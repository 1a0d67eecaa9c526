"""What a simulation needs of a policy, beside what its callers use."""

from collections.abc import Callable
from typing import Protocol

import attrs

from experiments.simulation.caller import Placement
from experiments.simulation.calls import RunEnd
from experiments.simulation.engine_room import EngineRoom


class Policy(Placement, Protocol):
    """Places calls on the engines of one simulation."""

    def run_ended(self, end: RunEnd) -> None:
        """Learn that a call's run ended, finished or not."""

    def start(self) -> None:
        """Begin periodic work."""


@attrs.frozen
class PolicySpec:
    """A policy by name: how it is built for a room and a seed."""

    name: str
    summary: str
    build: Callable[[EngineRoom, int], Policy]
