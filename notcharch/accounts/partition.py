"""One partition as its owner keeps it: claimed, replayed, served until it is lost."""

import time
from collections.abc import Callable, Generator
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.allowance_keeper import AllowanceKeeper
from notcharch.accounts.ledger import Ledger, Verdict
from notcharch.accounts.limited_tenants import NOT_OWNER, LimitedTenants, Limiting
from notcharch.accounts.messages import (
    AdmitCall,
    AdmitTurn,
    FindTurn,
    KeepTurn,
    SettleCall,
    TurnAdmitted,
    TurnFound,
    TurnIsKept,
    TurnMissing,
    TurnRefused,
)
from notcharch.accounts.metrics import OWNED_PARTITIONS, TAKEOVER_SECONDS
from notcharch.accounts.records import (
    AnyRecord,
    BoundRaised,
    LimitsTaken,
    TurnKept,
    decode,
    encode,
)
from notcharch.accounts.shared_writes import SharedWrites
from notcharch.accounts.turns import Transcript
from notcharch.events.accounts import (
    BudgetRefused,
    PartitionGivenUp,
    PartitionTakenOver,
)
from notcharch.events.event import emit
from notcharch.journal.interface import LogService
from notcharch.journal.partition_journal import PartitionAssignment, PartitionJournal
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.journal.writer import Outcome
from notcharch.wire.messages.base import Message

FENCED = "a higher epoch writes it"
DEALT_AWAY = "dealt to another daemon"


class OwnedPartition:
    """A partition that this daemon owns, or is taking over."""

    def __init__(
        self,
        service: LogService,
        clock: IReactorTime,
        random: Random,
        assignment: PartitionAssignment,
        *,
        lost: Callable[["OwnedPartition"], None],
        recovery: RecoverySignal,
        allows_starting: bool = True,
        limiting: Limiting | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Prepare to take a partition over."""
        self._tenants = LimitedTenants(limiting or Limiting(), clock, assignment.number)
        self._clock = clock
        self.assignment = assignment
        self._lost = lost
        self._wall = wall
        self._ledger = Ledger()
        self._journal = PartitionJournal(
            service,
            clock,
            random,
            assignment,
            target=self,
            on_fenced=self._was_lost,
            recovery=recovery,
        )
        self._writer = self._journal.writer
        self.is_serving = False
        self._began = clock.seconds()
        self._waiting: list[Deferred[None]] = []
        self._allowance = AllowanceKeeper(
            self._ledger, clock, self._wall_seconds, self._write, is_on=allows_starting
        )
        self._raising = SharedWrites()
        """Bounds that are being written, by their programs."""
        self._keeping = SharedWrites()
        """Turns that are being written, by their ids."""

    @inlineCallbacks
    def take_over(self) -> Generator["Deferred[Any]", Any, None]:
        """Fence the former owner and read what it wrote."""
        is_read = yield self._journal.take_over()
        if is_read:
            self.is_serving = True
            wall = self._wall_seconds()
            self._ledger.allowance.taken_over(self._clock.seconds(), wall)
            limits_taken = self._tenants.taken_over()
            self._log_taken_over()
            self._wake()
            yield self._allowance.renew()
            if limits_taken is not None:
                yield self._take_limits(limits_taken)

    @inlineCallbacks
    def _take_limits(
        self, record: LimitsTaken
    ) -> Generator["Deferred[Any]", Any, None]:
        """Journal that we go on from what the former owner left of tenants' limits."""
        outcome = yield self._write(encode(record))
        if outcome is Outcome.DURABLE:
            self._tenants.take_levels()

    def _wall_seconds(self) -> int:
        """Give seconds since 1970, by a clock that may be some seconds off."""
        return int(self._wall())

    def _log_taken_over(self) -> None:
        OWNED_PARTITIONS.inc()
        TAKEOVER_SECONDS.observe(self._clock.seconds() - self._began)
        emit(
            PartitionTakenOver(
                partition=self.assignment.number,
                epoch=self.assignment.epoch,
                records=self._journal.records,
                programs=len(self._ledger),
                seconds=round(self._clock.seconds() - self._began, 4),
            )
        )

    def _log_given_up(self, cause: str) -> None:
        if self.is_serving:
            OWNED_PARTITIONS.dec()
        self.is_serving = False
        emit(PartitionGivenUp(self.assignment.number, self.assignment.epoch, cause))

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(None)

    # What the journal replays

    def skip_to(self, offset: int) -> None:
        """Go on without what is too old to count."""

    def replay_record(self, offset: int, record: bytes) -> None:
        """Take a record of an earlier owner."""
        known = decode(record)
        if known is not None:
            self._ledger.replay(known, self._clock.seconds())
            self._tenants.replay(known)

    def _was_lost(self) -> None:
        self._log_given_up(FENCED)
        self._wake()
        self._lost(self)

    @inlineCallbacks
    def hand_over(self) -> Generator["Deferred[Any]", Any, None]:
        """Write what is known of all accounts, then give the partition up."""
        if self.is_serving:
            self.is_serving = False
            OWNED_PARTITIONS.dec()
            written = [
                self._write(encode(account))
                for account in self._ledger.accounts(self._wall_seconds())
            ]
            limits = self._tenants.hand_over()
            if limits is not None:
                written.append(self._write(encode(limits)))
            yield gatherResults(written)
        self.close()

    def close(self) -> None:
        """Give the partition up."""
        self._log_given_up(DEALT_AWAY)
        self._writer.close()
        self._wake()

    @inlineCallbacks
    def _until_serving(self) -> Generator["Deferred[Any]", Any, bool]:
        if not self.is_serving and self._writer.is_open:
            waiting: Deferred[None] = Deferred()
            self._waiting.append(waiting)
            yield waiting
        return self.is_serving

    # What other daemons ask

    @inlineCallbacks
    def admit(self, ask: AdmitTurn) -> Generator["Deferred[Any]", Any, Message]:
        """Admit a call of a program, or refuse it."""
        ledger = self._ledger
        ledger.keep_seconds = max(ledger.keep_seconds, ask.keep_seconds)
        if not (yield self._until_serving()):
            return NOT_OWNER
        transcript: Transcript | None = Transcript("", b"")
        if ask.previous:
            transcript = self._ledger.turns.transcript(ask.previous, ask.known)
            self._ledger.turns.use(ask.previous, self._clock.seconds())
            if transcript is None:
                is_certain = yield self._is_still_owner()
                return TurnRefused(is_spent=False) if is_certain else NOT_OWNER
        verdict = self._verdict(ask)
        while verdict is Verdict.NEEDS_BOUND:
            is_raised = yield self._raising.write(
                ask.program, lambda: self._write_bound(ask)
            )
            if not is_raised or not self.is_serving:
                return NOT_OWNER  # what is reserved now, no successor would know
            verdict = self._verdict(ask)
        self._allowance.renew_if_due()  # not before: the call's own bound is urgent
        if verdict is Verdict.GIVEN_UP:
            return NOT_OWNER  # nobody waits for an answer
        if verdict is Verdict.SPENT:
            self._log_spent(ask)
            return TurnRefused(is_spent=True)
        assert transcript is not None
        home = self._ledger.program(ask.program, self._clock.seconds()).home
        return TurnAdmitted(home, transcript.after, transcript.text)

    @inlineCallbacks
    def admit_call(self, ask: AdmitCall) -> Generator["Deferred[Any]", Any, Message]:
        """Decide whether a tenant's limit has room for a call."""
        is_serving = yield self._until_serving()
        return self._tenants.decide(ask) if is_serving else NOT_OWNER

    def _log_spent(self, ask: AdmitTurn) -> None:
        program = self._ledger.program(ask.program, self._clock.seconds())
        emit(
            BudgetRefused(
                request=ask.call,
                program=ask.program,
                partition=self.assignment.number,
                epoch=self.assignment.epoch,
                budget_tokens=ask.budget_tokens or 0,
                used_tokens=program.used,
                under_way_tokens=program.committed - program.used,
                most_tokens=ask.most_tokens,
            )
        )

    def _verdict(self, ask: AdmitTurn) -> Verdict:
        return self._ledger.admit(
            ask.program,
            ask.call,
            ask.most_tokens,
            ask.budget_tokens,
            self._clock.seconds(),
        )

    @inlineCallbacks
    def _write_bound(self, ask: AdmitTurn) -> Generator["Deferred[Any]", Any, bool]:
        assert ask.budget_tokens is not None
        record = self._ledger.raised_bound(
            ask.program,
            ask.most_tokens,
            ask.budget_tokens,
            self._clock.seconds(),
            written_at=self._wall_seconds(),
        )
        outcome = yield self._write(encode(record))
        if outcome is not Outcome.DURABLE:
            return False
        self._ledger.bound_is_durable(record)
        return True

    def _write(self, data: bytes) -> "Deferred[Outcome]":
        done: Deferred[Outcome] = Deferred()
        self._writer.write(data, done.callback)
        return done

    @inlineCallbacks
    def _is_still_owner(self) -> Generator["Deferred[Any]", Any, bool]:
        """Make sure that nobody else wrote what is not known here.

        A read at our own end of the log proves it, or an append under our epoch.
        """
        outcome = yield self._writer.confirm()
        return outcome is Outcome.DURABLE

    @inlineCallbacks
    def find(self, ask: FindTurn) -> Generator["Deferred[Any]", Any, Message]:
        """Look for a turn, of whichever program."""
        if not (yield self._until_serving()):
            return NOT_OWNER
        found = self._ledger.turns.transcript(ask.turn)
        self._ledger.turns.use(ask.turn, self._clock.seconds())
        if found is not None:
            return TurnFound(found.text)
        if not ask.must_be_certain:
            return TurnMissing()
        is_certain = yield self._is_still_owner()
        return TurnMissing() if is_certain else NOT_OWNER

    def settle(self, told: SettleCall) -> None:
        """Take the tokens of a call that ended."""
        now = self._clock.seconds()
        self._ledger.settle(
            told.program, told.call, told.tokens, now, engine=told.engine
        )

    @inlineCallbacks
    def keep(self, ask: KeepTurn) -> Generator["Deferred[Any]", Any, Message]:
        """Make a turn durable."""
        if not (yield self._until_serving()):
            return NOT_OWNER
        if ask.call not in self._ledger.turns:
            is_kept = yield self._keeping.write(ask.call, lambda: self._write_turn(ask))
            if not is_kept:
                return NOT_OWNER
        now = self._clock.seconds()
        self._ledger.settle(ask.program, ask.call, ask.tokens, now, engine=ask.engine)
        return TurnIsKept()

    @inlineCallbacks
    def _write_turn(self, ask: KeepTurn) -> Generator["Deferred[Any]", Any, bool]:
        record = TurnKept(
            ask.program,
            ask.call,
            ask.previous,
            ask.input,
            ask.output,
            self._wall_seconds(),
        )
        outcome = yield self._write(encode(record))
        if outcome is not Outcome.DURABLE:
            return False
        self._ledger.keep(record, self._clock.seconds())
        return True

    def tidy(self, retention_seconds: float) -> None:
        """Forget what nobody may ask for; write anew what the log would drop."""
        if not self.is_serving:
            return
        now = self._clock.seconds()
        self._ledger.forget_old(now)
        self._allowance.renew_if_due()
        wall = self._wall_seconds()
        for record in self._ledger.aging(int(wall - retention_seconds / 2), wall):
            self._write(encode(record)).addCallback(self._written_anew, record)

    def _written_anew(self, outcome: Outcome, record: AnyRecord) -> None:
        if outcome is not Outcome.DURABLE:
            return
        if isinstance(record, BoundRaised):
            self._ledger.bound_is_durable(record)
        elif isinstance(record, TurnKept) and record.turn in self._ledger.turns:
            self._ledger.turns.written_anew(record.turn, record.written_at)
