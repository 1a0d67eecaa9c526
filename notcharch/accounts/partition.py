"""One owned partition: takeover, replay of the journal, service and handover."""

import math
import time
from collections.abc import Callable, Generator
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.allowance_renewal import AllowanceRenewer
from notcharch.accounts.coalesced_writes import CoalescedWrites
from notcharch.accounts.journal_history import JournalHistory
from notcharch.accounts.ledger import Ledger, Verdict
from notcharch.accounts.limited_tenants import NOT_OWNER, LimitContext, LimitedTenants
from notcharch.accounts.messages import (
    AdmitCall,
    AdmitTurn,
    CallNotRecorded,
    FindTurn,
    KeepTurn,
    NotOwner,
    ReadTurns,
    SettleCall,
    TurnAdmitted,
    TurnFound,
    TurnIsKept,
    TurnMissing,
    TurnNotStorable,
    TurnRefused,
    TurnsRead,
)
from notcharch.accounts.metrics import OWNED_PARTITIONS, TAKEOVER_SECONDS
from notcharch.accounts.owned_turns import NotNow, OwnedTurns, WrittenTurn
from notcharch.accounts.records import (
    BoundRaised,
    LimitsTaken,
    TurnKept,
    decode,
    encode,
    written_at,
)
from notcharch.accounts.turns import TranscriptPage, Turn
from notcharch.events.accounts import (
    BudgetRefused,
    PartitionGivenUp,
    PartitionTakenOver,
)
from notcharch.events.event import emit
from notcharch.events.feed_faults import FeedFaults
from notcharch.journal.entries import Outcome
from notcharch.journal.entry_reader import EntryReader
from notcharch.journal.interface import LogService
from notcharch.journal.partition_journal import PartitionAssignment, PartitionJournal
from notcharch.journal.recovery_signal import RecoverySignal
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
        log_retention_seconds: float = math.inf,
        memory: AccountMemory | None = None,
    ) -> None:
        """Prepare the takeover; `on_fenced` is called if a higher epoch fences it.

        `memory` bounds what all partitions of the process hold.
        """
        memory = memory or AccountMemory()
        self._history = JournalHistory(log_retention_seconds)
        self._limited_tenants = LimitedTenants(
            limit_context or LimitContext(), clock, assignment.number
        )
        self._clock = clock
        self.assignment = assignment
        self._on_fenced = on_fenced
        self._wall_clock = wall_clock
        self._ledger = Ledger(memory)
        self._rewriting = 0
        """Records, and lists of turns, that are being written again."""
        self._faults = FeedFaults("rewriting")
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
        )
        self._bound_writes = CoalescedWrites(on_exception=Outcome.LOST)
        """Writes of bounds in flight, by program."""
        self._turns = OwnedTurns(
            self._ledger,
            clock,
            assignment,
            history=self._history,
            wall_seconds=self._wall_seconds,
            write=self._write_turn,
            reader=EntryReader(log, assignment.log),
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
            self._log_takeover()
            self._resume_waiters()
            yield self._allowance.renew()
            if limits_record is not None:
                yield self._restore_limits(limits_record)

    @inlineCallbacks
    def _restore_limits(
        self, record: LimitsTaken
    ) -> Generator["Deferred[Any]", Any, None]:
        """Record that this owner continues from the limits handed over, then use them."""
        outcome = yield self._write(encode(record))
        if outcome is Outcome.DURABLE:
            self._limited_tenants.restore_levels()

    def _wall_seconds(self) -> int:
        """Return the Unix time, by a clock that may be off by some seconds."""
        return int(self._wall_clock())

    def _log_takeover(self) -> None:
        OWNED_PARTITIONS.inc()
        TAKEOVER_SECONDS.observe(self._clock.seconds() - self._takeover_started_at)
        emit(
            PartitionTakenOver(
                partition=self.assignment.number,
                epoch=self.assignment.epoch,
                records=self._journal.records,
                programs=len(self._ledger),
                seconds=round(self._clock.seconds() - self._takeover_started_at, 4),
            )
        )

    def _log_release(self, cause: str) -> None:
        if self.is_serving:
            OWNED_PARTITIONS.dec()
        self.is_serving = False
        self._ledger.close()
        emit(PartitionGivenUp(self.assignment.number, self.assignment.epoch, cause))

    def _resume_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for deferred in waiters:
            deferred.callback(None)

    # Journal replay

    def skip_to(self, offset: int) -> None:
        """Note that the records before an offset are not stored any more."""
        self._history.on_cut()

    def replay_record(self, offset: int, record: bytes) -> None:
        """Apply a record of an earlier owner."""
        known = decode(record)
        self._history.on_record(written_at(known))
        now = self._clock.seconds()
        self._ledger.replay(known, now, self._journal.entry_offset)
        self._limited_tenants.replay(known)

    def entry_lost(self) -> None:
        """Note that a record, perhaps of a turn, can't be read."""
        self._history.on_unreadable(self._wall_seconds())

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
            written = [
                self._write(encode(record), must_wait=True)
                for record in self._ledger.handover_records(self._wall_seconds())
            ]
            limits = self._limited_tenants.hand_over()
            if limits is not None:
                written.append(self._write(encode(limits), must_wait=True))
            yield gatherResults(written)
        self.close()

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
    def admit(self, request: AdmitTurn) -> Generator["Deferred[Any]", Any, Message]:
        """Admit or refuse a call of a program."""
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
        verdict: Verdict | Message = yield self._reserve_within_bound(request)
        if isinstance(verdict, Message):
            return verdict
        self._allowance.renew_if_due()  # last, as the caller waits for the bound
        if verdict is Verdict.GIVEN_UP:
            return NOT_OWNER  # no caller waits for the reply
        if verdict is Verdict.SPENT:
            self._log_budget_refusal(request)
            return TurnRefused(is_spent=True)
        cached_engine = self._ledger.program(
            request.program, self._clock.seconds()
        ).cached_engine
        return TurnAdmitted(
            cached_engine,
            page.after,
            page.text,
            last=page.last,
            remaining_bytes=page.remaining_bytes,
        )

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

    def _log_budget_refusal(self, message: AdmitTurn) -> None:
        program = self._ledger.program(message.program, self._clock.seconds())
        emit(
            BudgetRefused(
                request=message.call,
                program=message.program,
                partition=self.assignment.number,
                epoch=self.assignment.epoch,
                budget_tokens=message.budget_tokens or 0,
                used_tokens=program.used,
                under_way_tokens=program.committed - program.used,
                most_tokens=message.most_tokens,
            )
        )

    def _reserve(self, request: AdmitTurn) -> Verdict:
        return self._ledger.admit(
            request.program,
            request.call,
            request.most_tokens,
            request.budget_tokens,
            self._clock.seconds(),
        )

    @inlineCallbacks
    def _reserve_within_bound(
        self, request: AdmitTurn
    ) -> Generator["Deferred[Any]", Any, Verdict | Message]:
        """Reserve a call's tokens, and raise the bound for it if need be.

        A message is the reply to a call for which the bound could not be raised.
        """
        verdict = self._reserve(request)
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
            verdict = self._reserve(request)
        return verdict

    @inlineCallbacks
    def _write_bound(
        self, request: AdmitTurn
    ) -> Generator["Deferred[Any]", Any, Outcome]:
        assert request.budget_tokens is not None
        record = self._ledger.raised_bound(
            request.program,
            request.most_tokens,
            request.budget_tokens,
            self._clock.seconds(),
            written_at=self._wall_seconds(),
        )
        outcome: Outcome = yield self._write(encode(record))
        if outcome is Outcome.DURABLE:
            self._ledger.on_bound_durable(record)
        return outcome

    def _write_turn(self, data: bytes) -> "Deferred[WrittenTurn]":
        """Append the record of a turn, and return where it is."""
        done: Deferred[Outcome] = Deferred()
        entry = self._writer.write(data, done.callback)

        def written(outcome: Outcome) -> WrittenTurn:
            return WrittenTurn(outcome, -1 if entry is None else entry.first_offset)

        return done.addCallback(written)

    def _write(self, data: bytes, *, must_wait: bool = False) -> "Deferred[Outcome]":
        done: Deferred[Outcome] = Deferred()
        self._writer.write(data, done.callback, must_wait=must_wait)
        return done

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
        self._ledger.complete_call(
            notice.program, notice.call, notice.tokens, now, engine=notice.engine
        )

    @inlineCallbacks
    def store_turn(self, request: KeepTurn) -> Generator["Deferred[Any]", Any, Message]:
        """Store a turn durably."""
        if not (yield self._wait_until_serving()):
            return NOT_OWNER
        outcome: Outcome = yield self._turns.store(request)
        if outcome is Outcome.DURABLE:
            return TurnIsKept()
        return TurnNotStorable() if outcome is Outcome.REFUSED else NOT_OWNER

    def clean_up(self, retention_seconds: float, interval_seconds: float) -> None:
        """Remove expired state, and rewrite records before the log drops them.

        This is called each `interval_seconds`.
        """
        if not self.is_serving:
            return
        now = self._clock.seconds()
        self._ledger.evict_expired(now)
        self._allowance.renew_if_due()
        if self._rewriting:
            return  # in an outage each round would add the same records once more
        wall_time = self._wall_seconds()
        limit = int(wall_time - retention_seconds / 2)
        for record in self._ledger.expiring_bounds(limit, wall_time):
            self._rewriting += 1
            self._write(encode(record)).addCallback(self._on_bound_rewritten, record)
        rounds = retention_seconds / 2 / interval_seconds
        names = self._ledger.expiring_turns(limit, rounds)
        if names:
            self._rewriting += 1
            self._rewrite_turns(names).addBoth(self._on_turns_rewritten)

    def _on_bound_rewritten(self, outcome: Outcome, record: BoundRaised) -> None:
        self._rewriting -= 1
        if outcome is Outcome.DURABLE:
            self._ledger.on_bound_durable(record)

    @inlineCallbacks
    def _rewrite_turns(self, names: list[str]) -> Generator["Deferred[Any]", Any, None]:
        """Write turns again; texts that were set aside are read one at a time."""
        writing: list[Deferred[None]] = []
        for name in names:
            text: Turn | None = yield self._turns.text(name)
            if text is not None and self.is_serving:
                record = self._ledger.turn_record(name, text, self._wall_seconds())
                written = self._write_turn(encode(record))
                writing.append(written.addCallback(self._on_turn_rewritten, record))
        yield gatherResults(writing)

    def _on_turn_rewritten(self, written: WrittenTurn, record: TurnKept) -> None:
        turns = self._ledger.turns
        if written.outcome is Outcome.DURABLE and record.turn in turns:
            turns.on_rewritten(record.turn, record.written_at, written.offset)

    def _on_turns_rewritten(self, result: object) -> None:
        self._rewriting -= 1
        if isinstance(result, Failure):
            self._faults.report("turns", result.getTraceback())

    def relieve(self) -> None:
        """Remove turns whose retention has ended and set texts aside, if memory is short."""
        turns = self._ledger.turns
        if self.is_serving and turns.is_under_pressure:
            self._ledger.evict_turns(self._clock.seconds())
            turns.set_aside_unused()
