"""Records in the journal of an account partition."""

import msgspec

from notcharch.journal.partition_journal import decode_entry
from notcharch.tenants.tenant_use import TenantUse


class Record(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """Base class of journal records."""


class CallGrant(msgspec.Struct, frozen=True, array_like=True):
    """What a call in flight may relay, and what it has relayed, in tokens."""

    granted: int
    relayed: int = 0


class AccountDoubt(msgspec.Struct, frozen=True, array_like=True):
    """Parts of a bound which may turn out not to have been generated."""

    under_way: dict[str, int] = {}
    """Maximum tokens of known calls in flight, by call id."""
    unproven_tokens: int = 0
    """Tokens that records may have shown which the log dropped too early."""
    grants: dict[str, CallGrant] = {}
    """Of calls in flight that are granted less than their maximum, by call id."""


NO_DOUBT = AccountDoubt()


class BoundRaised(Record, frozen=True, tag="bound"):
    """Sets the number of tokens that a program's calls may generate in total.

    Written before calls use the bound; the next owner counts it as used completely.
    """

    program: str
    bound_tokens: int
    written_at: int = 0
    """Approximate Unix time; the log drops records by age."""
    used_tokens: int = 0
    """Of the bound, those that were certainly generated."""
    doubt: AccountDoubt | None = None


class AccountState(msgspec.Struct, frozen=True, array_like=True):
    """The account of a program after a turn; as in `BoundRaised`."""

    used_tokens: int
    bound_tokens: int
    doubt: AccountDoubt | None = None


class TurnKept(Record, frozen=True, tag="turn"):
    """A completed turn, written before the caller receives the end of the output."""

    program: str
    turn: str
    previous: str
    """Id of the preceding turn; empty for the first."""
    input: bytes
    output: bytes
    """Data of the output events, each followed by a line feed."""
    written_at: int = 0
    keep_seconds: float = 0.0
    """How long turns of its owner are kept at least; 0 in records of older builds."""
    account: AccountState | None = None
    """The program's account from then on; None if the turn doesn't change it."""


class AccountHandedOver(Record, frozen=True, tag="account"):
    """The account of a program at a planned handover of the partition."""

    program: str
    used_tokens: int
    under_way: dict[str, int]
    """Maximum tokens of each call in flight, by call id."""
    written_at: int = 0
    home: str = ""
    """The engine that ran the program's last call."""
    is_doubted: bool = False
    """Of older builds: `used_tokens` may include tokens that were not generated."""
    doubted_tokens: int = 0
    """Tokens besides `used_tokens` that may have been generated."""
    unproven_tokens: int = 0
    """As in `AccountDoubt`."""
    ages: dict[str, float] = {}
    """Seconds since each call in flight was admitted, by call id."""
    grants: dict[str, CallGrant] = {}
    """As in `AccountDoubt`."""


class AllowanceGiven(Record, frozen=True, tag="allowance"):
    """The allowance of programs without a record; a later record replaces it.

    Written before programs start by it; see `starting_allowance`.
    """

    permille: int
    """Thousandths of a budget, including the allowance of earlier owners; for older builds
    alone if there is a `call_permille`."""
    written_at: int = 0
    call_tokens: int = 0
    """Of older builds: size of a call that is permitted instead if it is larger."""
    call_permille: int = 0
    """Thousandths of a call's maximum, including the allowance of earlier owners."""


class LimitsHandedOver(Record, frozen=True, tag="limits"):
    """Each tenant's use of its limit at a planned handover of the partition."""

    uses: dict[str, TenantUse]
    decided_seconds: float
    """Time for which this owner and those that handed over to it had decided."""


class LimitsTaken(Record, frozen=True, tag="limits-taken"):
    """The owner uses the limits handed over; no later owner may use them again."""


class AccountsMark(msgspec.Struct, frozen=True, array_like=True):
    """As in `HistoryMark`, of accounts alone."""

    complete_from: int
    certain_seconds: float | None = None


class HistoryMark(Record, frozen=True, tag="mark"):
    """The journal holds from an offset on all records that still count."""

    complete_from: int
    certain_seconds: float | None = None
    """Only of records up to this age; None if the owner misses none."""
    written_at: int = 0
    accounts: AccountsMark | None = None
    """The same of accounts, if more is known of them; None if not."""
    is_handover: bool = False
    """Whether it follows the accounts that an owner hands over, as its last record."""


AnyRecord = (
    BoundRaised
    | TurnKept
    | AccountHandedOver
    | AllowanceGiven
    | LimitsHandedOver
    | LimitsTaken
    | HistoryMark
)


def written_at(record: AnyRecord) -> int:
    """Return the approximate Unix time of a record; 0 if it does not tell."""
    return (
        0 if isinstance(record, LimitsHandedOver | LimitsTaken) else record.written_at
    )


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyRecord)


def compact(seconds: float) -> float:
    """Return whole seconds as an integer, which takes a ninth of the bytes."""
    return int(seconds) if seconds.is_integer() else seconds


def encode(record: AnyRecord) -> bytes:
    """Encode a record."""
    return _ENCODER.encode(record)


def decode(data: bytes) -> AnyRecord:
    """Decode a record; raises `UnreadableEntryError` if it can't be read."""
    return decode_entry(_DECODER, data)
