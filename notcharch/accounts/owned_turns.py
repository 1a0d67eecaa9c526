"""The turns of one owned partition, as its owner stores and reads them."""

import enum
from collections.abc import Callable, Generator, Sequence
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.coalesced_writes import CoalescedWrites
from notcharch.accounts.journal_history import JournalHistory
from notcharch.accounts.ledger import Ledger
from notcharch.accounts.messages import KeepTurn
from notcharch.accounts.metrics import READ_BACK
from notcharch.accounts.records import TurnKept, compact, decode, encode
from notcharch.accounts.turns import TranscriptPage, Turn
from notcharch.accounts.written_record import WrittenRecord
from notcharch.events.accounts import HistoryIncomplete
from notcharch.events.event import emit
from notcharch.journal.entries import Outcome
from notcharch.journal.entry_reader import EntryReader, NoEntry
from notcharch.journal.partition_journal import (
    PartitionAssignment,
    UnreadableEntryError,
)


class NotNow(enum.Enum):
    """The owner can't tell now; it may later."""

    NOT_NOW = "the text of a turn can't be read from the journal"


NOT_NOW = NotNow.NOT_NOW


class OwnedTurns:
    """Stores turns in the journal, and knows which ones it can't deny."""

    def __init__(
        self,
        ledger: Ledger,
        clock: IReactorTime,
        assignment: PartitionAssignment,
        *,
        history: JournalHistory,
        wall_seconds: Callable[[], int],
        write: Callable[[bytes], "Deferred[WrittenRecord]"],
        reader: EntryReader,
    ) -> None:
        """`write` appends a record; `wall_seconds` returns the Unix time."""
        self._ledger = ledger
        self._clock = clock
        self._assignment = assignment
        self._history = history
        self._wall_seconds = wall_seconds
        self._write = write
        self._reader = reader
        self._writes = CoalescedWrites(on_exception=Outcome.LOST)
        """Writes in flight, by turn id."""
        self._storing = 0
        """Turns, or parts of them, that are being stored and counted."""
        self._waiters: list[Deferred[None]] = []
        self._reads: CoalescedWrites[Turn | None] = CoalescedWrites(on_exception=None)
        """Reads from the journal in flight, by turn id."""

    @inlineCallbacks
    def page(
        self, turn: str, known: str = "", *, max_bytes: int
    ) -> Generator["Deferred[Any]", Any, TranscriptPage | NotNow | None]:
        """Return the first page after turn `known` of a chain, and mark it as used.

        Texts that were set aside are read from the journal. None if the chain is not
        stored.
        """
        turns = self._ledger.turns
        turns.touch(turn, self._clock.seconds())
        plan = turns.plan(turn, known, max_bytes)
        if plan is None:
            return None
        texts = {
            name: text for name in plan.names if (text := turns.get(name)) is not None
        }
        for name in plan.names:
            if name not in texts:
                text = yield self._reads.write(
                    name, partial(self._read_back, name, plan.names, texts)
                )
                if text is None:
                    return NOT_NOW
                texts[name] = text
        return plan.page(texts[name] for name in plan.names)

    @inlineCallbacks
    def text(self, name: str) -> Generator["Deferred[Any]", Any, Turn | None]:
        """Return a turn with its text; None if it can't be read now."""
        stored = self._ledger.turns.get(name)
        if stored is None:
            stored = yield self._reads.write(
                name, partial(self._read_back, name, (), {})
            )
        return stored

    @inlineCallbacks
    def _read_back(
        self, name: str, others: Sequence[str], texts: dict[str, Turn]
    ) -> Generator["Deferred[Any]", Any, Turn | None]:
        """Read the text of a turn, and those of `others` that come along into `texts`."""
        turns = self._ledger.turns
        places = {
            other: aside.offset
            for other in (name, *others)
            if other not in texts and (aside := turns.aside(other)) is not None
        }
        if name not in places:
            return turns.get(name)
        READ_BACK.inc()
        found = yield self._reader.read(places[name], places.values())
        if found is NoEntry.NOT_NOW:
            return None
        entries = {} if isinstance(found, NoEntry) else found
        for other, offset in places.items():
            if offset in entries:
                text = self._decode(other, entries[offset])
                if text is not None:
                    texts[other] = text
                    turns.restore(other, text)
        if name not in texts and turns.aside(name) is not None:
            self._lost(name)
        return texts.get(name)

    def _decode(self, name: str, entry: bytes) -> Turn | None:
        """Return the turn of an entry, if it is the one of a name."""
        try:
            record = decode(entry)
        except UnreadableEntryError:
            return None
        if not isinstance(record, TurnKept) or record.turn != name:
            return None
        return Turn(record.previous, record.input, record.output)

    def _lost(self, name: str) -> None:
        """Note that the log service has lost a turn: it can't be denied from now on."""
        self._ledger.turns.remove(name)
        self._history.on_lost(self._clock.seconds())

    def is_certainly_unknown(self, turn: str) -> bool:
        """Return whether no record of a turn was lost before its retention ended.

        A turn that is stored without all of its chain was whole once.
        """
        turns, keep_seconds = self._ledger.turns, self._ledger.keep_seconds
        is_lost = turn in turns and not turns.has_chain(turn)
        now = self._clock.seconds()
        may_be_lost = self._history.turn_doubt_seconds(now, keep_seconds) > 0.0
        if not is_lost and not may_be_lost:
            return True
        assignment = self._assignment
        emit(HistoryIncomplete(assignment.number, assignment.epoch, turn))
        return False

    def all_stored(self) -> "Deferred[None]":
        """Return a result that fires once no turn is on its way to the journal."""
        stored: Deferred[None] = Deferred()
        if self._storing:
            self._waiters.append(stored)
        else:
            stored.callback(None)
        return stored

    @inlineCallbacks
    def store(self, request: KeepTurn) -> Generator["Deferred[Any]", Any, Outcome]:
        """Store a turn, or a part of one, unless it is stored; return the outcome."""
        self._storing += 1
        try:
            outcome: Outcome = yield self._store(request)
        finally:
            self._storing -= 1
            if not self._storing:
                self._resume_waiters()
        return outcome

    def _resume_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)

    @inlineCallbacks
    def _store(self, request: KeepTurn) -> Generator["Deferred[Any]", Any, Outcome]:
        is_recorded = self._ledger.turns.has_chain(request.call)
        if not is_recorded:
            if not self._can_keep(request):
                return Outcome.LOST
            outcome: Outcome = yield self._writes.write(
                request.call, lambda: self._append(request)
            )
            if outcome is not Outcome.DURABLE:
                return outcome
        if not request.is_part:
            self._ledger.complete_call(
                request.program,
                request.call,
                request.tokens,
                self._clock.seconds(),
                engine=request.engine,
                is_recorded=is_recorded,
                is_kept=not is_recorded,
                granted=request.granted_tokens,
            )
        return Outcome.DURABLE

    def _can_keep(self, request: KeepTurn) -> bool:
        """Return whether the program's budget allows the whole of a turn."""
        return self._ledger.can_keep(
            request.program, request.call, request.tokens, request.granted_tokens
        )

    @inlineCallbacks
    def _append(self, request: KeepTurn) -> Generator["Deferred[Any]", Any, Outcome]:
        account = None
        if not request.is_part:
            account = self._ledger.state_after_turn(
                request.program,
                request.call,
                request.tokens,
                request.granted_tokens,
            )
        record = TurnKept(
            request.program,
            request.call,
            request.previous,
            request.input,
            request.output,
            self._wall_seconds(),
            compact(self._ledger.keep_seconds),
            account,
        )
        written: WrittenRecord = yield self._write(encode(record))
        if account is not None:
            self._ledger.on_account_written(
                request.program, account.bound_tokens, written
            )
        if written.is_durable:
            self._ledger.store_turn(record, self._clock.seconds(), written.offset)
        return written.outcome
