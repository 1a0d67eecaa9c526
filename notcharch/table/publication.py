"""JSON records of the log stream `table`.

A record is identified by its record id in the log. `format` is the version of the
replay rules; replicas skip records of an unknown format. Times are Unix timestamps in
seconds.
"""

from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from notcharch.table.edits import AnyEdit, SetRow, SetZoneDrain
from notcharch.table.interface import ServiceRow, TenantKey
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.identifiers import LogOffset, TableVersion

STREAM = "table"
RECORD_FORMAT = 1
DRAINS_FORMAT = 2
"""Format of records that start or cancel zone drains. Replicas that do not support
drains skip them, and later receive their effect with the state of a peer that does."""


class Record(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base class of the records."""

    format: int


class PublishedEdits(Record, frozen=True, kw_only=True):
    """A publication as edits of its base version."""

    base_version: TableVersion
    author: str
    at: float
    edits: tuple[AnyEdit, ...]
    note: str = ""


class PublishedTable(Record, frozen=True, kw_only=True):
    """A publication as a complete table, derived from a base version."""

    base_version: TableVersion
    author: str
    at: float
    rows: tuple[ServiceRow, ...]
    keys: tuple[TenantKey, ...]
    note: str = ""


class Checkpoint(Record, frozen=True, kw_only=True):
    """The replay state before `next_offset`, which shortens the replay at startup.

    `state` is an encoded `notcharch.table.replay.ReplayState`. Replicas that are
    already following the stream ignore checkpoints.
    """

    next_offset: LogOffset
    state: msgspec.Raw


AnyRecord = PublishedEdits | PublishedTable | Checkpoint

_decoder = msgspec.json.Decoder(AnyRecord)


def format_of(edits: Iterable[AnyEdit]) -> int:
    """Return the record format required by the edits."""
    has_drain = any(isinstance(edit, SetZoneDrain) for edit in edits)
    return DRAINS_FORMAT if has_drain else RECORD_FORMAT


def encode_record(record: AnyRecord) -> str:
    """Encode a record as JSON text."""
    return msgspec.json.encode(record).decode()


def decode_record(data: str) -> Result[AnyRecord, str]:
    """Decode a record; an Err contains the reason to skip it."""
    try:
        record = _decoder.decode(data)
    except DECODING_ERRORS as error:
        return Err(f"not a record: {error}")
    edits = record.edits if isinstance(record, PublishedEdits) else ()
    if record.format != format_of(edits):
        return Err(f"unknown format {record.format}")
    if isinstance(record, PublishedEdits) and not all(
        map(_is_valid_edit, record.edits)
    ):
        return Err("an edit of a row neither adds nor removes it")
    return Ok(record)


def _is_valid_edit(edit: AnyEdit) -> bool:
    if not isinstance(edit, SetRow):
        return True
    row = edit.after or edit.before
    if row is None or (edit.before and edit.after):
        return False
    return row.service == edit.service
