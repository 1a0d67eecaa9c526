"""Reads a partition's stream of the log service to its end."""

from result import Err, Ok, Result

from notcharch.clients.ports import LogPage, LogPort
from notcharch.errors import Problem
from notcharch.replication.archive_records import (
    ArchiveRecord,
    decode_record,
)
from notcharch.replication.archive_replay import ArchiveReplay
from notcharch.values.identifiers import LogOffset

PAGE_RECORDS = 100
TAIL_RECORDS = 8


async def read_archive(log: LogPort, stream: str) -> Result[ArchiveReplay, Problem]:
    """Replay a stream, from the newest snapshot that a late record points to."""
    first = await log.read(stream, LogOffset(0), PAGE_RECORDS)
    if isinstance(first, Err):
        return first
    replay = ArchiveReplay()
    if first.ok_value.next_offset >= first.ok_value.end_offset:
        _take_page(replay, first.ok_value)
        return Ok(replay)
    begin = await _newest_snapshot_offset(log, stream, first.ok_value.end_offset)
    if isinstance(begin, Err):
        return begin
    replay.begin_at(begin.ok_value)
    return await read_on(log, stream, replay)


async def read_on(
    log: LogPort, stream: str, replay: ArchiveReplay
) -> Result[ArchiveReplay, Problem]:
    """Take the records from where a replay stands to the end of the stream."""
    while True:
        page = await log.read(stream, replay.next_offset, PAGE_RECORDS)
        if isinstance(page, Err):
            return page
        _take_page(replay, page.ok_value)
        if replay.next_offset >= page.ok_value.end_offset:
            return Ok(replay)


def _take_page(replay: ArchiveReplay, page: LogPage) -> None:
    for record in page.records:
        replay.take(record)


async def _newest_snapshot_offset(
    log: LogPort, stream: str, end_offset: LogOffset
) -> Result[LogOffset, Problem]:
    """Find where to begin, from the records at the end of the stream.

    A record of a generation proves that its claim was valid, so the record of
    the highest epoch has the best pointer. Any pointer is right, only longer.
    """
    offset = LogOffset(max(0, end_offset - TAIL_RECORDS))
    page = await log.read(stream, offset, TAIL_RECORDS)
    if isinstance(page, Err):
        return page
    records = [decode_record(stored.data) for stored in page.ok_value.records]
    known: list[ArchiveRecord] = [record for record in records if record is not None]
    newest = max(known, key=lambda record: record.epoch, default=None)
    return Ok(LogOffset(0) if newest is None else newest.snapshot_offset)
