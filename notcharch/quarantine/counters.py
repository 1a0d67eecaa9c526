"""Asks the counters of a request: reports ends and whole answers, and asks for permits."""

from collections.abc import Callable, Sequence

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.quarantine.gathering import Gathering, Reply
from notcharch.quarantine.messages import (
    AskPermit,
    EndsCounted,
    PermitDecided,
    ReportEngineEnd,
    ReportWholeAnswer,
    ReturnPermit,
)
from notcharch.quarantine.records import EndRecords, EngineEnd
from notcharch.scheduling.holder_ring import HolderRing
from notcharch.values.identifiers import DaemonName
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

COUNTERS = 3
"""Daemons that count the ends under a request; two of them decide on a permit."""
REPLY_SECONDS = 0.15
"""How long counters are waited for: two round trips between regions."""


class Counters:
    """The daemons that a ring of hashes names for each request."""

    def __init__(
        self,
        clock: IReactorTime,
        network: PeerNetwork,
        records: EndRecords,
        members: Callable[[], Sequence[str]],
    ) -> None:
        """`members` returns the daemons that may be counters."""
        self._clock = clock
        self._network = network
        self._records = records
        self._members = members
        self._ring = HolderRing(())
        self._local = network.own_member.daemon

    def _of(self, identity: str) -> list[DaemonName]:
        members = self._members()
        if members != self._ring.members:
            self._ring = HolderRing(members)
        return [DaemonName(name) for name in self._ring.after(identity, COUNTERS)]

    def report_end(
        self,
        identity: str,
        end: EngineEnd,
        sent_at: float,
        then: Callable[[int], None],
    ) -> None:
        """Count an end here and at the counters.

        `then` is called once, with the number of counters that replied in time.
        """
        now = self._clock.seconds()
        known = self._records.known(identity, now)
        run_seconds = now - sent_at
        counters = self._of(identity)
        if self._local not in counters:
            self._records.count(identity, end, sent_at=sent_at, now=now)
        pending = [
            self._ask(counter, ReportEngineEnd(identity, end, run_seconds, rank, known))
            for rank, counter in enumerate(counters)
        ]
        replied = 0

        def on_reply(message: Message) -> bool:
            nonlocal replied
            assert isinstance(message, EndsCounted)
            replied += 1
            self._records.learn(identity, message.known, self._clock.seconds())
            return False

        Gathering(pending, on_reply, lambda: then(replied))

    def ask_permit(
        self,
        identity: str,
        attempt: str,
        seconds: float,
        then: Callable[["PermitResult"], None],
    ) -> None:
        """Ask whether an attempt may run for some seconds; `then` is called once."""
        now = self._clock.seconds()
        known = self._records.known(identity, now)
        counters = self._of(identity)
        if not counters:
            is_granted = self._records.grant(identity, attempt, seconds, now)
            then(PermitResult(int(is_granted), 1, 1))
            return
        question = AskPermit(identity, attempt, seconds, known)
        pending = [self._ask(counter, question) for counter in counters]
        result = PermitResult(0, 0, len(counters))

        def on_reply(message: Message) -> bool:
            assert isinstance(message, PermitDecided)
            result.replied += 1
            result.granted += message.is_granted
            self._records.learn(identity, message.known, self._clock.seconds())
            return result.is_granted

        Gathering(pending, on_reply, lambda: then(result))

    def return_permit(self, identity: str, attempt: str) -> None:
        """Let other attempts run."""
        self._records.release(identity, attempt)
        for counter in self._of(identity):
            self._network.notify(counter, ReturnPermit(identity, attempt))

    def report_whole_answer(self, identity: str) -> None:
        """Clear a request."""
        counters = self._of(identity)
        if self._local not in counters:
            self._records.clear(identity)
        for rank, counter in enumerate(counters):
            self._network.notify(counter, ReportWholeAnswer(identity, rank))

    def _ask(self, counter: DaemonName, question: Message) -> "Deferred[Reply]":
        return self._network.request(counter, question, REPLY_SECONDS)


class PermitResult:
    """What the counters of a request said."""

    def __init__(self, granted: int, replied: int, asked: int) -> None:
        """Start with the numbers of counters that granted, replied and were asked."""
        self.granted = granted
        self.replied = replied
        self._asked = asked

    @property
    def is_granted(self) -> bool:
        """Whether a majority granted the permit."""
        return self.granted > self._asked // 2

    @property
    def is_decided(self) -> bool:
        """Whether a majority replied."""
        return self.replied > self._asked // 2
