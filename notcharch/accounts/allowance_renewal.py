"""Writes and renews the starting allowance of an owned partition."""

from collections.abc import Callable, Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.coalesced_writes import CoalescedWrites
from notcharch.accounts.ledger import Ledger
from notcharch.accounts.records import encode
from notcharch.journal.entries import Outcome

WRITE_KEY = "allowance"
"""Key under which writes of the allowance are coalesced."""


class AllowanceRenewer:
    """Writes an owner's allowance after a takeover and renews it before it expires."""

    def __init__(
        self,
        ledger: Ledger,
        clock: IReactorTime,
        wall_clock: Callable[[], int],
        write: Callable[[bytes], "Deferred[Outcome]"],
        *,
        is_enabled: bool,
    ) -> None:
        """`wall_clock` returns the approximate Unix time; `write` appends a record."""
        self._ledger = ledger
        self._clock = clock
        self._wall_clock = wall_clock
        self._write = write
        self._is_enabled = is_enabled
        self._writes = CoalescedWrites(on_exception=False)

    def renew(self) -> "Deferred[bool]":
        """Write the allowance; it is in force once the record is durable."""
        return self._writes.write(WRITE_KEY, self._write_allowance)

    def renew_if_due(self) -> None:
        """Write the allowance again if it is too old, or too small for the calls seen."""
        if self._is_enabled and self._ledger.allowance.is_renewal_due(
            self._clock.seconds()
        ):
            self.renew()

    @inlineCallbacks
    def _write_allowance(self) -> Generator["Deferred[Any]", Any, bool]:
        requested_at = self._clock.seconds()
        allowance = self._ledger.allowance
        record = None
        if self._is_enabled:
            record = allowance.record(
                requested_at, self._wall_clock(), self._ledger.keep_seconds
            )
        if record is None:
            return False
        outcome = yield self._write(encode(record))
        if outcome is not Outcome.DURABLE:
            return False
        allowance.on_durable(record, requested_at)
        return True
