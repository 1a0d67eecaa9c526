"""Routes that read, check, publish and roll back the table."""

import msgspec
from result import Err, Ok, Result

from notcharch.admin.authentication import Role
from notcharch.admin.in_force import InForceReport, InForceWait
from notcharch.admin.routes import AdminRequest, Routes, bad_request
from notcharch.errors import Finding, Problem
from notcharch.table.draft import (
    AnyChange,
    ChangesDraft,
    Draft,
    RawRow,
    RollbackDraft,
    WholeDraft,
)
from notcharch.table.edits import AnyEdit
from notcharch.table.interface import ServiceRow, TenantKey
from notcharch.table.publisher import (
    PublicationResult,
    PublishRequest,
    TablePublisher,
)
from notcharch.table.refusals import unknown_version
from notcharch.table.replay import HistoryEntry, Verdict
from notcharch.table.replica_service import TableReplica
from notcharch.values.identifiers import RecordId, TableVersion

PUBLISH_TIMEOUT_SECONDS = 10.0
DEFAULT_IN_FORCE_SECONDS = 16.0
MAX_IN_FORCE_SECONDS = 300.0
DEFAULT_HISTORY_ENTRIES = 50
MAX_HISTORY_ENTRIES = 1024
WAIT_IN_FORCE = "in_force"


class TableAnswer(msgspec.Struct, frozen=True):
    """A version of the table.

    `source` is where this daemon received the version in force from;
    `log_age_seconds` is the time since it last read the log to its end.
    """

    version: TableVersion
    rows: tuple[ServiceRow, ...]
    keys: tuple[TenantKey, ...]
    is_in_force: bool
    source: str
    in_force_seconds: float
    log_age_seconds: float | None


class PublishBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Either `changes` or a complete table as `rows`, based on `base_version`.

    Without `keys`, the callers' keys stay unchanged. With an `id`, the request can be
    retried after an unknown outcome; `first_attempt` states that the `id` was not sent
    before, so that a refusal is certain.
    """

    base_version: TableVersion
    changes: tuple[AnyChange, ...] | None = None
    rows: tuple[RawRow, ...] | None = None
    keys: tuple[TenantKey, ...] | None = None
    id: RecordId | None = None
    first_attempt: bool = False
    note: str = ""


class CheckAnswer(msgspec.Struct, frozen=True):
    """The edits that a publication would make now."""

    version: TableVersion
    edits: tuple[AnyEdit, ...]


class PublishAnswer(msgspec.Struct, frozen=True):
    """A publication in the log, and its rollout state if requested."""

    publication: PublicationResult
    in_force: InForceReport | None


class RollbackBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The version whose contents are published again.

    `base_version` is the version in force that the operator saw, by default the one in
    force here; later publications are merged or cause a conflict.
    """

    version: TableVersion
    base_version: TableVersion | None = None
    id: RecordId | None = None
    first_attempt: bool = False


class HistoryItem(msgspec.Struct, frozen=True):
    """A publication; `version` is null for one that did not come into force.

    `findings` are the conflicts or violated rules of a refused one; `at` is in seconds
    since 1970.
    """

    version: TableVersion | None
    id: RecordId
    author: str
    at: float
    base_version: TableVersion
    verdict: Verdict
    edits: tuple[AnyEdit, ...]
    findings: tuple[Finding, ...]
    note: str


class HistoryAnswer(msgspec.Struct, frozen=True):
    """Publications, newest first; those before `horizon` were deleted."""

    version: TableVersion
    horizon: TableVersion
    entries: tuple[HistoryItem, ...]


class TableRoutes:
    """The routes that read and publish the table."""

    def __init__(
        self, *, replica: TableReplica, publisher: TablePublisher, wait: InForceWait
    ) -> None:
        """Read from `replica` and publish with `publisher`."""
        self._replica = replica
        self._publisher = publisher
        self._wait = wait

    def add_to(self, routes: Routes) -> None:
        """Add all routes of the table."""
        routes.add("GET", "/table", Role.VIEWER, self._read)
        routes.add("POST", "/table/check", Role.VIEWER, self._check)
        routes.add("POST", "/table/publish", Role.EDITOR, self._publish)
        routes.add("GET", "/table/history", Role.VIEWER, self._history)
        routes.add("POST", "/table/rollback", Role.EDITOR, self._rollback)

    async def publish(
        self, request: AdminRequest, publication: PublishRequest
    ) -> Result[msgspec.Struct, Problem]:
        """Publish; with `wait=in_force` in the query, also wait for all daemons."""
        seconds = self._wait_seconds(request)
        if isinstance(seconds, Err):
            return seconds
        published = await self._publisher.publish(publication, PUBLISH_TIMEOUT_SECONDS)
        if isinstance(published, Err):
            return published
        result = published.ok_value
        report = None
        if seconds.ok_value > 0:
            report = await self._wait.wait(result.version, seconds.ok_value)
        return Ok(PublishAnswer(result, report))

    async def _read(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        in_force = self._replica.version
        requested = request.number("version", in_force, 0, 2**53)
        if isinstance(requested, Err):
            return requested
        version = TableVersion(int(requested.ok_value))
        table = self._replica.table()
        if version != in_force:
            state = self._replica.state
            contents = state.contents_at(version)
            if contents is None:
                return Err(unknown_version(version, state))
            table = contents.table(version)
        return Ok(
            TableAnswer(
                version=version,
                rows=table.rows,
                keys=table.keys,
                is_in_force=version == in_force,
                source=self._replica.source.value,
                in_force_seconds=self._replica.in_force_seconds,
                log_age_seconds=self._replica.log_age_seconds,
            )
        )

    async def _check(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        read = request.read_body(PublishBody).and_then(_draft_of)
        if isinstance(read, Err):
            return read
        body, draft = read.ok_value
        checked = await self._publisher.check(draft, body.base_version)
        return checked.map(lambda edits: CheckAnswer(self._replica.version, edits))

    async def _publish(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        read = request.read_body(PublishBody).and_then(_draft_of)
        if isinstance(read, Err):
            return read
        body, draft = read.ok_value
        publication = PublishRequest(
            draft=draft,
            base_version=body.base_version,
            author=request.operator.name,
            note=body.note,
            id=body.id,
            first_attempt=body.first_attempt,
        )
        return await self.publish(request, publication)

    async def _history(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        limit = request.number("limit", DEFAULT_HISTORY_ENTRIES, 1, MAX_HISTORY_ENTRIES)
        if isinstance(limit, Err):
            return limit
        state = self._replica.state
        newest = state.history[-int(limit.ok_value) :]
        items = tuple(_history_item(entry) for entry in reversed(newest))
        return Ok(HistoryAnswer(state.version, state.horizon, items))

    async def _rollback(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        read = request.read_body(RollbackBody)
        if isinstance(read, Err):
            return read
        body = read.ok_value
        base = body.base_version
        publication = PublishRequest(
            draft=RollbackDraft(body.version),
            base_version=self._replica.state.version if base is None else base,
            author=request.operator.name,
            note=f"rollback to {body.version}",
            id=body.id,
            first_attempt=body.first_attempt,
        )
        return await self.publish(request, publication)

    def _wait_seconds(self, request: AdminRequest) -> Result[float, Problem]:
        """Return the maximum wait for all daemons; 0 if none was requested."""
        wait_for = request.query.get("wait")
        if wait_for is None:
            return Ok(0.0)
        if wait_for != WAIT_IN_FORCE:
            finding = Finding("wait", f"must be {WAIT_IN_FORCE}")
            return Err(bad_request("a query parameter is invalid", finding))
        return request.number(
            "seconds", DEFAULT_IN_FORCE_SECONDS, 0.1, MAX_IN_FORCE_SECONDS
        )


def _history_item(entry: HistoryEntry) -> HistoryItem:
    return HistoryItem(
        version=entry.version if entry.is_in_force else None,
        id=entry.id,
        author=entry.author,
        at=entry.at,
        base_version=entry.base_version,
        verdict=entry.verdict,
        edits=entry.edits,
        findings=entry.findings,
        note=entry.note,
    )


def _draft_of(body: PublishBody) -> Result[tuple[PublishBody, Draft], Problem]:
    """Return the draft of a body: either the changes or the complete table."""
    if body.changes is not None and body.rows is None and body.keys is None:
        return Ok((body, ChangesDraft(body.changes)))
    if body.changes is None and body.rows is not None:
        return Ok((body, WholeDraft(body.rows, body.keys)))
    finding = Finding("body", "must have either changes or rows")
    return Err(bad_request("the body is invalid", finding))
