"""Writes the records of an owned partition again before the log drops them.

All ages and intervals come from the partition's `RenewalSchedule`.
"""

import math
from collections.abc import Callable, Generator
from typing import Any

from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from notcharch.accounts.allowance_renewal import AllowanceRenewer
from notcharch.accounts.journal_history import JournalHistory
from notcharch.accounts.ledger import Ledger
from notcharch.accounts.metrics import RENEWED_RECORDS
from notcharch.accounts.owned_turns import OwnedTurns
from notcharch.accounts.records import (
    AllowanceGiven,
    AnyRecord,
    BoundRaised,
    HistoryMark,
    TurnKept,
    encode,
    written_at,
)
from notcharch.accounts.turns import Turn
from notcharch.accounts.written_record import WrittenRecord
from notcharch.events.feed_faults import FeedFaults
from notcharch.journal.append_times import AppendTimes
from notcharch.journal.renewal import RenewalSchedule
from notcharch.journal.writer import PartitionWriter

CLOCK_ERROR_SECONDS = 10.0
"""How far apart the clocks of two daemons may be, with some margin."""


class RecordRenewer:
    """Knows the age of a partition's records, and renews those that count."""

    def __init__(
        self,
        ledger: Ledger,
        clock: IReactorTime,
        *,
        schedule: RenewalSchedule,
        turns: OwnedTurns,
        history: JournalHistory,
        allowance: AllowanceRenewer,
        writer: PartitionWriter,
        wall_seconds: Callable[[], int],
        write: Callable[[bytes], "Deferred[WrittenRecord]"],
    ) -> None:
        """`write` appends a record; `wall_seconds` returns the approximate Unix time."""
        self._ledger = ledger
        self._clock = clock
        self._schedule = schedule
        self._turns = turns
        self._history = history
        self._allowance = allowance
        self._writer = writer
        self._wall_seconds = wall_seconds
        self._write = write
        self._times = AppendTimes(schedule)
        self._replayed_bytes = 0
        self._marked_at = -math.inf
        self._is_marking = False
        self._rewriting = 0
        """Accounts, and lists of turns, that are being written again."""
        self._faults = FeedFaults("rewriting")
        self._is_serving = False
        self._is_handed_over = False
        """Whether the newest record that was replayed ends a planned move."""

    # Takeover

    def on_replayed(self, offset: int, end: int, size: int, record: AnyRecord) -> None:
        """Note an entry of an earlier owner, from an offset to another one."""
        self._is_handed_over = isinstance(record, HistoryMark) and record.is_handover
        at = written_at(record)
        is_dated = at and not isinstance(record, AllowanceGiven)
        since = None
        if is_dated:
            estimate = self._clock.seconds() - max(self._wall_seconds() - at, 0)
            since = estimate - CLOCK_ERROR_SECONDS
            self._history.on_dated(estimate + CLOCK_ERROR_SECONDS)
        self._times.on_replayed(end, size, since)
        if isinstance(record, AllowanceGiven):
            self._allowance.on_replayed(offset)
        elif isinstance(record, HistoryMark):
            self._history.on_mark(record)

    def begin(self, replayed_records: int) -> "Deferred[bool]":
        """Start after a replay; fires when the starting allowance is written, or is not."""
        now = self._clock.seconds()
        self._is_serving = True
        self._history.on_takeover(now)
        if not self._is_handed_over:
            self._ledger.doubt_all_calls()
        self._times.begin(now)
        self._replayed_bytes = self._times.total_bytes
        with self._writer.together():
            written = self._allowance.renew()
            if replayed_records or self._history.is_cut:
                self._mark()
            else:
                self._marked_at = now
        return written

    def stop(self) -> None:
        """Renew nothing any more."""
        self._is_serving = False

    # Renewal

    def renew(self) -> None:
        """Write again what the log would drop otherwise, and state what it holds."""
        now = self._clock.seconds()
        total_bytes = self._replayed_bytes + self._writer.appended_bytes
        self._times.advance(now, self._writer.complete_end, total_bytes)
        with self._writer.together():
            if self._allowance.is_due:
                self._allowance.renew()
            if now - self._marked_at >= self._schedule.mark_seconds:
                self._mark()
            if (
                not self._rewriting
            ):  # in an outage the same records would be added again
                self._renew_before(self._times.due_offset(now), now)

    def _renew_before(self, offset: int, now: float) -> None:
        accounts = self._ledger.due_accounts(offset, now, self._wall_seconds())
        for record in accounts:
            self._rewriting += 1
            written = self.write_account(record).addCallback(_count_account)
            written.addBoth(self._on_rewritten)
        names = self._ledger.due_turns(offset, now, self._schedule.spread_rounds)
        if names:
            self._rewriting += 1
            self._rewrite_turns(names).addBoth(self._on_rewritten)

    def write_account(self, record: BoundRaised) -> "Deferred[WrittenRecord]":
        """Write the account of a program, and note the outcome in the ledger."""
        return self._write(encode(record)).addCallback(self._on_account, record)

    def _on_account(self, written: WrittenRecord, record: BoundRaised) -> WrittenRecord:
        self._ledger.on_account_written(record.program, record.bound_tokens, written)
        return written

    def _on_rewritten(self, result: object) -> None:
        self._rewriting -= 1
        if isinstance(result, Failure):
            self._faults.report("records", result.getTraceback())

    @inlineCallbacks
    def _rewrite_turns(self, names: list[str]) -> Generator["Deferred[Any]", Any, None]:
        """Write turns again; texts that were set aside are read one at a time."""
        writing: list[Deferred[None]] = []
        for name in names:
            text: Turn | None = yield self._turns.text(name)
            if text is not None and self._is_serving:
                record = self._ledger.turn_record(name, text, self._wall_seconds())
                written = self._write(encode(record))
                writing.append(written.addCallback(self._on_turn, record))
        yield gatherResults(writing)

    def _on_turn(self, written: WrittenRecord, record: TurnKept) -> None:
        turns = self._ledger.turns
        if written.is_durable and record.turn in turns:
            turns.on_rewritten(record.turn, written.offset)
            RENEWED_RECORDS.labels("turn").inc()

    # Statements

    def _mark(self) -> None:
        """State what the journal holds."""
        if self._is_marking:
            return
        now = self._clock.seconds()
        mark = self._history.statement(
            now, self._wall_seconds(), complete_from=self._complete_from(now)
        )
        self._is_marking = True
        self._write(encode(mark)).addBoth(self._on_marked, now)

    def handover_statement(self) -> HistoryMark:
        """Return the statement that follows the records of all accounts."""
        now = self._clock.seconds()
        return self._history.statement(
            now,
            self._wall_seconds(),
            complete_from=self._complete_from(now),
            handover_from=self._writer.complete_end,
        )

    def _complete_from(self, now: float) -> int:
        """Return the offset from which the journal holds all that counts."""
        end = self._allowance.first_offset(self._writer.complete_end)
        return self._ledger.complete_from(now, end)

    def _on_marked(self, result: object, requested_at: float) -> None:
        self._is_marking = False
        if isinstance(result, WrittenRecord) and result.is_durable:
            self._marked_at = requested_at


def _count_account(written: WrittenRecord) -> None:
    """Count an account that was written again."""
    if written.is_durable:
        RENEWED_RECORDS.labels("account").inc()
