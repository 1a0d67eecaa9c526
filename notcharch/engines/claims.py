"""The replicated record of each engine's steward and epoch.

A component of a partition's state machine. An engine's epoch increases with
every change of its steward. It is at least the partition's epoch times
`CLAIMS_PER_EPOCH`, so it increases even if the partition was rebuilt without
the latest claims.
"""

from typing import ClassVar

import msgspec

from notcharch.errors import Problem, ProblemCode
from notcharch.partitions.interface import Command, CommandRefused, CommandResult
from notcharch.values.identifiers import EngineName, Epoch, Member

CLAIMS_PER_EPOCH = 1 << 20
"""Upper bound of the claims recorded in one epoch of a partition."""


class ClaimEngine(Command, frozen=True):
    """Make `member` the engine's steward. Result: `ClaimInForce`."""

    engine: EngineName
    member: Member


class DrainClaimedEngine(Command, frozen=True):
    """Record whether operators want the engine drained. Result: `ClaimInForce`."""

    engine: EngineName
    drain: bool


class ClaimInForce(CommandResult, frozen=True):
    """The claim after a command; `member` is None before the first claim.

    `former` is the process that held the previous claim.
    """

    engine: EngineName
    member: Member | None
    epoch: Epoch
    drained: bool
    former: Member | None = None


CLAIM_COMMANDS: tuple[type[Command], ...] = (
    ClaimEngine,
    DrainClaimedEngine,
)


class StewardClaimsState:
    """The claims of one partition's engines. Pure and deterministic."""

    COMMANDS: ClassVar[tuple[type[Command], ...]] = CLAIM_COMMANDS

    def __init__(self) -> None:
        """Start without claims."""
        self._claims: dict[EngineName, ClaimInForce] = {}
        self._max_epoch = Epoch(0)

    def claim(self, engine: EngineName) -> ClaimInForce | None:
        """Return the claim in force, or None."""
        return self._claims.get(engine)

    def apply(self, command: Command, epoch: Epoch) -> CommandResult:
        """Apply one committed command."""
        match command:
            case ClaimEngine():
                return self._claim(command, epoch)
            case DrainClaimedEngine():
                return self._drain(command)
        return CommandRefused(
            Problem.of(ProblemCode.INTERNAL, "not a command of steward claims")
        )

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        claims = tuple(self._claims[engine] for engine in sorted(self._claims))
        return msgspec.json.encode(_Snapshot(claims, self._max_epoch))

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        decoded = msgspec.json.decode(snapshot, type=_Snapshot)
        self._claims = {claim.engine: claim for claim in decoded.claims}
        self._max_epoch = decoded.greatest

    def _claim(self, command: ClaimEngine, epoch: Epoch) -> ClaimInForce:
        old = self._claims.get(command.engine)
        if old is not None and old.member == command.member:
            return old
        claim = ClaimInForce(
            command.engine,
            command.member,
            self._next_epoch(epoch),
            old.drained if old else False,
            old.member if old else None,
        )
        self._claims[command.engine] = claim
        return claim

    def _drain(self, command: DrainClaimedEngine) -> ClaimInForce:
        old = self._claims.get(command.engine)
        if old is None:
            old = ClaimInForce(command.engine, None, Epoch(0), False)
        claim = msgspec.structs.replace(old, drained=command.drain)
        self._claims[command.engine] = claim
        return claim

    def _next_epoch(self, epoch: Epoch) -> Epoch:
        """Return an epoch above all earlier epochs of the partition's engines."""
        self._max_epoch = Epoch(max(self._max_epoch + 1, epoch * CLAIMS_PER_EPOCH))
        return self._max_epoch


class _Snapshot(msgspec.Struct, frozen=True):
    """The encoded state."""

    claims: tuple[ClaimInForce, ...]
    greatest: Epoch
