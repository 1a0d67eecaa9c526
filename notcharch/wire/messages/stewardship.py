"""Claims of stewardship, recorded by the partition that an engine hashes to."""

from notcharch.values.identifiers import EngineName, Epoch, Member
from notcharch.wire.messages.base import Message


class ClaimStewardship(Message, frozen=True):
    """Ask to become an engine's steward. Reply: `StewardshipClaimed`.

    Repeating the claim while `member` still holds it gives the same epoch.
    """

    engine: EngineName
    member: Member


class ReadStewardship(Message, frozen=True):
    """Ask who holds an engine's claim, without changing it.

    Reply: `StewardshipClaimed`, or a `Refusal` (NOT_FOUND) before any claim.
    """

    engine: EngineName


class RecordDrain(Message, frozen=True):
    """Record whether operators want the engine drained. Reply: `StewardshipClaimed`.

    The wish outlives the steward: the next one learns it with its claim.
    """

    engine: EngineName
    drain: bool


class StewardshipClaimed(Message, frozen=True):
    """The claim in force: whoever has seen `epoch` refuses a lower one.

    `former` held the claim before `member` did.
    """

    engine: EngineName
    member: Member | None
    epoch: Epoch
    drained: bool
    former: Member | None = None


class StewardshipOffered(Message, frozen=True):
    """Notice of a steward whom hashing names no more to the one whom it names now.

    The sender serves the engine until the receiver has claimed it.
    """

    engine: EngineName


class StewardshipTaken(Message, frozen=True):
    """Notice to the former steward that `member` has claimed the engine."""

    engine: EngineName
    member: Member
    epoch: Epoch
