"""Handles stewardship claims by replicating them in the engine's partition."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from notcharch.engines.claims import (
    ClaimEngine,
    ClaimInForce,
    DrainClaimedEngine,
    StewardClaimsState,
)
from notcharch.errors import Problem, ProblemCode
from notcharch.errors.problem import ProblemError
from notcharch.partitions.interface import Command, PartitionHost
from notcharch.partitions.proposals import propose_or_raise
from notcharch.placement.partitions import partition_of_engine
from notcharch.values.identifiers import EngineName, Member, PartitionNumber
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.stewardship import (
    ClaimStewardship,
    ReadStewardship,
    RecordDrain,
    StewardshipClaimed,
)
from notcharch.wire.peers import PeerNetwork


class ClaimsService:
    """Handles `ClaimStewardship` and `RecordDrain` at a partition's leader."""

    def __init__(
        self,
        network: PeerNetwork,
        partitions: PartitionHost,
        partition_count: int,
        clock: IReactorTime,
        claims_of: Callable[[PartitionNumber], StewardClaimsState | None],
    ) -> None:
        """Register the handlers; `claims_of` returns a local partition's claims."""
        self._partitions = partitions
        self._partition_count = partition_count
        self._clock = clock
        self._claims_of = claims_of
        network.on_request(ClaimStewardship, self._on_claim)
        network.on_request(ReadStewardship, self._on_read)
        network.on_request(RecordDrain, self._on_drain)

    async def _on_claim(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, ClaimStewardship)
        command = ClaimEngine(self._clock.seconds(), message.engine, message.member)
        return await self._record(message.engine, command)

    async def _on_read(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, ReadStewardship)
        partition = partition_of_engine(message.engine, self._partition_count)
        claims = self._claims_of(partition)
        if claims is None or self._partitions.leader_epoch(partition) is None:
            raise ProblemError(
                Problem.of(
                    ProblemCode.NOT_LEADER,
                    "another daemon leads the partition",
                    hint=self._partitions.leader_hint(partition),
                )
            )
        claim = claims.claim(message.engine)
        if claim is None:
            raise ProblemError(
                Problem.of(
                    ProblemCode.NOT_FOUND, "no daemon has claimed the engine yet"
                )
            )
        return _reply(claim)

    async def _on_drain(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, RecordDrain)
        command = DrainClaimedEngine(
            self._clock.seconds(), message.engine, message.drain
        )
        return await self._record(message.engine, command)

    async def _record(self, engine: EngineName, command: Command) -> StewardshipClaimed:
        partition = partition_of_engine(engine, self._partition_count)
        result = await propose_or_raise(self._partitions, partition, command)
        if not isinstance(result, ClaimInForce):
            raise ProblemError(
                Problem.of(ProblemCode.INTERNAL, "the partition returned no claim")
            )
        return _reply(result)


def _reply(claim: ClaimInForce) -> StewardshipClaimed:
    return StewardshipClaimed(
        claim.engine, claim.member, claim.epoch, claim.drained, claim.former
    )
