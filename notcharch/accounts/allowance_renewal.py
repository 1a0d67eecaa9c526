"""Writes and renews the starting allowance of an owned partition."""

import math
from collections.abc import Callable, Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.coalesced_writes import CoalescedWrites
from notcharch.accounts.ledger import Ledger
from notcharch.accounts.records import encode
from notcharch.accounts.written_record import WrittenRecord

WRITE_KEY = "allowance"
"""Key under which writes of the allowance are coalesced."""


class AllowanceRenewer:
    """Writes an owner's allowance after a takeover and renews it while it counts."""

    def __init__(
        self,
        ledger: Ledger,
        clock: IReactorTime,
        wall_clock: Callable[[], int],
        write: Callable[[bytes], "Deferred[WrittenRecord]"],
        *,
        is_enabled: bool,
        renewal_seconds: float,
    ) -> None:
        """`wall_clock` returns the approximate Unix time; `write` appends a record."""
        self._ledger = ledger
        self._clock = clock
        self._wall_clock = wall_clock
        self._write = write
        self._is_enabled = is_enabled
        self._renewal_seconds = renewal_seconds
        self._written_at = -math.inf
        """Clock seconds of the request to write the newest durable record."""
        self._offset = -1
        """Offset of the newest record; negative if there is none."""
        self._writes = CoalescedWrites(on_exception=False)

    def on_replayed(self, offset: int) -> None:
        """Note where the record of an earlier owner is."""
        self._offset = offset

    def first_offset(self, end: int) -> int:
        """Return the offset of the record that counts; `end` if none does."""
        return self._offset if self._offset >= 0 else end

    def renew(self) -> "Deferred[bool]":
        """Write the allowance; it is in force once the record is durable."""
        return self._writes.write(WRITE_KEY, self._write_allowance)

    @property
    def is_due(self) -> bool:
        """Whether the record is too old."""
        return self._clock.seconds() - self._written_at >= self._renewal_seconds

    def renew_if_too_small(self) -> None:
        """Write the allowance again if it is too small for the calls seen."""
        if self._is_enabled and self._ledger.allowance.is_too_small:
            self.renew()

    @inlineCallbacks
    def _write_allowance(self) -> Generator["Deferred[Any]", Any, bool]:
        requested_at = self._clock.seconds()
        allowance, keep_seconds = self._ledger.allowance, self._ledger.keep_seconds
        own = None
        if self._is_enabled:
            own = allowance.record(requested_at, self._wall_clock(), keep_seconds)
        record = own or allowance.inherited_record(requested_at, keep_seconds)
        if record is None:
            self._written_at = requested_at
            self._offset = -1
            return False
        written: WrittenRecord = yield self._write(encode(record))
        if not written.is_durable:
            return False
        self._written_at = requested_at
        self._offset = written.offset
        if own is not None:
            allowance.on_durable(own, requested_at)
        return own is not None
