"""Routes requests to the responsible daemon by assignment and by earlier responses."""

from collections.abc import Iterable
from random import Random
from typing import TypeVar

from result import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.errors import Problem
from notcharch.placement.assignment import Assignment
from notcharch.placement.interface import PartitionOwners
from notcharch.placement.routed_request import RoutedRequest
from notcharch.values.identifiers import DaemonName, EngineName, PartitionNumber
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import EnqueueCall, QuoteEngine
from notcharch.wire.peers import PeerNetwork

ENGINE_CHOICE_MESSAGES = (EnqueueCall, QuoteEngine)
ENGINE_CHOICE_TIMEOUT_SECONDS = 0.15
"""Maximum search for one engine's steward: the caller can choose another engine."""

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
        """Look up leaders in `owners` and stewards in `assignment`."""
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
        """Send a request to the partition's leader, following NOT_LEADER hints."""

        def targets() -> list[DaemonName]:
            owner = self._owners.owner(partition)
            if owner is None:
                self._owners.suspect_stale()
            known = () if owner is None else (owner.daemon,)
            return _learned_first(self._leaders.get(partition), known)

        def learn(daemon: DaemonName | None) -> None:
            if daemon is None:
                self._owners.suspect_stale()
            _learn(self._leaders, partition, daemon)

        routed = RoutedRequest(self._network, self._clock, self._random, targets, learn)
        return Deferred.fromCoroutine(routed.run(message, timeout_seconds))

    def to_steward(
        self, engine: EngineName, message: Message, timeout_seconds: float
    ) -> "Deferred[Result[Message, Problem]]":
        """Send a request to the engine's steward, following NOT_STEWARD hints."""

        def targets() -> list[DaemonName]:
            steward = self._assignment.steward_of(engine)
            assigned = () if steward is None else (steward,)
            return _learned_first(self._stewards.get(engine), assigned)

        def learn(daemon: DaemonName | None) -> None:
            _learn(self._stewards, engine, daemon)

        is_engine_choice = isinstance(message, ENGINE_CHOICE_MESSAGES)
        redirect_timeout = ENGINE_CHOICE_TIMEOUT_SECONDS if is_engine_choice else None
        routed = RoutedRequest(
            self._network,
            self._clock,
            self._random,
            targets,
            learn,
            redirect_timeout_seconds=redirect_timeout,
        )
        return Deferred.fromCoroutine(routed.run(message, timeout_seconds))

    def steward_of(self, engine: EngineName) -> DaemonName | None:
        """Return the engine's steward by rendezvous hashing, or None."""
        return self._assignment.steward_of(engine)


def _learned_first(
    learned: DaemonName | None, assigned: Iterable[DaemonName]
) -> list[DaemonName]:
    others = [daemon for daemon in assigned if daemon != learned]
    return others if learned is None else [learned, *others]


def _learn(learned: dict[Key, DaemonName], key: Key, daemon: DaemonName | None) -> None:
    if daemon is None:
        learned.pop(key, None)
    else:
        learned[key] = daemon
