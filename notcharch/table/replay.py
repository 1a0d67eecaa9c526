"""Deterministic replay of the stream's records, the same in every replica.

`replay` computes the state after a record from only the record and the state before
it, so replicas at the same offset have the same table, history and verdicts. It adds
the compare-and-append and the deduplication that the log lacks:

* A record is accepted if each value that it edits is still that of its base, or is
  already the new one. Its version is its offset + 1; version 0 is the empty table.
* Repeated record ids are skipped. The history of ids is bounded; a record whose base
  version is older than the history is refused, so a late duplicate of a dropped id,
  whose base is older still, cannot be accepted either.
"""

import enum
from collections.abc import Iterable

import attrs
import msgspec
from result import Err, Ok, Result

from notcharch.clients.ports import StoredRecord
from notcharch.errors import Finding
from notcharch.table.edits import (
    EMPTY_CONTENTS,
    AnyEdit,
    TableContents,
    difference,
    inverse,
    weight,
)
from notcharch.table.interface import ServiceRow, TenantKey
from notcharch.table.merge import MergeOutcome, merge
from notcharch.table.publication import (
    Checkpoint,
    PublishedEdits,
    PublishedTable,
    decode_record,
)
from notcharch.table.schema import check_table
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.identifiers import (
    LogOffset,
    RecordId,
    TableVersion,
    ZoneName,
)

MAX_HISTORY_ENTRIES = 1024
"""Maximum number of publications in the history, including refused ones."""

MAX_HISTORY_WEIGHT = 100_000
"""Maximum number of cells and findings in the history."""


class Verdict(enum.Enum):
    """The result of replaying a publication."""

    ACCEPTED = "accepted"
    MERGED = "merged"
    """Accepted, although its base version was not the newest."""

    CONFLICT = "conflict"
    INVALID = "invalid"
    """Violates the schema after the merge into the current table."""

    BASE_TOO_OLD = "base_too_old"


IN_FORCE = (Verdict.ACCEPTED, Verdict.MERGED)


class HistoryEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """A publication and its verdict.

    `edits` are the effective edits (none if refused); `findings` are the conflicts or
    schema violations of a refused publication. `at` is a Unix timestamp in seconds.
    """

    offset: LogOffset
    id: RecordId
    author: str
    at: float
    base_version: TableVersion
    verdict: Verdict
    edits: tuple[AnyEdit, ...] = ()
    findings: tuple[Finding, ...] = ()
    note: str = ""

    @property
    def is_in_force(self) -> bool:
        """Whether the publication created a version."""
        return self.verdict in IN_FORCE

    @property
    def version(self) -> TableVersion:
        """The version created by the publication, if it was accepted."""
        return version_at(self.offset)

    @property
    def weight(self) -> int:
        """Number of cells and findings, plus 1 for the entry."""
        return 1 + sum(map(weight, self.edits)) + len(self.findings)


class EncodedState(msgspec.Struct, frozen=True):
    """The serialized state in snapshots for peers and in checkpoints."""

    next_offset: LogOffset
    version: TableVersion
    rows: tuple[ServiceRow, ...]
    keys: tuple[TenantKey, ...]
    history: tuple[HistoryEntry, ...]
    horizon: TableVersion
    checkpoint_offset: LogOffset
    drained_zones: tuple[ZoneName, ...] = ()


@attrs.frozen
class ReplayState:
    """The complete state of the replay.

    `horizon` is the oldest base version that publications may use,
    `checkpoint_offset` the offset of the last checkpoint record, `history_weight`
    the sum of the entries' weights.
    """

    next_offset: LogOffset = LogOffset(0)
    version: TableVersion = TableVersion(0)
    contents: TableContents = EMPTY_CONTENTS
    history: tuple[HistoryEntry, ...] = ()
    horizon: TableVersion = TableVersion(0)
    checkpoint_offset: LogOffset = LogOffset(0)
    history_weight: int = 0

    def entry(self, record: RecordId) -> HistoryEntry | None:
        """Return the history entry with a record id, or None."""
        for entry in reversed(self.history):
            if entry.id == record:
                return entry
        return None

    def contents_at(self, version: TableVersion) -> TableContents | None:
        """Reconstruct the contents of a version; None if it is outside the history."""
        if version < self.horizon or version > self.version:
            return None
        undo: list[AnyEdit] = []
        for entry in reversed(self.history):
            if entry.is_in_force and entry.version <= version:
                break
            undo.extend(inverse(edit) for edit in reversed(entry.edits))
        return merge(self.contents, undo).contents

    def encode(self) -> bytes:
        """Encode the state as JSON."""
        table = self.contents.table(self.version)
        return msgspec.json.encode(
            EncodedState(
                next_offset=self.next_offset,
                version=self.version,
                rows=table.rows,
                keys=table.keys,
                history=self.history,
                horizon=self.horizon,
                checkpoint_offset=self.checkpoint_offset,
                drained_zones=table.drained_zones,
            )
        )


class SkipReason(enum.Enum):
    """Why a record created no history entry."""

    BAD = "bad"
    REPEATED = "repeated"
    CHECKPOINT = "checkpoint"


@attrs.frozen
class ReplayResult:
    """The state after a record, with its history entry or the reason to skip it."""

    state: ReplayState
    entry: HistoryEntry | None
    skipped: SkipReason | None = None
    detail: str = ""


def version_at(offset: LogOffset) -> TableVersion:
    """Return the version of an accepted record at an offset."""
    return TableVersion(offset + 1)


def replay(state: ReplayState, record: StoredRecord) -> ReplayResult:
    """Replay the record at `state.next_offset`."""
    if record.offset != state.next_offset:
        raise ValueError(f"offset {record.offset} after {state.next_offset}")
    state = attrs.evolve(state, next_offset=LogOffset(record.offset + 1))
    decoded = decode_record(record.data)
    if isinstance(decoded, Err):
        return ReplayResult(state, None, SkipReason.BAD, decoded.err_value)
    publication = decoded.ok_value
    if isinstance(publication, Checkpoint):
        state = attrs.evolve(state, checkpoint_offset=record.offset)
        return ReplayResult(state, None, SkipReason.CHECKPOINT)
    if publication.base_version > record.offset:
        return ReplayResult(
            state, None, SkipReason.BAD, "its base version does not exist yet"
        )
    if state.entry(record.id) is not None:
        return ReplayResult(state, None, SkipReason.REPEATED, record.id)
    return _evaluate(state, record, publication)


def apply_entries(
    state: ReplayState, entries: Iterable[HistoryEntry], next_offset: LogOffset
) -> ReplayState:
    """Apply history entries of another replica that are newer than this state.

    Entries that the state already contains are skipped. The caller must ensure that
    there is no gap between the state and the first entry.
    """
    for entry in entries:
        if entry.offset < state.next_offset:
            continue
        contents = state.contents
        if entry.is_in_force:
            contents = merge(contents, entry.edits).contents
        state = _append_entry(state, entry, contents)
    return attrs.evolve(state, next_offset=max(state.next_offset, next_offset))


def decode_state(data: bytes | msgspec.Raw) -> Result[ReplayState, str]:
    """Decode and validate a state; an Err contains the reason for a failure."""
    try:
        encoded = msgspec.json.decode(data, type=EncodedState)
    except DECODING_ERRORS as error:
        return Err(str(error))
    findings = check_table(encoded.rows, encoded.keys)
    if findings:
        return Err(f"{findings[0].place}: {findings[0].message}")
    state = ReplayState(
        next_offset=encoded.next_offset,
        version=encoded.version,
        contents=TableContents.of(encoded.rows, encoded.keys, encoded.drained_zones),
        history=encoded.history,
        horizon=encoded.horizon,
        checkpoint_offset=encoded.checkpoint_offset,
        history_weight=sum(entry.weight for entry in encoded.history),
    )
    return Ok(state)


def _evaluate(
    state: ReplayState,
    record: StoredRecord,
    publication: PublishedEdits | PublishedTable,
) -> ReplayResult:
    verdict = Verdict.BASE_TOO_OLD
    outcome = MergeOutcome(state.contents, (), (), ())
    if publication.base_version >= state.horizon:
        outcome = _merge_publication(state, publication)
        verdict = _verdict(state, publication.base_version, outcome)
    in_force = verdict in IN_FORCE
    entry = HistoryEntry(
        offset=record.offset,
        id=record.id,
        author=publication.author,
        at=publication.at,
        base_version=publication.base_version,
        verdict=verdict,
        edits=outcome.applied if in_force else (),
        findings=(*outcome.conflicts, *outcome.findings),
        note=publication.note,
    )
    contents = outcome.contents if in_force else state.contents
    return ReplayResult(_append_entry(state, entry, contents), entry)


def _merge_publication(
    state: ReplayState, publication: PublishedEdits | PublishedTable
) -> MergeOutcome:
    if isinstance(publication, PublishedEdits):
        return merge(state.contents, publication.edits)
    findings = check_table(publication.rows, publication.keys)
    base = state.contents_at(min(publication.base_version, state.version))
    if findings or base is None:
        return MergeOutcome(state.contents, (), (), findings)
    target = TableContents.of(publication.rows, publication.keys, base.drained_zones)
    return merge(state.contents, difference(base, target))


def _verdict(
    state: ReplayState, base_version: TableVersion, outcome: MergeOutcome
) -> Verdict:
    if outcome.conflicts:
        return Verdict.CONFLICT
    if outcome.findings:
        return Verdict.INVALID
    if base_version < state.version:
        return Verdict.MERGED
    return Verdict.ACCEPTED


def _append_entry(
    state: ReplayState, entry: HistoryEntry, contents: TableContents
) -> ReplayState:
    state = attrs.evolve(
        state,
        next_offset=LogOffset(entry.offset + 1),
        version=entry.version if entry.is_in_force else state.version,
        contents=contents,
        history=(*state.history, entry),
        history_weight=state.history_weight + entry.weight,
    )
    return _trim_history(state)


def _trim_history(state: ReplayState) -> ReplayState:
    """Drop the oldest entries beyond the limits; the newest entry always stays."""
    history = state.history
    total = state.history_weight
    dropped = 0
    while dropped < len(history) - 1 and (
        len(history) - dropped > MAX_HISTORY_ENTRIES or total > MAX_HISTORY_WEIGHT
    ):
        total -= history[dropped].weight
        dropped += 1
    if not dropped:
        return state
    return attrs.evolve(
        state,
        history=history[dropped:],
        history_weight=total,
        horizon=version_at(history[dropped - 1].offset),
    )
