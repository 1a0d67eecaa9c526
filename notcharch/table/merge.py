"""Three-way merge: applies edits of a base version to a newer version.

An edit conflicts if the current value is neither the edit's `before` (the value in
the base) nor its `after`. Edits of different places never conflict.
"""

from collections.abc import Iterable

import attrs
import msgspec

from notcharch.errors import Finding
from notcharch.table.edits import (
    AnyEdit,
    SetCell,
    SetKey,
    SetRow,
    SetZoneDrain,
    TableContents,
    cell_differences,
)
from notcharch.table.interface import ServiceRow, TenantKey
from notcharch.table.schema import (
    CellValue,
    cell_place,
    check_key,
    check_row,
    check_size,
    check_zone,
    key_place,
    read_cell,
    row_place,
)
from notcharch.values.identifiers import ServiceName, TenantName

NO_ROW = "no row"
NO_KEY = "no key"


@attrs.frozen
class MergeOutcome:
    """The merged table, or the reasons for which the merge failed.

    `applied` contains the effective edits, in order; the other edits were already
    in force. If there are `conflicts` or `findings`, `contents` must not be used.
    """

    contents: TableContents
    applied: tuple[AnyEdit, ...]
    conflicts: tuple[Finding, ...]
    findings: tuple[Finding, ...]

    @property
    def is_clean(self) -> bool:
        """Whether the merge has neither conflicts nor findings."""
        return not self.conflicts and not self.findings


def merge(current: TableContents, edits: Iterable[AnyEdit]) -> MergeOutcome:
    """Apply edits to the current contents and validate the rows and keys they change."""
    merging = _Merging(current)
    for edit in edits:
        merging.apply(edit)
    return merging.outcome()


def conflict_finding(place: str, base: object, theirs: object, mine: object) -> Finding:
    """Describe a conflict by the base value, the value in force and the new value."""
    return Finding(place, f"base {base!r}, in force {theirs!r}, yours {mine!r}")


class _Merging:
    """Mutable state of one merge."""

    def __init__(self, current: TableContents) -> None:
        self._rows = dict(current.rows)
        self._keys = dict(current.keys)
        self._drained_zones = set(current.drained_zones)
        self._applied: list[AnyEdit] = []
        self._conflicts: list[Finding] = []
        self._findings: list[Finding] = []
        self._touched_rows: dict[ServiceName, None] = {}
        self._touched_keys: dict[str, None] = {}

    def apply(self, edit: AnyEdit) -> None:
        """Apply one edit, or record its conflict."""
        match edit:
            case SetCell():
                self._apply_cell(edit)
            case SetRow():
                self._apply_row(edit)
            case SetKey():
                self._apply_key(edit)
            case SetZoneDrain():
                self._apply_drain(edit)

    def outcome(self) -> MergeOutcome:
        """Validate the changed rows and keys, and return the result."""
        for service in self._touched_rows:
            if service in self._rows:
                self._findings.extend(check_row(self._rows[service]))
        for digest in self._touched_keys:
            if digest in self._keys:
                key = TenantKey(self._keys[digest], digest)
                self._findings.extend(check_key(key))
        self._findings.extend(check_size(len(self._rows), len(self._keys)))
        return MergeOutcome(
            TableContents(self._rows, self._keys, frozenset(self._drained_zones)),
            tuple(self._applied),
            tuple(self._conflicts),
            tuple(self._findings),
        )

    def _apply_cell(self, edit: SetCell) -> None:
        place = cell_place(edit.service, edit.cell)
        row = self._rows.get(edit.service)
        if row is None:
            self._conflict(place, edit.before, NO_ROW, edit.after)
            return
        typed = read_cell(edit.cell, edit.after, place)
        if typed.is_err() or edit.cell == "service":
            message = (
                "cannot be edited" if typed.is_ok() else typed.unwrap_err().message
            )
            self._findings.append(Finding(place, message))
            return
        value = typed.unwrap()
        current: CellValue = getattr(row, edit.cell)
        if current == value:
            return
        if current != edit.before:
            self._conflict(place, edit.before, current, value)
            return
        self._rows[edit.service] = msgspec.structs.replace(row, **{edit.cell: value})
        self._touched_rows[edit.service] = None
        self._applied.append(msgspec.structs.replace(edit, after=value))

    def _apply_row(self, edit: SetRow) -> None:
        current = self._rows.get(edit.service)
        if current == edit.after:
            return
        if current != edit.before:
            self._conflict_of_rows(edit, current)
            return
        if edit.after is None:
            del self._rows[edit.service]
        else:
            self._rows[edit.service] = edit.after
        self._touched_rows[edit.service] = None
        self._applied.append(edit)

    def _apply_key(self, edit: SetKey) -> None:
        current = self._keys.get(edit.key_sha256)
        if current == edit.after:
            return
        if current != edit.before:
            self._conflict(
                key_place(edit.key_sha256),
                _tenant_text(edit.before),
                _tenant_text(current),
                _tenant_text(edit.after),
            )
            return
        if edit.after is None:
            del self._keys[edit.key_sha256]
        else:
            self._keys[edit.key_sha256] = edit.after
        self._touched_keys[edit.key_sha256] = None
        self._applied.append(edit)

    def _apply_drain(self, edit: SetZoneDrain) -> None:
        """Drain a zone or cancel its drain; a state of two values cannot conflict."""
        if (edit.zone in self._drained_zones) == edit.after:
            return
        if edit.after:
            self._findings.extend(check_zone(edit.zone))
            self._drained_zones.add(edit.zone)
        else:
            self._drained_zones.discard(edit.zone)
        self._applied.append(edit)

    def _conflict_of_rows(self, edit: SetRow, current: ServiceRow | None) -> None:
        edited_row = edit.after or edit.before
        if current is None or edited_row is None:
            self._conflict(
                row_place(edit.service),
                _row_text(edit.before),
                _row_text(current),
                _row_text(edit.after),
            )
            return
        for difference in cell_differences(edited_row, current):
            self._conflict(
                cell_place(edit.service, difference.cell),
                difference.before if edit.before else NO_ROW,
                difference.after,
                difference.before if edit.after else NO_ROW,
            )

    def _conflict(self, place: str, base: object, theirs: object, mine: object) -> None:
        self._conflicts.append(conflict_finding(place, base, theirs, mine))


def _row_text(row: ServiceRow | None) -> str:
    return NO_ROW if row is None else "a row"


def _tenant_text(tenant: TenantName | None) -> str:
    return NO_KEY if tenant is None else tenant
