"""Implementations of the `notcharch table` actions; each returns an exit status."""

import argparse
import secrets
import sys
from pathlib import Path

import attrs
import msgspec
from result import Err, Ok, Result

from notcharch.admin.in_force import InForceReport
from notcharch.admin.table_routes import (
    CheckAnswer,
    HistoryAnswer,
    PublishAnswer,
    PublishBody,
    RollbackBody,
    TableAnswer,
)
from notcharch.cli.admin_client import AdminClient, print_problem
from notcharch.cli.columns import print_columns, print_json
from notcharch.cli.exit_codes import DONE, FAILED
from notcharch.errors import Finding, Problem, ProblemCode, Ran
from notcharch.table.document import (
    DocumentFormat,
    TableDocument,
    cell_text,
    read_document,
    write_document,
)
from notcharch.table.draft import ChangeCell
from notcharch.table.edits import AnyEdit, SetCell, SetKey, SetRow, SetZoneDrain
from notcharch.table.interface import ServiceRow, Table
from notcharch.table.schema import (
    CELL_NAMES,
    cell_place,
    key_place,
    read_cell,
    row_place,
    zone_place,
)
from notcharch.values.identifiers import RecordId, ServiceName, TableVersion

TABLE_PATH = "/table"
PUBLISH_PATH = "/table/publish"
IN_FORCE_QUERY = "?wait=in_force"
MAX_PUBLISH_ATTEMPTS = 4
RETRY_SECONDS = 1.0
ABSENT = "-"


async def show(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print a version of the table as a document, as columns or as JSON."""
    query = "" if arguments.version is None else f"?version={arguments.version}"
    read = await client.get(TABLE_PATH + query, TableAnswer)
    if isinstance(read, Err):
        return print_problem(read.err_value)
    response = read.ok_value
    if arguments.json:
        print_json(response)
    elif arguments.format is not None:
        table = Table(response.version, response.rows, response.keys)
        document_format = DocumentFormat(f".{arguments.format}")
        sys.stdout.write(write_document(table, document_format))
    else:
        _print_table(response)
    return DONE


async def check(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print all findings of a document, and the number of its changes."""
    checked = await _check_document(client, arguments)
    if isinstance(checked, Err):
        return print_problem(checked.err_value)
    if arguments.json:
        print_json(checked.ok_value)
        return DONE
    count = len(checked.ok_value.edits)
    version = checked.ok_value.version
    sys.stdout.write(f"no findings; {count} changes to version {version}\n")
    return DONE


async def _check_document(
    client: AdminClient, arguments: argparse.Namespace
) -> Result[CheckAnswer, Problem]:
    body = await _body_of(client, arguments)
    if isinstance(body, Err):
        return Err(body.err_value)
    return await client.post("/table/check", body.ok_value, CheckAnswer)


async def diff(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print the changes that a document makes to the table in force."""
    checked = await _check_document(client, arguments)
    if isinstance(checked, Err):
        return print_problem(checked.err_value)
    if arguments.json:
        print_json(checked.ok_value)
        return DONE
    _print_edits(checked.ok_value.edits)
    return DONE


async def publish(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Publish a document."""
    body = await _body_of(client, arguments)
    if isinstance(body, Err):
        return print_problem(body.err_value)
    return await _publish(client, arguments, body.ok_value)


async def edit(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Publish a change of one cell, based on the version in force."""
    place = cell_place(arguments.service, arguments.cell)
    value = read_cell(arguments.cell, arguments.value, place, from_text=True)
    if isinstance(value, Err):
        return print_problem(_bad_table(value.err_value))
    read = await client.get(TABLE_PATH, TableAnswer)
    if isinstance(read, Err):
        return print_problem(read.err_value)
    service = ServiceName(arguments.service)
    change = ChangeCell(service, arguments.cell, value.ok_value)
    body = PublishBody(
        base_version=read.ok_value.version,
        changes=(change,),
        id=_new_id(),
        first_attempt=True,
        note=arguments.note,
    )
    return await _publish(client, arguments, body)


async def history(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print the most recent publications."""
    path = f"/table/history?limit={arguments.limit}"
    read = await client.get(path, HistoryAnswer)
    if isinstance(read, Err):
        return print_problem(read.err_value)
    response = read.ok_value
    if arguments.json:
        print_json(response)
        return DONE
    print_columns(
        ("VERSION", "AUTHOR", "VERDICT", "BASE", "CHANGES", "NOTE"),
        (
            (
                item.version,
                item.author,
                item.verdict.value,
                item.base_version,
                len(item.edits),
                item.note,
            )
            for item in response.entries
        ),
    )
    return DONE


async def rollback(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Publish the contents of an earlier version."""
    read = await client.get(TABLE_PATH, TableAnswer)
    if isinstance(read, Err):
        return print_problem(read.err_value)
    body = RollbackBody(
        version=TableVersion(arguments.version),
        base_version=read.ok_value.version,
        id=_new_id(),
        first_attempt=True,
    )
    query = IN_FORCE_QUERY if arguments.wait else ""
    path = "/table/rollback" + query
    return _report(arguments, await _post_with_retries(client, path, body))


def document_of(path: Path) -> Result[TableDocument, Problem]:
    """Read a table document; the file suffix determines the format."""
    try:
        document_format = DocumentFormat(path.suffix.lower())
    except ValueError:
        return Err(_bad_table(Finding(str(path), "must end in .toml or .csv")))
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        return Err(_bad_table(Finding(str(path), str(error))))
    read = read_document(text, document_format)
    return read.map_err(lambda findings: _bad_table(*findings))


async def _body_of(
    client: AdminClient, arguments: argparse.Namespace
) -> Result[PublishBody, Problem]:
    """Read the document and determine its base version.

    Without a base version in the flags or the document it is 0, the base of the first
    table; it is an error if a table already exists.
    """
    read = document_of(arguments.file)
    if isinstance(read, Err):
        return read
    document = read.ok_value
    base = arguments.base if arguments.base is not None else document.base_version
    if base is None:
        base = await _initial_base_version(client)
        if isinstance(base, Err):
            return base
        base = base.ok_value
    return Ok(
        PublishBody(
            base_version=TableVersion(base),
            rows=document.draft.rows,
            keys=document.draft.keys,
            id=_new_id(),
            first_attempt=True,
            note=getattr(arguments, "note", ""),
        )
    )


async def _initial_base_version(client: AdminClient) -> Result[TableVersion, Problem]:
    """Return 0 if no table exists; otherwise a base version is required."""
    current = await client.get(TABLE_PATH, TableAnswer)
    if isinstance(current, Err):
        return current
    version = current.ok_value.version
    if version == 0:
        return Ok(version)
    message = f"names no version; the one in force is {version} (see --base)"
    return Err(_bad_table(Finding("version", message)))


async def _publish(
    client: AdminClient, arguments: argparse.Namespace, body: PublishBody
) -> int:
    query = IN_FORCE_QUERY if arguments.wait else ""
    published = await _post_with_retries(client, PUBLISH_PATH + query, body)
    return _report(arguments, published)


async def _post_with_retries(
    client: AdminClient, path: str, body: PublishBody | RollbackBody
) -> Result[PublishAnswer, Problem]:
    """Retry a publication with the same id while its outcome is unknown."""
    attempt = 1
    while True:
        response = await client.post(path, body, PublishAnswer)
        if isinstance(response, Ok) or attempt == MAX_PUBLISH_ATTEMPTS:
            return response
        problem = response.err_value
        if problem.ran is not Ran.UNKNOWN:
            return response
        attempt += 1
        body = msgspec.structs.replace(body, first_attempt=False)
        await client.pause(problem.retry_after or RETRY_SECONDS)


def _report(
    arguments: argparse.Namespace, published: Result[PublishAnswer, Problem]
) -> int:
    if isinstance(published, Err):
        return print_problem(published.err_value)
    response = published.ok_value
    is_missing = response.in_force is not None and not response.in_force.in_force
    status = FAILED if is_missing else DONE
    if arguments.json:
        print_json(response)
        return status
    publication = response.publication
    if publication.unchanged:
        sys.stdout.write(f"unchanged; version {publication.version} says so already\n")
    else:
        merged = ", merged with others' changes" if publication.merged else ""
        sys.stdout.write(f"published version {publication.version}{merged}\n")
        _print_edits(publication.edits)
    if response.in_force is not None:
        _print_report(response.in_force)
    return status


def _print_report(report: InForceReport) -> None:
    missing = len(report.behind) + len(report.unreached)
    sys.stdout.write(
        f"in force at {report.daemons - missing} of {report.daemons} daemons "
        f"after {report.waited_seconds:.1f} s\n"
    )
    for name in report.behind:
        sys.stdout.write(f"  {name}: has an older version\n")
    for unreached in report.unreached:
        sys.stdout.write(f"  {unreached.daemon}: {unreached.problem}\n")


def _print_table(response: TableAnswer) -> None:
    age = response.log_age_seconds
    freshness = "never" if age is None else f"{age:.1f} s ago"
    sys.stdout.write(
        f"version {response.version}, from {response.source}; log read {freshness}; "
        f"{len(response.keys)} callers' keys\n"
    )
    header = [name.upper() for name in CELL_NAMES]
    print_columns(header, map(_cells, response.rows))


def _cells(row: ServiceRow) -> list[str]:
    return [cell_text(getattr(row, name)) for name in CELL_NAMES]


def _print_edits(edits: tuple[AnyEdit, ...]) -> None:
    for change in map(_describe_edit, edits):
        sys.stdout.write(f"  {change.place}: {change.before} -> {change.after}\n")


@attrs.frozen
class _EditDescription:
    place: str
    before: str
    after: str


def _describe_edit(edit: AnyEdit) -> _EditDescription:
    match edit:
        case SetCell():
            place = cell_place(edit.service, edit.cell)
            return _EditDescription(
                place, cell_text(edit.before), cell_text(edit.after)
            )
        case SetRow():
            place = row_place(edit.service)
            return _EditDescription(
                place, _row_text(edit.before), _row_text(edit.after)
            )
        case SetKey():
            place = key_place(edit.key_sha256)
            return _EditDescription(place, edit.before or ABSENT, edit.after or ABSENT)
        case SetZoneDrain():
            place = zone_place(edit.zone)
            return _EditDescription(
                place, _drain_text(edit.before), _drain_text(edit.after)
            )


def _drain_text(is_drained: bool) -> str:
    return "drained" if is_drained else "in use"


def _row_text(row: ServiceRow | None) -> str:
    if row is None:
        return ABSENT
    return " ".join(f"{name}={cell_text(getattr(row, name))}" for name in CELL_NAMES)


def _bad_table(*findings: Finding) -> Problem:
    message = "the table is invalid or cannot be read"
    return Problem.of(ProblemCode.BAD_REQUEST, message, findings=findings)


def _new_id() -> RecordId:
    return RecordId(secrets.token_hex(16))
