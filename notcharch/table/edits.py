"""Edits: the differences between two tables, cell by cell.

An edit contains the old value (`before`) and the new value (`after`), so it can be
merged without the base table, displayed, and undone.
"""

from collections.abc import Iterable, Iterator, Mapping

import attrs
import msgspec

from notcharch.table.interface import ServiceRow, Table, TenantKey
from notcharch.table.schema import CELL_NAMES, KEY_CELL, CellValue
from notcharch.values.identifiers import (
    ServiceName,
    TableVersion,
    TenantName,
    ZoneName,
)


class Edit(msgspec.Struct, frozen=True, tag=True):
    """A change of a cell, a row, a key or a zone drain."""


class SetCell(Edit, frozen=True):
    """Change one cell of a row."""

    service: ServiceName
    cell: str
    before: CellValue
    after: CellValue


class SetRow(Edit, frozen=True):
    """Add a row (`before` is None) or remove one (`after` is None)."""

    service: ServiceName
    before: ServiceRow | None
    after: ServiceRow | None


class SetKey(Edit, frozen=True):
    """Add, change or remove the tenant of a caller's key."""

    key_sha256: str
    before: TenantName | None
    after: TenantName | None


class SetZoneDrain(Edit, frozen=True):
    """Drain a zone, or cancel its drain."""

    zone: ZoneName
    before: bool
    after: bool


AnyEdit = SetCell | SetRow | SetKey | SetZoneDrain


@attrs.frozen
class TableContents:
    """Rows by service, tenants by key digest, and drained zones, without a version."""

    rows: Mapping[ServiceName, ServiceRow]
    keys: Mapping[str, TenantName]
    drained_zones: frozenset[ZoneName] = frozenset()

    @classmethod
    def of(
        cls,
        rows: Iterable[ServiceRow],
        keys: Iterable[TenantKey],
        drained_zones: Iterable[ZoneName] = (),
    ) -> "TableContents":
        """Index rows and keys; services and key digests must be unique."""
        return cls(
            {row.service: row for row in rows},
            {key.key_sha256: key.tenant for key in keys},
            frozenset(drained_zones),
        )

    def table(self, version: TableVersion) -> Table:
        """Return the table with this version, its rows and keys sorted."""
        rows = tuple(self.rows[service] for service in sorted(self.rows))
        keys = tuple(
            TenantKey(self.keys[digest], digest) for digest in sorted(self.keys)
        )
        return Table(version, rows, keys, tuple(sorted(self.drained_zones)))


EMPTY_CONTENTS = TableContents({}, {})


def inverse(edit: AnyEdit) -> AnyEdit:
    """Return the edit that undoes an applied edit."""
    return msgspec.structs.replace(edit, before=edit.after, after=edit.before)


def weight(edit: AnyEdit) -> int:
    """Return the number of cells in an edit, to bound memory use."""
    return len(CELL_NAMES) if isinstance(edit, SetRow) else 1


def difference(base: TableContents, target: TableContents) -> tuple[AnyEdit, ...]:
    """Return the edits that turn `base` into `target`, in deterministic order."""
    return (
        *_row_differences(base, target),
        *_key_differences(base, target),
        *_drain_differences(base, target),
    )


def _row_differences(base: TableContents, target: TableContents) -> Iterator[AnyEdit]:
    for service in sorted(base.rows.keys() | target.rows.keys()):
        before = base.rows.get(service)
        after = target.rows.get(service)
        if before is None or after is None:
            yield SetRow(service, before, after)
        elif before != after:
            yield from cell_differences(before, after)


def cell_differences(before: ServiceRow, after: ServiceRow) -> Iterator[SetCell]:
    """Return the edits between two rows of the same service."""
    for cell in CELL_NAMES:
        old: CellValue = getattr(before, cell)
        new: CellValue = getattr(after, cell)
        if cell != KEY_CELL and old != new:
            yield SetCell(before.service, cell, old, new)


def _key_differences(base: TableContents, target: TableContents) -> Iterator[AnyEdit]:
    for digest in sorted(base.keys.keys() | target.keys.keys()):
        before = base.keys.get(digest)
        after = target.keys.get(digest)
        if before != after:
            yield SetKey(digest, before, after)


def _drain_differences(base: TableContents, target: TableContents) -> Iterator[AnyEdit]:
    for zone in sorted(base.drained_zones ^ target.drained_zones):
        is_drained = zone in target.drained_zones
        yield SetZoneDrain(zone, before=not is_drained, after=is_drained)
