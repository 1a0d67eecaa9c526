"""What is written to the journal of a partition of programs."""

import msgspec

from notcharch.tenants.tenant_use import TenantUse


class Record(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """The base of the journal's records."""


class BoundRaised(Record, frozen=True, tag="bound"):
    """A program's calls may generate so many tokens in all.

    Written before they may; whoever reads it counts them all as generated.
    """

    program: str
    bound_tokens: int
    written_at: int = 0
    """Seconds since 1970, roughly: the log drops records by their age."""


class TurnKept(Record, frozen=True, tag="turn"):
    """A turn ended whole; written before its caller sees the end."""

    program: str
    turn: str
    previous: str
    """The turn that it goes on from; empty for the first."""
    input: bytes
    output: bytes
    """The data of each of its events, each followed by a line feed."""
    written_at: int = 0


class AccountHandedOver(Record, frozen=True, tag="account"):
    """What an owner knew of a program when it gave the partition up in order."""

    program: str
    used_tokens: int
    under_way: dict[str, int]
    """The most of each call that still runs."""
    written_at: int = 0
    home: str = ""
    """The engine at which it ran last."""
    is_doubted: bool = False
    """Whether `used_tokens` counts tokens that may not have been generated."""


class AllowanceGiven(Record, frozen=True, tag="allowance"):
    """Programs without a record may use so much of their budgets; the last one counts.

    Written before the first of them begins; see `starting_allowance`.
    """

    permille: int
    """Thousandths of a budget, with what earlier owners allowed."""
    written_at: int = 0
    call_tokens: int = 0
    """One call of so many tokens may be used instead, if that is more."""


class LimitsHandedOver(Record, frozen=True, tag="limits"):
    """What each tenant had used of its limit when an owner stopped, in order."""

    uses: dict[str, TenantUse]
    decided_seconds: float
    """For so long it, and those that handed over to it, had decided."""


class LimitsTaken(Record, frozen=True, tag="limits-taken"):
    """An owner goes on from the levels handed over; they must not be used again."""


AnyRecord = (
    BoundRaised
    | TurnKept
    | AccountHandedOver
    | AllowanceGiven
    | LimitsHandedOver
    | LimitsTaken
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyRecord)


def encode(record: AnyRecord) -> bytes:
    """Write a record."""
    return _ENCODER.encode(record)


def decode(data: bytes) -> AnyRecord | None:
    """Read a record; None if it is of a kind not known here."""
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
