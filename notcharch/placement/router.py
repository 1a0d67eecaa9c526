"""Finds the daemon that is responsible, by assignment and what was learnt before."""

from collections.abc import Iterable
from random import Random
from typing import TypeVar

from result import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.errors import Problem
from notcharch.placement.assignment import Assignment
from notcharch.placement.interface import PartitionOwners
from notcharch.placement.search import Search
from notcharch.values.identifiers import DaemonName, EngineName, PartitionNumber
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import EnqueueCall, QuoteEngine
from notcharch.wire.peers import PeerNetwork

CHOOSING_MESSAGES = (EnqueueCall, QuoteEngine)
CHOOSING_PATIENCE_SECONDS = 0.15
"""How long a call looks for an engine's steward: there are other engines."""

Key = TypeVar("Key", PartitionNumber, EngineName)


class PlacementRouter:
    """The `Router` of one daemon."""

    def __init__(
        self,
        network: PeerNetwork,
        assignment: Assignment,
        owners: PartitionOwners,
        clock: IReactorTime,
        random: Random,
    ) -> None:
        """Look for leaders by `owners` first, and for stewards by `assignment`."""
        self._network = network
        self._assignment = assignment
        self._owners = owners
        self._clock = clock
        self._random = random
        self._leaders: dict[PartitionNumber, DaemonName] = {}
        self._stewards: dict[EngineName, DaemonName] = {}

    def to_partition(
        self, partition: PartitionNumber, message: Message, timeout_seconds: float
    ) -> "Deferred[Result[Message, Problem]]":
        """Send to the partition's leader, following NOT_LEADER hints."""

        def targets() -> list[DaemonName]:
            owner = self._owners.owner(partition)
            if owner is None:
                self._owners.suspect_stale()
            known = () if owner is None else (owner.daemon,)
            return _first_then(self._leaders.get(partition), known)

        def learn(daemon: DaemonName | None) -> None:
            if daemon is None:
                self._owners.suspect_stale()
            _learn(self._leaders, partition, daemon)

        search = Search(self._network, self._clock, self._random, targets, learn)
        return Deferred.fromCoroutine(search.run(message, timeout_seconds))

    def to_steward(
        self, engine: EngineName, message: Message, timeout_seconds: float
    ) -> "Deferred[Result[Message, Problem]]":
        """Send to the engine's steward, following NOT_STEWARD hints."""

        def targets() -> list[DaemonName]:
            steward = self._assignment.steward_of(engine)
            assigned = () if steward is None else (steward,)
            return _first_then(self._stewards.get(engine), assigned)

        def learn(daemon: DaemonName | None) -> None:
            _learn(self._stewards, engine, daemon)

        is_choosing = isinstance(message, CHOOSING_MESSAGES)
        patience = CHOOSING_PATIENCE_SECONDS if is_choosing else None
        search = Search(
            self._network,
            self._clock,
            self._random,
            targets,
            learn,
            patience_seconds=patience,
        )
        return Deferred.fromCoroutine(search.run(message, timeout_seconds))

    def steward_of(self, engine: EngineName) -> DaemonName | None:
        """Give the daemon that should steward the engine."""
        return self._assignment.steward_of(engine)


def _first_then(
    learnt: DaemonName | None, assigned: Iterable[DaemonName]
) -> list[DaemonName]:
    others = [daemon for daemon in assigned if daemon != learnt]
    return others if learnt is None else [learnt, *others]


def _learn(learnt: dict[Key, DaemonName], key: Key, daemon: DaemonName | None) -> None:
    if daemon is None:
        learnt.pop(key, None)
    else:
        learnt[key] = daemon
