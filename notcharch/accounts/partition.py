"""One owned partition: takeover, replay of the journal, service and handover."""

import time
from collections.abc import Callable, Generator
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.allowance_renewal import AllowanceRenewer
from notcharch.accounts.coalesced_writes import CoalescedWrites
from notcharch.accounts.doubt_log import DoubtLog
from notcharch.accounts.journal_history import JournalHistory
from notcharch.accounts.ledger import Ledger, Verdict
from notcharch.accounts.limited_tenants import NOT_OWNER, LimitContext, LimitedTenants
from notcharch.accounts.messages import (
    WHOLE_CALL,
    AdmitCall,
    AdmitTurn,
    CallNotRecorded,
    FindTurn,
    GrantRaised,
    KeepTurn,
    NotOwner,
    RaiseGrant,
    ReadTurns,
    SettleCall,
    TurnAdmitted,
    TurnFound,
    TurnIsKept,
    TurnMissing,
    TurnNotStorable,
    TurnRefused,
    TurnsRead,
    UsageDoubted,
)
from notcharch.accounts.metrics import (
    DOUBTED_TOKENS,
    OWNED_PARTITIONS,
    TAKEOVER_SECONDS,
)
from notcharch.accounts.owned_turns import NotNow, OwnedTurns
from notcharch.accounts.record_renewal import RecordRenewer
from notcharch.accounts.records import AnyRecord, LimitsTaken, decode, encode
from notcharch.accounts.turns import TranscriptPage
from notcharch.accounts.written_record import WrittenRecord
from notcharch.events.accounts import (
    BudgetRefused,
    PartitionGivenUp,
    PartitionTakenOver,
)
from notcharch.events.event import emit
from notcharch.journal.entries import Outcome
from notcharch.journal.entry_reader import EntryReader
from notcharch.journal.interface import LogService
from notcharch.journal.partition_journal import PartitionAssignment, PartitionJournal
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.journal.renewal import NO_RENEWAL, RenewalSchedule
from notcharch.values.identifiers import Member
from notcharch.wire.messages.base import Message

FENCED = "fenced by a higher epoch"
REASSIGNED = "assigned to another daemon"
NO_TURNS = TranscriptPage("", b"", "", 0)
"""Of a call that begins a chain."""


class OwnedPartition:
    """A partition that this daemon owns, or is taking over."""

    def __init__(
        self,
        log: LogService,
        clock: IReactorTime,
        random: Random,
        assignment: PartitionAssignment,
        *,
        on_fenced: Callable[["OwnedPartition"], None],
        recovery: RecoverySignal,
        uses_starting_allowance: bool = True,
        limit_context: LimitContext | None = None,
        wall_clock: Callable[[], float] = time.time,
        schedule: RenewalSchedule = NO_RENEWAL,
        memory: AccountMemory | None = None,
        is_lost: Callable[[Member], bool] = lambda _: False,
    ) -> None:
        """Prepare the takeover; `on_fenced` is called if a higher epoch fences it.

        `memory` bounds what all partitions of the process hold. `is_lost` returns whether
        the process of a gateway that sent a call is lost.
        """
        self._is_lost = is_lost
        memory = memory or AccountMemory()
        self._history = JournalHistory()
        self._limited_tenants = LimitedTenants(
            limit_context or LimitContext(), clock, assignment.number
        )
        self._clock = clock
        self.assignment = assignment
        self._on_fenced = on_fenced
        self._wall_clock = wall_clock
        self._ledger = Ledger(memory)
        self._doubt_log = DoubtLog(assignment, clock.seconds)
        self._journal = PartitionJournal(
            log,
            clock,
            random,
            assignment,
            target=self,
            on_fenced=self._handle_fenced,
            recovery=recovery,
            held=memory.journal,
        )
        self._recovery = recovery
        self._writer = self._journal.writer
        self.is_serving = False
        self._takeover_started_at = clock.seconds()
        self._waiters: list[Deferred[None]] = []
        self._allowance = AllowanceRenewer(
            self._ledger,
            clock,
            self._wall_seconds,
            self._write,
            is_enabled=uses_starting_allowance,
            renewal_seconds=schedule.mark_seconds,
        )
        self._bound_writes = CoalescedWrites(on_exception=Outcome.LOST)
        """Writes of bounds in flight, by program."""
        self._turns = OwnedTurns(
            self._ledger,
            clock,
            assignment,
            history=self._history,
            wall_seconds=self._wall_seconds,
            write=self._write,
            reader=EntryReader(log, assignment.log),
        )
        self._renewer = RecordRenewer(
            self._ledger,
            clock,
            schedule=schedule,
            turns=self._turns,
            history=self._history,
            allowance=self._allowance,
            writer=self._writer,
            wall_seconds=self._wall_seconds,
            write=self._write,
        )

    @inlineCallbacks
    def take_over(self) -> Generator["Deferred[Any]", Any, None]:
        """Fence the previous owner, replay the journal and start serving."""
        is_read = yield self._journal.take_over()
        if is_read:
            self.is_serving = True
            wall_time = self._wall_seconds()
            self._ledger.allowance.on_takeover(self._clock.seconds(), wall_time)
            limits_record = self._limited_tenants.on_takeover()
            written = self._renewer.begin(self._journal.records)
            self._log_takeover()
            self._resume_waiters()
            yield written
            if limits_record is not None:
                yield self._restore_limits(limits_record)

    @inlineCallbacks
    def _restore_limits(
        self, record: LimitsTaken
    ) -> Generator["Deferred[Any]", Any, None]:
        """Record that this owner continues from the limits handed over, then use them."""
        written: WrittenRecord = yield self._write(encode(record))
        if written.is_durable:
            self._limited_tenants.restore_levels()

    def _wall_seconds(self) -> int:
        """Return the Unix time, by a clock that may be off by some seconds."""
        return int(self._wall_clock())

    def _log_takeover(self) -> None:
        OWNED_PARTITIONS.inc()
        doubted_tokens = self._ledger.doubted_tokens()
        DOUBTED_TOKENS.labels("taken").inc(doubted_tokens)
        now, keep_seconds = self._clock.seconds(), self._ledger.keep_seconds
        doubt_seconds = self._history.doubt_seconds(now, keep_seconds)
        TAKEOVER_SECONDS.observe(self._clock.seconds() - self._takeover_started_at)
        emit(
            PartitionTakenOver(
                partition=self.assignment.number,
                epoch=self.assignment.epoch,
                records=self._journal.records,
                programs=len(self._ledger),
                seconds=round(self._clock.seconds() - self._takeover_started_at, 4),
                doubted_tokens=doubted_tokens,
                history_doubt_seconds=round(doubt_seconds, 3),
            )
        )

    def _log_release(self, cause: str) -> None:
        if self.is_serving:
            OWNED_PARTITIONS.dec()
        self.is_serving = False
        self._renewer.stop()
        self._ledger.close()
        emit(PartitionGivenUp(self.assignment.number, self.assignment.epoch, cause))

    def _resume_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for deferred in waiters:
            deferred.callback(None)

    # Journal replay

    def skip_to(self, offset: int) -> None:
        """Note that the records before an offset are not stored any more."""
        self._history.on_cut(offset)

    def replay_record(self, offset: int, record: bytes) -> None:
        """Apply a record of an earlier owner."""
        known = decode(record)
        first = self._journal.entry_offset
        self._renewer.on_replayed(first, offset + 1, len(record), known)
        now = self._clock.seconds()
        self._ledger.replay(known, now, first)
        self._limited_tenants.replay(known)

    def entry_lost(self) -> None:
        """Note that a record, perhaps of a turn, can't be read."""
        self._history.on_lost(self._clock.seconds())

    def _handle_fenced(self) -> None:
        self._log_release(FENCED)
        self._resume_waiters()
        self._on_fenced(self)

    @inlineCallbacks
    def hand_over(self) -> Generator["Deferred[Any]", Any, None]:
        """Write the state of all accounts, then release the partition."""
        if self.is_serving:
            self.is_serving = False
            OWNED_PARTITIONS.dec()
            yield self._turns.all_stored()  # a turn counts in its program's account
            with self._writer.together():
                written = [
                    self._write(encode(record), must_wait=True)
                    for record in self._handover_records()
                ]
            yield gatherResults(written)
        self.close()

    def _handover_records(self) -> list[AnyRecord]:
        """Return the records from which the next owner continues."""
        statement = self._renewer.handover_statement()
        records = self._ledger.handover_records(
            self._clock.seconds(), self._wall_seconds(), self._is_lost
        )
        limits = self._limited_tenants.hand_over()
        if limits is not None:
            records.append(limits)
        if records or self._journal.records or self._history.is_cut:
            records.append(statement)
        return records

    def close(self) -> None:
        """Release the partition."""
        self._log_release(REASSIGNED)
        self._writer.close()
        self._resume_waiters()

    @property
    def _is_blocked(self) -> bool:
        """Whether this owner can't append or confirm: the store is known to be down."""
        return self._recovery.known_outage_seconds() > 0.0

    def _undecided(self) -> NotOwner:
        """Return the reply without a decision, which tells of an outage of the store."""
        seconds = self._recovery.known_outage_seconds()
        is_owner = seconds > 0.0 and self._writer.is_open
        return NotOwner(store_outage_seconds=seconds) if is_owner else NOT_OWNER

    @inlineCallbacks
    def _wait_until_serving(self) -> Generator["Deferred[Any]", Any, bool]:
        if not self.is_serving and self._writer.is_open and not self._is_blocked:
            waiter: Deferred[None] = Deferred()
            self._waiters.append(waiter)
            yield waiter
        return self.is_serving

    # Requests of other daemons

    @inlineCallbacks
    def admit(
        self, request: AdmitTurn, gateway: Member | None = None
    ) -> Generator["Deferred[Any]", Any, Message]:
        """Admit or refuse a gateway's call of a program."""
        ledger = self._ledger
        ledger.keep_seconds = max(ledger.keep_seconds, request.keep_seconds)
        if not (yield self._wait_until_serving()):
            return self._undecided()
        if not self._has_memory(request):
            return CallNotRecorded()
        page = NO_TURNS
        if request.previous:
            found: TranscriptPage | NotNow | None = yield self._turns.page(
                request.previous, request.known, max_bytes=request.page_bytes
            )
            if isinstance(found, NotNow):
                return self._undecided()
            if found is None:
                reply: Message = yield self._refuse_unknown_turn(request.previous)
                return reply
            page = found
        verdict: Verdict | Message = yield self._reserve_within_bound(request, gateway)
        if isinstance(verdict, Message):
            return verdict
        self._allowance.renew_if_too_small()  # last, as the caller waits for the bound
        if verdict is Verdict.GIVEN_UP:
            return NOT_OWNER  # no caller waits for the reply
        if verdict is Verdict.SPENT:
            self._log_budget_refusal(request)
            return TurnRefused(is_spent=True)
        if verdict is Verdict.DOUBTED:
            return self._doubt(request)
        cached_engine = self._ledger.program(
            request.program, self._clock.seconds()
        ).cached_engine
        return TurnAdmitted(
            cached_engine,
            page.after,
            page.text,
            last=page.last,
            remaining_bytes=page.remaining_bytes,
            granted_tokens=self._granted(request),
        )

    def _granted(self, request: AdmitTurn) -> int:
        """Return the grant of a call that was let in."""
        granted = self._ledger.granted(request.program, request.call)
        return WHOLE_CALL if granted >= request.most_tokens else granted

    def _has_memory(self, request: AdmitTurn) -> bool:
        """Return whether there is room for the account and the turn of a call."""
        if not self._ledger.has_room_for(request.program):
            return False
        return not request.turn_bytes or self._ledger.turns.has_room(request.turn_bytes)

    @inlineCallbacks
    def _refuse_unknown_turn(
        self, turn: str
    ) -> Generator["Deferred[Any]", Any, Message]:
        """Refuse a call that continues from a turn that is not stored here."""
        if self._is_blocked:
            return self._undecided()
        is_sole = yield self._is_still_owner()
        if not is_sole:
            return NOT_OWNER
        is_certain = self._turns.is_certainly_unknown(turn)
        return TurnRefused(is_spent=False, is_certain=is_certain)

    @inlineCallbacks
    def admit_call(
        self, request: AdmitCall
    ) -> Generator["Deferred[Any]", Any, Message]:
        """Decide whether a tenant's limit has capacity for a call."""
        is_serving = yield self._wait_until_serving()
        if not is_serving:
            return self._undecided()
        return self._limited_tenants.decide(request)

    def _doubt(self, request: AdmitTurn) -> UsageDoubted:
        """Return the reply to a call whose budget may be spent."""
        now = self._clock.seconds()
        program = self._ledger.program(request.program, now)
        seconds = self._history.doubt_seconds(now, self._ledger.keep_seconds)
        if not program.unproven:
            seconds = self._ledger.retry_seconds(request.program, now)
        self._doubt_log.refused(request, program, seconds)
        return UsageDoubted(seconds)

    def _log_budget_refusal(self, message: AdmitTurn) -> None:
        program = self._ledger.program(message.program, self._clock.seconds())
        emit(
            BudgetRefused(
                request=message.call,
                program=message.program,
                partition=self.assignment.number,
                epoch=self.assignment.epoch,
                budget_tokens=message.budget_tokens or 0,
                used_tokens=program.certain - program.under_way,
                under_way_tokens=program.under_way,
                most_tokens=message.most_tokens,
            )
        )

    def _reserve(
        self, request: AdmitTurn, gateway: Member | None, *, takes_less: bool = False
    ) -> Verdict:
        now = self._clock.seconds()
        doubt_seconds = self._history.doubt_seconds(now, self._ledger.keep_seconds)
        verdict = self._ledger.admit(
            request.program,
            request.call,
            request.most_tokens,
            request.budget_tokens,
            now,
            is_proven=doubt_seconds == 0.0,
            gateway=gateway,
            is_lost=self._is_lost,
            event_tokens=request.event_tokens,
            takes_less=takes_less,
            keeps_turns=request.turn_bytes > 0,
        )
        program = self._ledger.program(request.program, now)
        self._doubt_log.tell(request.program, program)
        return verdict

    @inlineCallbacks
    def _reserve_within_bound(
        self, request: AdmitTurn, gateway: Member | None
    ) -> Generator["Deferred[Any]", Any, Verdict | Message]:
        """Reserve a call's tokens, and raise the bound for it if need be.

        A message is the reply to a call for which the bound could not be raised.
        """
        verdict = self._reserve(request, gateway)
        while verdict is Verdict.NEEDS_BOUND:
            if self._is_blocked:
                return self._undecided()
            outcome: Outcome = yield self._bound_writes.write(
                request.program, lambda: self._write_bound(request)
            )
            if outcome is Outcome.REFUSED:
                return CallNotRecorded()
            if outcome is not Outcome.DURABLE or not self.is_serving:
                # The next owner would not know of a reservation made now.
                return NOT_OWNER
            verdict = self._reserve(request, gateway, takes_less=True)
        return verdict

    @inlineCallbacks
    def _write_bound(
        self, request: AdmitTurn
    ) -> Generator["Deferred[Any]", Any, Outcome]:
        record = self._ledger.raised_bound(
            request.program,
            request.call,
            request.most_tokens,
            self._clock.seconds(),
            written_at=self._wall_seconds(),
            event_tokens=request.event_tokens,
            keeps_turns=request.turn_bytes > 0,
        )
        written: WrittenRecord = yield self._renewer.write_account(record)
        return written.outcome

    @inlineCallbacks
    def raise_grant(
        self, request: RaiseGrant, gateway: Member | None = None
    ) -> Generator["Deferred[Any]", Any, Message]:
        """Grant more tokens to a running call, once a next owner would count them."""
        if not (yield self._wait_until_serving()):
            return self._undecided()
        if not self._ledger.has_room_for(request.program):
            return NOT_OWNER
        verdict = self._raise(request, gateway, takes_less=self._is_blocked)
        while verdict is Verdict.NEEDS_BOUND:
            if self._is_blocked:
                return self._undecided()
            outcome: Outcome = yield self._bound_writes.write(
                request.program, lambda: self._write_grant(request)
            )
            if outcome is not Outcome.DURABLE or not self.is_serving:
                return NOT_OWNER
            verdict = self._raise(request, gateway, takes_less=True)
        if verdict is not Verdict.ADMITTED:
            return NOT_OWNER
        return GrantRaised(self._ledger.granted(request.program, request.call))

    def _raise(
        self, request: RaiseGrant, gateway: Member | None, *, takes_less: bool
    ) -> Verdict:
        now = self._clock.seconds()
        doubt_seconds = self._history.doubt_seconds(now, self._ledger.keep_seconds)
        verdict = self._ledger.raise_grant(
            request,
            now,
            is_proven=doubt_seconds == 0.0,
            gateway=gateway,
            takes_less=takes_less,
        )
        program = self._ledger.program(request.program, now)
        self._doubt_log.tell(request.program, program)
        return verdict

    @inlineCallbacks
    def _write_grant(
        self, request: RaiseGrant
    ) -> Generator["Deferred[Any]", Any, Outcome]:
        record = self._ledger.raised_bound_of_grant(
            request, self._clock.seconds(), written_at=self._wall_seconds()
        )
        if record is None:
            return Outcome.LOST
        written: WrittenRecord = yield self._renewer.write_account(record)
        return written.outcome

    def _write(
        self, data: bytes, *, must_wait: bool = False
    ) -> "Deferred[WrittenRecord]":
        """Append a record, and return where it is."""
        done: Deferred[Outcome] = Deferred()
        entry = self._writer.write(data, done.callback, must_wait=must_wait)

        def written(outcome: Outcome) -> WrittenRecord:
            return WrittenRecord(outcome, -1 if entry is None else entry.first_offset)

        return done.addCallback(written)

    @inlineCallbacks
    def _is_still_owner(self) -> Generator["Deferred[Any]", Any, bool]:
        """Confirm that no other owner wrote records that are not replayed here.

        An append under this owner's epoch confirms it, or a read at the end of the log
        as this owner knows it.
        """
        outcome = yield self._writer.confirm()
        return outcome is Outcome.DURABLE

    @inlineCallbacks
    def find_turn(self, request: FindTurn) -> Generator["Deferred[Any]", Any, Message]:
        """Look up a turn of any program."""
        ledger = self._ledger
        ledger.keep_seconds = max(ledger.keep_seconds, request.keep_seconds)
        if not (yield self._wait_until_serving()):
            return self._undecided()
        found = yield self._turns.page(request.turn, max_bytes=request.page_bytes)
        if isinstance(found, NotNow):
            return self._undecided()
        if found is not None:
            return TurnFound(found.text, found.last, found.remaining_bytes)
        if not request.must_be_certain:
            return TurnMissing()
        if self._is_blocked:
            return self._undecided()
        is_sole = yield self._is_still_owner()
        is_certain = is_sole and self._turns.is_certainly_unknown(request.turn)
        return TurnMissing() if is_certain else NOT_OWNER

    @inlineCallbacks
    def read_turns(
        self, request: ReadTurns
    ) -> Generator["Deferred[Any]", Any, Message]:
        """Return the next page of a chain."""
        if not (yield self._wait_until_serving()):
            return self._undecided()
        page = yield self._turns.page(
            request.turn, request.known, max_bytes=request.page_bytes
        )
        if isinstance(page, NotNow):
            return self._undecided()
        if page is None:
            return TurnMissing()
        return TurnsRead(page.after, page.text, page.last, page.remaining_bytes)

    def complete_call(self, notice: SettleCall) -> None:
        """Charge the tokens of a completed call."""
        now = self._clock.seconds()
        is_doubted = self._ledger.complete_call(
            notice.program, notice.call, notice.tokens, now, engine=notice.engine
        )
        if is_doubted and self.is_serving:
            # Else a next owner would doubt this call as well.
            record = self._ledger.account_record(notice.program, self._wall_seconds())
            if record is not None:
                self._renewer.write_account(record)

    @inlineCallbacks
    def store_turn(self, request: KeepTurn) -> Generator["Deferred[Any]", Any, Message]:
        """Store a turn durably."""
        if not (yield self._wait_until_serving()):
            return NOT_OWNER
        outcome: Outcome = yield self._turns.store(request)
        if outcome is Outcome.DURABLE:
            return TurnIsKept()
        return TurnNotStorable() if outcome is Outcome.REFUSED else NOT_OWNER

    def clean_up(self) -> None:
        """Remove expired state, and rewrite records before the log drops them."""
        if self.is_serving:
            self._ledger.evict_expired(self._clock.seconds())
            self._renewer.renew()

    def relieve(self) -> None:
        """Remove turns whose retention has ended and set texts aside, if memory is short."""
        turns = self._ledger.turns
        if self.is_serving and turns.is_under_pressure:
            self._ledger.evict_turns(self._clock.seconds())
            turns.set_aside_unused()
