"""Reads single entries of a partition again, by the offsets of their first records."""

import enum
from collections.abc import Collection, Generator
from typing import Any

from result import Err, Result
from twisted.internet.defer import Deferred, inlineCallbacks

from notcharch.journal.fragments import FragmentAssembler
from notcharch.journal.interface import (
    LogFault,
    LogPartition,
    LogProblem,
    LogService,
    Records,
)


class NoEntry(enum.Enum):
    """Why an entry could not be read."""

    NOT_NOW = "not now"
    """The log service did not answer; it may later."""
    LOST = "lost"
    """The log service stores the entry no longer."""


class EntryReader:
    """Reads entries of one partition."""

    def __init__(self, service: LogService, place: LogPartition) -> None:
        """Read from a partition of a log service."""
        self._service = service
        self._place = place

    @inlineCallbacks
    def read(
        self, offset: int, also: Collection[int] = ()
    ) -> Generator["Deferred[Any]", Any, dict[int, bytes] | NoEntry]:
        """Return the entry whose first record has an offset.

        Those that begin at the offsets `also` are returned as well if the same answers of
        the log service have them.
        """
        wanted = {offset, *also}
        found: dict[int, bytes] = {}
        assembler = FragmentAssembler()
        at = offset
        while offset not in found:
            response: Result[Records, LogProblem] = yield self._service.read(
                self._place.topic, self._place.number, at
            )
            if isinstance(response, Err):
                is_gone = response.err_value.fault is LogFault.GONE
                return NoEntry.LOST if is_gone else NoEntry.NOT_NOW
            records = response.ok_value
            for number, record in enumerate(records.records, start=records.first):
                entry = assembler.add(record)
                first = number - assembler.entry_records + 1
                if entry is not None and first in wanted:
                    found[first] = entry
            at = records.first + len(records.records)
            is_incomplete = assembler.is_inside and bool(records.records)
            if offset not in found and not is_incomplete:
                return NoEntry.LOST
        return found
