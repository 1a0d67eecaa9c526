"""Keeps the starting allowance of an owned partition in the journal."""

from collections.abc import Callable, Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.coalesced_writes import CoalescedWrites
from notcharch.accounts.ledger import Ledger
from notcharch.accounts.records import encode
from notcharch.journal.writer import Outcome

ALLOWANCE = "allowance"
"""What the one write under way is about."""


class AllowanceKeeper:
    """Writes an owner's allowance when it takes a partition over, and anew when it is old."""

    def __init__(
        self,
        ledger: Ledger,
        clock: IReactorTime,
        wall: Callable[[], int],
        write: Callable[[bytes], "Deferred[Outcome]"],
        *,
        is_on: bool,
    ) -> None:
        """`wall` gives seconds since 1970, roughly; `write` appends a record."""
        self._ledger = ledger
        self._clock = clock
        self._wall = wall
        self._write = write
        self._is_on = is_on
        self._writes = CoalescedWrites()

    def renew(self) -> "Deferred[bool]":
        """Journal that programs may begin without a record; from then on they do."""
        return self._writes.write(ALLOWANCE, self._write_allowance)

    def renew_if_due(self) -> None:
        """Write the allowance anew if it is old, or too small for the calls seen."""
        if self._is_on and self._ledger.allowance.is_due(self._clock.seconds()):
            self.renew()

    @inlineCallbacks
    def _write_allowance(self) -> Generator["Deferred[Any]", Any, bool]:
        asked_at = self._clock.seconds()
        allowance = self._ledger.allowance
        record = None
        if self._is_on:
            record = allowance.record(asked_at, self._wall(), self._ledger.keep_seconds)
        if record is None:
            return False
        outcome = yield self._write(encode(record))
        if outcome is not Outcome.DURABLE:
            return False
        allowance.given(record, asked_at)
        return True
