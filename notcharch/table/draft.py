"""Drafts: publications requested by operators, not yet resolved against a base.

A draft is a complete table, a list of changes or a rollback. Raw cells are validated
here; every finding is reported with its row and cell.
"""

from collections.abc import Mapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from notcharch.errors import Finding
from notcharch.table.edits import (
    EMPTY_CONTENTS,
    AnyEdit,
    SetCell,
    SetKey,
    SetRow,
    SetZoneDrain,
    TableContents,
    difference,
)
from notcharch.table.interface import ServiceRow, TenantKey
from notcharch.table.schema import (
    KEY_CELL,
    cell_place,
    check_key,
    check_table,
    key_place,
    read_cell,
    read_row,
    row_place,
    zone_place,
)
from notcharch.values.identifiers import (
    ServiceName,
    TableVersion,
    TenantName,
    ZoneName,
)

RawRow = dict[str, Any]
"""Unvalidated JSON, TOML or CSV values of a row, by cell name."""


class Change(msgspec.Struct, frozen=True, tag=True, tag_field="change"):
    """One requested change."""


class ChangeCell(Change, frozen=True, tag="set_cell"):
    """Set the value of a cell."""

    service: ServiceName
    cell: str
    value: Any


class InsertRow(Change, frozen=True, tag="add_row"):
    """Add a row; missing cells have their default value."""

    row: RawRow


class DeleteRow(Change, frozen=True, tag="remove_row"):
    """Remove a service's row."""

    service: ServiceName


class ChangeKey(Change, frozen=True, tag="set_key"):
    """Assign a caller's key to a tenant; None revokes the key."""

    key_sha256: str
    tenant: TenantName | None


class ChangeZoneDrain(Change, frozen=True, tag="drain_zone"):
    """Drain a zone, so that its engines get no new work, or cancel the drain."""

    zone: ZoneName
    drained: bool


AnyChange = ChangeCell | InsertRow | DeleteRow | ChangeKey | ChangeZoneDrain
Findings = tuple[Finding, ...]


class ChangesDraft(msgspec.Struct, frozen=True):
    """A list of changes to the base version."""

    changes: tuple[AnyChange, ...]


class TableDraft(msgspec.Struct, frozen=True):
    """A complete table that replaces the base version; None keeps the base's keys.

    Drained zones stay drained: documents contain no drains.
    """

    rows: tuple[RawRow, ...]
    keys: tuple[TenantKey, ...] | None


class RollbackDraft(msgspec.Struct, frozen=True):
    """Replace the base version by the contents of an older version."""

    target: TableVersion


Draft = ChangesDraft | TableDraft | RollbackDraft


def draft_edits(
    draft: ChangesDraft | TableDraft, base: TableContents
) -> Result[tuple[AnyEdit, ...], Findings]:
    """Validate a draft and return its edits relative to its base."""
    if isinstance(draft, TableDraft):
        target = read_table_draft(draft, base)
        return target.map(lambda contents: difference(base, contents))
    return _edits_of_changes(draft, base)


def read_table_draft(
    draft: TableDraft, base: TableContents = EMPTY_CONTENTS
) -> Result[TableContents, Findings]:
    """Validate the raw rows and the keys of a complete table."""
    rows: list[ServiceRow] = []
    findings: list[Finding] = []
    for index, raw in enumerate(draft.rows):
        match read_row(raw, _place_of(raw, index)):
            case Ok(row):
                rows.append(row)
            case Err(found):
                findings.extend(found)
    findings.extend(check_table(rows, draft.keys or ()))
    if findings:
        return Err(tuple(findings))
    if draft.keys is None:
        without_keys = TableContents.of(rows, ())
        return Ok(TableContents(without_keys.rows, base.keys, base.drained_zones))
    return Ok(TableContents.of(rows, draft.keys, base.drained_zones))


def _place_of(raw: Mapping[str, object], index: int) -> str:
    service = raw.get(KEY_CELL)
    return row_place(service) if isinstance(service, str) else f"rows[{index}]"


def _edits_of_changes(
    draft: ChangesDraft, base: TableContents
) -> Result[tuple[AnyEdit, ...], Findings]:
    edits: list[AnyEdit] = []
    findings: list[Finding] = []
    places: set[str] = set()
    for change in draft.changes:
        place, result = _edit_of(change, base)
        if place in places:
            findings.append(Finding(place, "is changed more than once"))
        places.add(place)
        match result:
            case Ok(edit):
                edits.append(edit)
            case Err(found):
                findings.extend(found)
    return Err(tuple(findings)) if findings else Ok(tuple(edits))


def _edit_of(
    change: AnyChange, base: TableContents
) -> tuple[str, Result[AnyEdit, Findings]]:
    match change:
        case ChangeCell():
            place = cell_place(change.service, change.cell)
            return place, _edit_of_cell(change, place, base)
        case InsertRow():
            place = _place_of(change.row, 0)
            return place, _edit_of_new_row(change, place, base)
        case DeleteRow():
            place = row_place(change.service)
            row = base.rows.get(change.service)
            if row is None:
                return place, Err((Finding(place, "there is no such row"),))
            return place, Ok(SetRow(change.service, row, None))
        case ChangeKey():
            place = key_place(change.key_sha256)
            return place, _edit_of_key(change, base)
        case ChangeZoneDrain():
            place = zone_place(change.zone)
            before = change.zone in base.drained_zones
            return place, Ok(SetZoneDrain(change.zone, before, change.drained))


def _edit_of_cell(
    change: ChangeCell, place: str, base: TableContents
) -> Result[AnyEdit, Findings]:
    row = base.rows.get(change.service)
    if row is None:
        return Err((Finding(row_place(change.service), "there is no such row"),))
    if change.cell == KEY_CELL:
        return Err((Finding(place, "names the row and cannot be edited"),))
    value = read_cell(change.cell, change.value, place)
    if isinstance(value, Err):
        return Err((value.err_value,))
    before = getattr(row, change.cell)
    return Ok(SetCell(change.service, change.cell, before, value.ok_value))


def _edit_of_new_row(
    change: InsertRow, place: str, base: TableContents
) -> Result[AnyEdit, Findings]:
    read = read_row(change.row, place)
    if isinstance(read, Err):
        return Err(read.err_value)
    row = read.ok_value
    if row.service in base.rows:
        return Err((Finding(place, "already exists"),))
    return Ok(SetRow(row.service, None, row))


def _edit_of_key(change: ChangeKey, base: TableContents) -> Result[AnyEdit, Findings]:
    if change.tenant is not None:
        findings = check_key(TenantKey(change.tenant, change.key_sha256))
        if findings:
            return Err(findings)
    before = base.keys.get(change.key_sha256)
    return Ok(SetKey(change.key_sha256, before, change.tenant))
