"""Messages between daemons and the owners of account partitions."""

from notcharch.journal.owner_messages import AskOwners, OwnersSeen
from notcharch.scheduling.shared_suspicions import Suspicion
from notcharch.tenants.messages import AskTable, TableSeen
from notcharch.wire.codec import MessageCodec
from notcharch.wire.messages.base import Message, Refusal

WHOLE_CALL = -1
"""A grant of all that a call may generate, as from owners of older builds."""


class PartitionMessage(Message, frozen=True):
    """Base class of messages to the owner of a partition."""

    partition: int


class AdmitTurn(PartitionMessage, frozen=True):
    """Request to run a call of a program. Reply: `TurnAdmitted` or `TurnRefused`."""

    program: str
    call: str
    most_tokens: int
    budget_tokens: int | None
    keep_seconds: float
    previous: str = ""
    """The turn from which the call continues, and whose chain is requested."""
    known: str = ""
    """The newest turn of the program whose chain the requester has."""
    suspicions: tuple[Suspicion, ...] = ()
    """Engines that the requester suspects."""
    page_bytes: int = 0
    """How much text the requester takes at once, if it reads further pages; older builds
    send 0 and take the whole chain."""
    turn_bytes: int = 0
    """Memory that the turn of the call takes at least; 0 if it is not to be stored, and
    from older builds."""
    event_tokens: int = 0
    """Tokens of one event; 0 from older builds, which ask for no further grant."""


class TurnAdmitted(Message, frozen=True):
    """The call may run."""

    home: str = ""
    """The engine that ran the program's last call."""
    after: str = ""
    """`text` follows the chain of this turn, which the requester has."""
    text: bytes = b""
    """Inputs and outputs of the turns before the call, oldest first; the first page."""
    last: str = ""
    """The turn with which `text` ends; empty for the requested one."""
    remaining_bytes: int = 0
    """Length of the text on later pages, for which the requester sends `ReadTurns`."""
    suspicions: tuple[Suspicion, ...] = ()
    """Engines that the owner suspects."""
    granted_tokens: int = WHOLE_CALL
    """How many tokens may be relayed to the caller until more are granted."""


class RaiseGrant(PartitionMessage, frozen=True):
    """Request to grant more tokens to a running call.

    Reply: `GrantRaised`, once a next owner would count them.
    """

    program: str
    call: str
    most_tokens: int
    budget_tokens: int | None
    event_tokens: int
    granted_tokens: int
    """Those granted so far."""
    relayed_tokens: int
    """Those that were relayed to the caller."""
    wanted_tokens: int
    """The least total with which the call can go on."""


class GrantRaised(Message, frozen=True):
    """The call may generate so many tokens in total, or until more are granted."""

    granted_tokens: int


class TurnRefused(Message, frozen=True):
    """The call must not run; the refusal is final."""

    is_spent: bool
    """True: the budget is spent; false: this partition does not store the turn."""
    is_certain: bool = True
    """False if this partition may have stored the turn and lost records of it."""


class CallNotRecorded(Message, frozen=True):
    """The call must not run: its record is refused, or the owner has no memory for it."""


class UsageDoubted(Message, frozen=True):
    """The call must not run: its program's budget may be spent, which is not known yet."""

    retry_after_seconds: float


class FindTurn(PartitionMessage, frozen=True):
    """Request for a turn of any program. Reply: `TurnFound` or `TurnMissing`."""

    turn: str
    must_be_certain: bool
    """Whether the owner must confirm that no other owner wrote the turn."""
    page_bytes: int = 0
    """As in `AdmitTurn`."""
    keep_seconds: float = 0.0
    """Retention of turns on the route of the call."""


class TurnFound(Message, frozen=True):
    """The turn is stored in this partition."""

    text: bytes
    """The first page of its chain: inputs and outputs, oldest first."""
    last: str = ""
    """The turn with which `text` ends; empty for the requested one."""
    remaining_bytes: int = 0
    """Length of the text on later pages."""


class ReadTurns(PartitionMessage, frozen=True):
    """Request for the next page of a chain. Reply: `TurnsRead`, or `TurnMissing`."""

    turn: str
    """The last turn of the chain."""
    known: str
    """The turn with which the previous page ended."""
    page_bytes: int
    """As in `AdmitTurn`."""


class TurnsRead(Message, frozen=True):
    """A page of a chain."""

    after: str
    """The turn with which the previous page ended."""
    text: bytes
    last: str
    """The turn with which `text` ends."""
    remaining_bytes: int


class TurnMissing(Message, frozen=True):
    """The turn is not stored in this partition; confirmed if `must_be_certain` was set."""


class SettleCall(PartitionMessage, frozen=True):
    """Report of the tokens that a call generated for its caller."""

    program: str
    call: str
    tokens: int
    engine: str = ""
    """The engine that ran the call; empty if it did not run."""


class KeepTurn(PartitionMessage, frozen=True):
    """Request to store a completed turn.

    Reply: `TurnIsKept`, once it is durable, or `TurnNotStorable`.
    """

    program: str
    call: str
    previous: str
    input: bytes
    output: bytes
    tokens: int
    engine: str = ""
    is_part: bool = False
    """Whether it holds the first part of a larger turn, which another one completes."""
    granted_tokens: int = WHOLE_CALL
    """What owners granted to the call; older builds don't tell."""


class TurnIsKept(Message, frozen=True):
    """The turn is in the journal."""


class TurnNotStorable(Message, frozen=True):
    """The log service does not take the turn and never will; it is not stored."""


class AdmitCall(PartitionMessage, frozen=True):
    """Request to admit a call within its tenant's limit.

    Reply: `CallAdmitted` or `CallOverLimit`.
    """

    tenant: str
    call: str
    program: str
    route: str
    most_wait_seconds: float = 0.0
    """How long the call may be delayed until the limit has capacity."""


class CallAdmitted(Message, frozen=True):
    """The limit admits the call and counts it."""

    wait_seconds: float = 0.0
    """Delay before the call may run."""


class CallOverLimit(Message, frozen=True):
    """The call exceeds the limit."""

    retry_after_seconds: float


class NotOwner(Message, frozen=True):
    """This daemon does not own the partition, or not yet; the request may be retried."""

    owner: str = ""
    """The owner as known by this daemon, in the text form of `OwnerName`."""
    store_outage_seconds: float = 0.0
    """If positive, this daemon is the owner, and can't decide because the store has been
    down for so long. Older builds take it as any other reply without a decision."""


ACCOUNT_MESSAGES: tuple[type[Message], ...] = (
    AdmitTurn,
    TurnAdmitted,
    TurnRefused,
    CallNotRecorded,
    UsageDoubted,
    RaiseGrant,
    GrantRaised,
    SettleCall,
    FindTurn,
    TurnFound,
    TurnMissing,
    ReadTurns,
    TurnsRead,
    KeepTurn,
    TurnIsKept,
    TurnNotStorable,
    AdmitCall,
    CallAdmitted,
    CallOverLimit,
    NotOwner,
    AskOwners,
    OwnersSeen,
    AskTable,
    TableSeen,
    Refusal,
)


def account_codec(others: tuple[type[Message], ...] = ()) -> MessageCodec:
    """Return the codec of the account messages, and of `others` on the same network."""
    return MessageCodec((*ACCOUNT_MESSAGES, *others))
