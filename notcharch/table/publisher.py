"""Publishes table changes: validates, appends to the log, reads back the verdict.

The response of a successful append may be lost, and other publishers may append
concurrently. The result is therefore always the verdict of the replay: the publisher
appends until its record id appears in the replayed history. Repeated appends of the
same id are idempotent.
"""

import secrets

import attrs
import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import LogPort, LogRecord
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.events.event import emit
from notcharch.events.table import (
    TableAppendRepeated,
    TableCheckpointWritten,
    TablePublished,
)
from notcharch.table.draft import Draft, RollbackDraft, draft_edits
from notcharch.table.edits import AnyEdit, difference
from notcharch.table.log_follower import CHECKPOINT_RECORDS, report_failure
from notcharch.table.merge import merge
from notcharch.table.publication import (
    RECORD_FORMAT,
    STREAM,
    Checkpoint,
    PublishedEdits,
    encode_record,
    format_of,
)
from notcharch.table.refusals import (
    base_too_old,
    invalid,
    merge_refused,
    no_verdict,
    unknown_base,
    unknown_version,
)
from notcharch.table.replay import HistoryEntry, ReplayState, Verdict
from notcharch.table.replica_service import TableReplica
from notcharch.values.identifiers import LogOffset, RecordId, TableVersion

APPEND_TIMEOUT_SECONDS = 5.0
"""Timeout of one append, after which its outcome is unknown."""

MIN_APPEND_TIMEOUT_SECONDS = 0.5
RECORD_WAIT_SECONDS = 2.0
"""How long to wait for a record after a failed append, before it is repeated."""

BASE_WAIT_SECONDS = 5.0
"""How long to wait for this replica to reach the base version."""

ID_BYTES = 16


class PublicationResult(msgspec.Struct, frozen=True):
    """A successful publication.

    `version` contains the publication; `unchanged` means that all its values were
    already in force, so it created no new version.
    """

    id: RecordId
    version: TableVersion
    merged: bool
    unchanged: bool
    edits: tuple[AnyEdit, ...]


@attrs.frozen
class PublishRequest:
    """A request to publish a draft based on `base_version`.

    `id` makes retries idempotent; a random id is generated for None. A request with
    an id may be a retry whose record is already in the log or still in flight,
    unless `first_attempt` is set.
    """

    draft: Draft
    base_version: TableVersion
    author: str
    note: str = ""
    id: RecordId | None = None
    first_attempt: bool = False

    @property
    def refusal_ran(self) -> Ran:
        """The `ran` of a refusal; UNKNOWN if an earlier attempt may have succeeded."""
        is_first = self.first_attempt or self.id is None
        return Ran.NO if is_first else Ran.UNKNOWN


class TablePublisher:
    """Publishes changes, using this daemon's replica to read the verdicts."""

    def __init__(
        self, *, clock: IReactorTime, log: LogPort, replica: TableReplica
    ) -> None:
        """Initialize; the replica must follow the same log."""
        self._clock = clock
        self._log = log
        self._replica = replica
        self._writing_checkpoint: Deferred[None] | None = None

    async def check(
        self, draft: Draft, base_version: TableVersion
    ) -> Result[tuple[AnyEdit, ...], Problem]:
        """Return the edits that a publication would make, without publishing it."""
        edits_result = await self._edits(PublishRequest(draft, base_version, author=""))
        if isinstance(edits_result, Err):
            return edits_result
        outcome = merge(self._replica.state.contents, edits_result.ok_value)
        if not outcome.is_clean:
            return Err(merge_refused(outcome.conflicts, outcome.findings))
        return Ok(outcome.applied)

    async def publish(
        self, request: PublishRequest, seconds: float
    ) -> Result[PublicationResult, Problem]:
        """Publish, with a timeout of `seconds`.

        Errors: BAD_REQUEST with findings; TABLE_CONFLICT with the conflicting cells
        and their values, or without them if the base is too old; NOT_FOUND for a
        rollback to a version beyond the history; UNAVAILABLE. `ran: no` means that
        the publication is not and will not be in force; after `ran: unknown`, a
        retry with the same id returns the verdict.
        """
        if request.id is not None:
            known = self._replica.state.entry(request.id)
            if known is not None:
                return _result(known)
        edits_result = await self._edits(request)
        if isinstance(edits_result, Err):
            return edits_result
        edits = edits_result.ok_value
        known_result = self._result_without_append(request, edits)
        if known_result is not None:
            return known_result
        record = request.id or RecordId(secrets.token_hex(ID_BYTES))
        publication = PublishedEdits(
            format=format_of(edits),
            base_version=request.base_version,
            author=request.author,
            at=self._clock.seconds(),
            edits=edits,
            note=request.note,
        )
        log_record = LogRecord(record, encode_record(publication))
        decided = await self._append_until_verdict(
            log_record, request.refusal_ran, seconds
        )
        if isinstance(decided, Err):
            return decided
        self._write_checkpoint_when_due()
        return _result(decided.ok_value)

    async def _edits(
        self, request: PublishRequest
    ) -> Result[tuple[AnyEdit, ...], Problem]:
        """Wait for the base version, then validate the draft against it."""
        base_version = request.base_version
        has_base = await self._replica.wait_for(
            lambda state: state.version >= base_version, BASE_WAIT_SECONDS
        )
        if not has_base:
            return Err(unknown_base(base_version, request.refusal_ran))
        state = self._replica.state
        base = state.contents_at(base_version)
        if base is None:
            return Err(base_too_old(base_version, request.refusal_ran))
        draft = request.draft
        if isinstance(draft, RollbackDraft):
            target = state.contents_at(draft.target)
            if target is None:
                return Err(unknown_version(draft.target, state, request.refusal_ran))
            # A rollback restores rows and keys, but does not cancel drains.
            rollback_target = attrs.evolve(target, drained_zones=base.drained_zones)
            return Ok(difference(base, rollback_target))
        edits = draft_edits(draft, base).map_err(invalid)
        if isinstance(edits, Err):
            return edits
        # A draft that is invalid on its own base is refused without an append.
        findings = merge(base, edits.ok_value).findings
        return Err(invalid(findings)) if findings else edits

    def _result_without_append(
        self, request: PublishRequest, edits: tuple[AnyEdit, ...]
    ) -> Result[PublicationResult, Problem] | None:
        """Return the result if it is certain without an append, else None.

        If an earlier attempt may have appended the record, only the log is
        authoritative, unless the draft contains no edits.
        """
        state = self._replica.state
        outcome = merge(state.contents, edits)
        is_certain = request.refusal_ran is Ran.NO
        is_unchanged = outcome.is_clean and not outcome.applied
        if not edits or (is_unchanged and is_certain):
            record = request.id or RecordId("")
            return Ok(PublicationResult(record, state.version, False, True, ()))
        if outcome.is_clean or not is_certain:
            return None
        return Err(merge_refused(outcome.conflicts, outcome.findings))

    async def _append_until_verdict(
        self, record: LogRecord, ran: Ran, seconds: float
    ) -> Result[HistoryEntry, Problem]:
        deadline = self._clock.seconds() + seconds
        attempt = 0
        while True:
            attempt += 1
            appended = await self._append(record, deadline - self._clock.seconds())
            if isinstance(appended, Ok):
                return await self._verdict_at(appended.ok_value, record.id, deadline)
            problem = appended.err_value
            if problem.ran is not Ran.NO:
                ran = Ran.UNKNOWN
            remaining = deadline - self._clock.seconds()
            await self._wait_for_record(record.id, min(RECORD_WAIT_SECONDS, remaining))
            entry = self._replica.state.entry(record.id)
            if entry is not None:
                return Ok(entry)
            if self._clock.seconds() >= deadline:
                return Err(no_verdict(record.id, ran, problem.message))
            emit(TableAppendRepeated(record.id, attempt, problem.code))

    async def _verdict_at(
        self, offset: LogOffset, record: RecordId, deadline: float
    ) -> Result[HistoryEntry, Problem]:
        """Wait for the verdict on a record that was appended at `offset`."""
        remaining = deadline - self._clock.seconds()
        await self._replica.wait_for(
            lambda state: state.next_offset > offset, max(remaining, 0.0)
        )
        entry = self._replica.state.entry(record)
        if entry is not None:
            return Ok(entry)
        detail = f"appended at offset {offset}, its verdict has not been read yet"
        return Err(no_verdict(record, Ran.UNKNOWN, detail))

    async def _append(
        self, record: LogRecord, seconds: float = APPEND_TIMEOUT_SECONDS
    ) -> Result[LogOffset, Problem]:
        appending = self._log.append(STREAM, (record,))
        limit = max(MIN_APPEND_TIMEOUT_SECONDS, min(APPEND_TIMEOUT_SECONDS, seconds))
        appending.addTimeout(limit, self._clock)
        try:
            return await appending
        except DeferredTimeoutError:
            return Err(
                Problem.of(
                    ProblemCode.TIMED_OUT,
                    "the log did not respond in time",
                    ran=Ran.UNKNOWN,
                )
            )

    async def _wait_for_record(self, record: RecordId, seconds: float) -> None:
        await self._replica.wait_for(
            lambda state: state.entry(record) is not None, seconds
        )

    def _write_checkpoint_when_due(self) -> None:
        state = self._replica.state
        if state.next_offset - state.checkpoint_offset < CHECKPOINT_RECORDS:
            return
        if self._writing_checkpoint is None:
            writing = Deferred.fromCoroutine(self._write_checkpoint(state))
            self._writing_checkpoint = writing
            writing.addErrback(report_failure)
            writing.addCallback(self._on_checkpoint_done)

    async def _write_checkpoint(self, state: ReplayState) -> None:
        checkpoint = Checkpoint(
            format=RECORD_FORMAT,
            next_offset=state.next_offset,
            state=msgspec.Raw(state.encode()),
        )
        text = encode_record(checkpoint)
        record = LogRecord(RecordId(secrets.token_hex(ID_BYTES)), text)
        appended = await self._append(record)
        if isinstance(appended, Ok):
            emit(TableCheckpointWritten(state.next_offset, len(text)))

    def _on_checkpoint_done(self, _result: None) -> None:
        self._writing_checkpoint = None


def _result(entry: HistoryEntry) -> Result[PublicationResult, Problem]:
    if entry.is_in_force:
        emit(TablePublished(entry.id, entry.author, entry.verdict.value, entry.version))
        merged = entry.verdict is Verdict.MERGED
        return Ok(
            PublicationResult(entry.id, entry.version, merged, False, entry.edits)
        )
    emit(TablePublished(entry.id, entry.author, entry.verdict.value, 0))
    if entry.verdict is Verdict.INVALID:
        return Err(invalid(entry.findings))
    if entry.verdict is Verdict.BASE_TOO_OLD:
        # An earlier record with this id may have been dropped from the history.
        return Err(base_too_old(entry.base_version, Ran.UNKNOWN))
    return Err(merge_refused(entry.findings, ()))
