"""Messages between daemons about requests under which engines end."""

import msgspec

from notcharch.quarantine.records import NO_ENDS, EngineEnd, KnownEnds
from notcharch.wire.messages.base import Message


class ReportEngineEnd(Message, frozen=True):
    """Asks a counter to count an end. Reply: `EndsCounted`."""

    identity: str
    end: EngineEnd
    run_seconds: float
    """Seconds since the request was sent to that engine."""
    rank: int
    """The receiver's place among the counters; the first one tells the others."""
    known: KnownEnds = NO_ENDS
    """What the sender knew before."""


class EndsCounted(Message, frozen=True):
    """The engines that ended under the request, as a counter knows them."""

    known: KnownEnds


class AskPermit(Message, frozen=True):
    """Asks a counter whether an attempt may run. Reply: `PermitDecided`."""

    identity: str
    attempt: str
    seconds: float
    """How long the attempt may take."""
    known: KnownEnds
    """What the sender knows."""


class PermitDecided(Message, frozen=True):
    """Whether the attempt may run, as far as one counter is concerned."""

    is_granted: bool
    known: KnownEnds


class ReturnPermit(Message, frozen=True):
    """Notice to a counter: an attempt is over."""

    identity: str
    attempt: str


class ReportWholeAnswer(Message, frozen=True):
    """Notice to a counter: the request was answered whole, so its ends don't count."""

    identity: str
    rank: int


class SuspectRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request and the engines that ended under it; none if it was answered whole."""

    identity: str
    known: KnownEnds


class SuspectsKnown(Message, frozen=True):
    """Notice of, or reply with, requests that need a permit or are quarantined."""

    suspects: tuple[SuspectRequest, ...]


class AskSuspects(Message, frozen=True):
    """Asks a peer for all that it knows. Reply: `SuspectsKnown`."""


QUARANTINE_MESSAGES: tuple[type[Message], ...] = (
    ReportEngineEnd,
    EndsCounted,
    AskPermit,
    PermitDecided,
    ReturnPermit,
    ReportWholeAnswer,
    SuspectsKnown,
    AskSuspects,
)
