"""`table`, `table/check`, `table/publish`, `table/history`, `table/rollback`."""

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

PUBLISH_SECONDS = 10.0
IN_FORCE_SECONDS = 16.0
MOST_SECONDS = 300.0
HISTORY_LIMIT = 50
MOST_HISTORY = 1024
WAIT_IN_FORCE = "in_force"


class TableAnswer(msgspec.Struct, frozen=True):
    """A version of the table.

    `source` tells from where this daemon learnt the version in force, and
    `log_age_seconds` when it last read the log to its end.
    """

    version: TableVersion
    rows: tuple[ServiceRow, ...]
    keys: tuple[TenantKey, ...]
    is_in_force: bool
    source: str
    in_force_seconds: float
    log_age_seconds: float | None


class PublishBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`changes`, or a whole table as `rows`, edited from a version.

    Without `keys` the callers' keys stay as they are. With an `id`, the request
    may be sent again after an unknown outcome; `first_attempt` says that this id
    was not sent before, so that a refusal can be certain.
    """

    base_version: TableVersion
    changes: tuple[AnyChange, ...] | None = None
    rows: tuple[RawRow, ...] | None = None
    keys: tuple[TenantKey, ...] | None = None
    id: RecordId | None = None
    first_attempt: bool = False
    note: str = ""


class CheckAnswer(msgspec.Struct, frozen=True):
    """What a publication would change now."""

    version: TableVersion
    edits: tuple[AnyEdit, ...]


class PublishAnswer(msgspec.Struct, frozen=True):
    """A publication in the log, and how far it has come if that was asked for."""

    publication: PublicationResult
    in_force: InForceReport | None


class RollbackBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The version whose contents are to be published anew.

    `base_version` is the version in force that the operator saw, by default the
    one in force here; what others publish after it is merged or a conflict.
    """

    version: TableVersion
    base_version: TableVersion | None = None
    id: RecordId | None = None
    first_attempt: bool = False


class HistoryItem(msgspec.Struct, frozen=True):
    """A publication; `version` is null for one that is not in force.

    `findings` are the conflicts or broken rules of a refused one; `at` is seconds
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
    """Publications, newest first; older ones than `horizon` are forgotten."""

    version: TableVersion
    horizon: TableVersion
    entries: tuple[HistoryItem, ...]


class TableRoutes:
    """The routes that read and publish the table."""

    def __init__(
        self, *, replica: TableReplica, publisher: TablePublisher, wait: InForceWait
    ) -> None:
        """Take the daemon's replica and publisher."""
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
        """Publish and, with `wait=in_force` in the query, wait for all daemons."""
        seconds = self._wait_seconds(request)
        if isinstance(seconds, Err):
            return seconds
        published = await self._publisher.publish(publication, PUBLISH_SECONDS)
        if isinstance(published, Err):
            return published
        result = published.ok_value
        report = None
        if seconds.ok_value > 0:
            report = await self._wait.wait(result.version, seconds.ok_value)
        return Ok(PublishAnswer(result, report))

    async def _read(self, request: AdminRequest) -> Result[msgspec.Struct, Problem]:
        in_force = self._replica.version
        asked = request.number("version", in_force, 0, 2**53)
        if isinstance(asked, Err):
            return asked
        version = TableVersion(int(asked.ok_value))
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
        limit = request.number("limit", HISTORY_LIMIT, 1, MOST_HISTORY)
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
        """Give the longest wait for all daemons; 0 when none was asked for."""
        awaited = request.query.get("wait")
        if awaited is None:
            return Ok(0.0)
        if awaited != WAIT_IN_FORCE:
            finding = Finding("wait", f"must be {WAIT_IN_FORCE}")
            return Err(bad_request("a query parameter is wrong", finding))
        return request.number("seconds", IN_FORCE_SECONDS, 0.1, MOST_SECONDS)


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
    """Take either the changes or the whole table out of a body."""
    if body.changes is not None and body.rows is None and body.keys is None:
        return Ok((body, ChangesDraft(body.changes)))
    if body.changes is None and body.rows is not None:
        return Ok((body, WholeDraft(body.rows, body.keys)))
    finding = Finding("body", "needs either changes or rows")
    return Err(bad_request("the body cannot be read", finding))
