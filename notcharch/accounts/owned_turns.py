"""The turns of one owned partition, as its owner stores and reads them."""

from collections.abc import Callable, Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.coalesced_writes import CoalescedWrites
from notcharch.accounts.journal_history import JournalHistory
from notcharch.accounts.ledger import Ledger
from notcharch.accounts.messages import KeepTurn
from notcharch.accounts.records import TurnKept, encode
from notcharch.accounts.turns import TranscriptPage
from notcharch.events.accounts import HistoryIncomplete
from notcharch.events.event import emit
from notcharch.journal.entries import Outcome
from notcharch.journal.partition_journal import PartitionAssignment


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
        write: Callable[[bytes], "Deferred[Outcome]"],
    ) -> None:
        """`write` appends a record; `wall_seconds` returns the Unix time."""
        self._ledger = ledger
        self._clock = clock
        self._assignment = assignment
        self._history = history
        self._wall_seconds = wall_seconds
        self._write = write
        self._writes = CoalescedWrites(on_exception=Outcome.LOST)
        """Writes in flight, by turn id."""

    def page(
        self, turn: str, known: str = "", *, max_bytes: int
    ) -> TranscriptPage | None:
        """Return the first page after turn `known` of a chain, and mark it as used."""
        turns = self._ledger.turns
        turns.touch(turn, self._clock.seconds())
        return turns.page(turn, known, max_bytes)

    def is_certainly_unknown(self, turn: str) -> bool:
        """Return whether no record of a turn was lost before its retention ended.

        A turn that is stored without all of its chain was whole once.
        """
        turns, keep_seconds = self._ledger.turns, self._ledger.keep_seconds
        is_lost = turn in turns and not turns.has_chain(turn)
        may_be_lost = self._history.may_lack(self._wall_seconds(), keep_seconds)
        if not is_lost and not may_be_lost:
            return True
        assignment = self._assignment
        emit(HistoryIncomplete(assignment.number, assignment.epoch, turn))
        return False

    @inlineCallbacks
    def store(self, request: KeepTurn) -> Generator["Deferred[Any]", Any, Outcome]:
        """Store a turn, or a part of one, unless it is stored; return the outcome."""
        if not self._ledger.turns.has_chain(request.call):
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
            )
        return Outcome.DURABLE

    @inlineCallbacks
    def _append(self, request: KeepTurn) -> Generator["Deferred[Any]", Any, Outcome]:
        record = TurnKept(
            request.program,
            request.call,
            request.previous,
            request.input,
            request.output,
            self._wall_seconds(),
            self._ledger.keep_seconds,
        )
        outcome: Outcome = yield self._write(encode(record))
        if outcome is Outcome.DURABLE:
            self._ledger.store_turn(record, self._clock.seconds())
        return outcome
