"""This daemon as a counter: counts ends for its peers, grants permits, tells suspects."""

from collections.abc import Sequence

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.events.event import emit
from notcharch.events.quarantine import SuspectTold
from notcharch.quarantine.messages import (
    AskPermit,
    AskSuspects,
    EndsCounted,
    PermitDecided,
    ReportEngineEnd,
    ReportWholeAnswer,
    ReturnPermit,
    SuspectRequest,
    SuspectsKnown,
)
from notcharch.quarantine.records import (
    NO_ENDS,
    PERMIT_ENDS,
    EndRecords,
    KnownEnds,
    end_names,
)
from notcharch.values.identifiers import Member
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

TELL_DELAY_SECONDS = 0.1
"""How long each counter waits for the one before it to tell the others."""
MAX_SUSPECTS_PER_MESSAGE = 1_000


class CounterRole:
    """Handles the messages of this package."""

    def __init__(
        self, clock: IReactorTime, network: PeerNetwork, records: EndRecords
    ) -> None:
        """Register the handlers; `records` are also those of this daemon's calls."""
        self._clock = clock
        self._network = network
        self._records = records
        self._untold: dict[str, IDelayedCall] = {}
        """What is told later, unless another counter does it first."""
        network.on_request(ReportEngineEnd, self._count)
        network.on_request(AskPermit, self._decide)
        network.on_request(AskSuspects, self._reply_suspects)
        network.on_notice(ReturnPermit, self._permit_returned)
        network.on_notice(ReportWholeAnswer, self._answered_whole)
        network.on_notice(SuspectsKnown, self._suspects_received)

    async def _count(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, ReportEngineEnd)
        now = self._clock.seconds()
        identity = message.identity
        before = self._records.known(identity, now)
        self._records.learn(identity, message.known, now)
        record = self._records.count(
            identity, message.end, sent_at=now - message.run_seconds, now=now
        )
        known = self._records.known(identity, now)
        if record.needs_permit and record.ends != before.ends:
            self._tell_by_rank(identity, known, message.rank)
        return EndsCounted(known)

    async def _decide(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, AskPermit)
        now = self._clock.seconds()
        self._records.learn(message.identity, message.known, now)
        is_granted = self._records.grant(
            message.identity, message.attempt, message.seconds, now
        )
        return PermitDecided(is_granted, self._records.known(message.identity, now))

    async def _reply_suspects(self, sender: Member, message: Message) -> Message:
        now = self._clock.seconds()
        newest = self._records.suspects(now)[-MAX_SUSPECTS_PER_MESSAGE:]
        return SuspectsKnown(
            tuple(
                SuspectRequest(identity, self._records.known(identity, now))
                for identity in newest
            )
        )

    def _permit_returned(self, sender: Member, message: Message) -> None:
        if isinstance(message, ReturnPermit):
            self._records.release(message.identity, message.attempt)

    def _answered_whole(self, sender: Member, message: Message) -> None:
        if not isinstance(message, ReportWholeAnswer):
            return
        ends = self._records.clear(message.identity)
        if len(ends) >= PERMIT_ENDS:
            self._tell_by_rank(message.identity, NO_ENDS, message.rank)

    # Telling all peers

    def _tell_by_rank(self, identity: str, known: KnownEnds, rank: int) -> None:
        """Tell all peers, after those counters that come before this one."""
        self._cancel(identity)
        if rank == 0:
            self._tell(identity, known)
            return
        self._untold[identity] = self._clock.callLater(
            rank * TELL_DELAY_SECONDS, self._tell, identity, known
        )

    def _tell(self, identity: str, known: KnownEnds) -> None:
        self._untold.pop(identity, None)
        peers = self._network.connected_peers()
        notice = SuspectsKnown((SuspectRequest(identity, known),))
        for peer in peers:
            self._network.notify(peer, notice)
        emit(SuspectTold(identity, end_names(known.ends), len(peers)))

    def _cancel(self, identity: str) -> None:
        untold = self._untold.pop(identity, None)
        if untold is not None and untold.active():
            untold.cancel()

    def _suspects_received(self, sender: Member, message: Message) -> None:
        if isinstance(message, SuspectsKnown):
            self.learn(message.suspects)

    def learn(self, suspects: Sequence[SuspectRequest]) -> None:
        """Take over what a peer tells; it need not be told again."""
        now = self._clock.seconds()
        for suspect in suspects:
            self._cancel(suspect.identity)
            if suspect.known.ends:
                self._records.learn(suspect.identity, suspect.known, now)
            else:
                self._records.clear(suspect.identity)
