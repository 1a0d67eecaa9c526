"""Validation of the table's cells and rows; every finding names its row and cell.

Validation is part of the replay (`notcharch.table.replay`), whose result must be the
same in every replica, so a change of a rule needs a new record format.
"""

import math
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
import msgspec
from result import Err, Ok, Result

from notcharch.errors import Finding
from notcharch.table.interface import ServiceRow, TenantKey

CellValue = bool | int | float | str
"""Types of cell values."""

KEY_CELL = "service"
"""The cell that identifies a row; it cannot be edited."""

MAX_ROWS = 50_000
MAX_KEYS = 50_000
MAX_TOKENS = 10**12
MAX_DURATION_SECONDS = 10 * 365 * 86_400.0
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
POOL_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")

_CELL_TYPES: Mapping[str, Any] = {
    field.name: field.type for field in msgspec.structs.fields(ServiceRow)
}
CELL_NAMES: tuple[str, ...] = tuple(_CELL_TYPES)
"""The columns of the table, starting with the row key."""

_REQUIRED_CELLS = tuple(
    field.name for field in msgspec.structs.fields(ServiceRow) if field.required
)


@attrs.frozen
class CellRule:
    """A validity condition for a cell, with the message for an invalid value."""

    cell: str
    is_valid: Callable[[Any], bool]
    message: str


def _is_name(value: str) -> bool:
    return NAME_PATTERN.fullmatch(value) is not None


def _is_between(minimum: float, maximum: float) -> Callable[[float], bool]:
    return lambda value: math.isfinite(value) and minimum <= value <= maximum


def _is_pool(value: str) -> bool:
    return POOL_PATTERN.fullmatch(value) is not None


_NAME_MESSAGE = "must be 1 to 128 letters, digits, . _ - (a letter or digit first)"
_POOL_MESSAGE = "must be 1 to 128 letters, digits, . _ - / : (a letter or digit first)"
_CELL_RULES = (
    CellRule("service", _is_name, _NAME_MESSAGE),
    CellRule("tenant", _is_name, _NAME_MESSAGE),
    CellRule("pool", _is_pool, _POOL_MESSAGE),
    CellRule("share", lambda value: value > 0, "must be above 0"),
    CellRule("share", lambda value: not value > 1e9, "must be at most 1000000000"),
    CellRule("priority", _is_between(0, 9), "must be from 0 to 9"),
    CellRule("budget_tokens", _is_between(1, MAX_TOKENS), "must be from 1 to 10^12"),
    CellRule("concurrency", _is_between(1, 10**6), "must be from 1 to 1000000"),
    CellRule("calls_per_program", _is_between(1, 10**9), "must be from 1 to 10^9"),
    CellRule("max_answer_tokens", _is_between(1, 10**9), "must be from 1 to 10^9"),
    CellRule("idle_seconds", lambda value: value > 0, "must be above 0"),
    CellRule(
        "idle_seconds", lambda value: not value > MAX_DURATION_SECONDS, "is too long"
    ),
    CellRule("max_age_seconds", lambda value: value > 0, "must be above 0"),
    CellRule(
        "max_age_seconds", lambda value: not value > MAX_DURATION_SECONDS, "is too long"
    ),
    CellRule(
        "max_wait_seconds",
        _is_between(0, MAX_DURATION_SECONDS),
        "must be 0 or more seconds",
    ),
)


def row_place(service: str) -> str:
    """Return the place of a row, as named in findings."""
    return f"rows[{service}]"


def cell_place(service: str, cell: str) -> str:
    """Return the place of a cell, as named in findings."""
    return f"rows[{service}].{cell}"


def zone_place(zone: str) -> str:
    """Return the place of a zone, as named in findings."""
    return f"zones[{zone}]"


def check_zone(zone: str) -> tuple[Finding, ...]:
    """Validate the name of a zone."""
    return () if _is_name(zone) else (Finding(zone_place(zone), _NAME_MESSAGE),)


def key_place(digest: str) -> str:
    """Return the place of a tenant's key, as named in findings."""
    return f"keys[{digest[:12]}]"


def read_cell(
    cell: str, value: object, place: str, *, from_text: bool = False
) -> Result[CellValue, Finding]:
    """Convert a raw value to the cell's type, without a check of its range.

    With `from_text`, numbers and booleans are parsed from text.
    """
    if cell not in _CELL_TYPES:
        return Err(Finding(place, "unknown cell"))
    try:
        converted: CellValue = msgspec.convert(
            value, _CELL_TYPES[cell], strict=not from_text
        )
    except msgspec.ValidationError as error:
        return Err(Finding(place, _lower_first(str(error))))
    return Ok(converted)


def read_row(
    raw: Mapping[str, object], place: str
) -> Result[ServiceRow, tuple[Finding, ...]]:
    """Build and validate a row from raw cells; missing cells have their default."""
    findings = [
        Finding(f"{place}.{cell}", "is missing")
        for cell in _REQUIRED_CELLS
        if cell not in raw
    ]
    cells: dict[str, Any] = {}
    for cell, value in raw.items():
        match read_cell(cell, value, f"{place}.{cell}"):
            case Ok(converted):
                cells[cell] = converted
            case Err(finding):
                findings.append(finding)
    findings.extend(_cell_findings(cells, place))
    if findings:
        return Err(tuple(findings))
    row = ServiceRow(**cells)
    findings.extend(_row_findings(row, place))
    return Err(tuple(findings)) if findings else Ok(row)


def check_row(row: ServiceRow) -> tuple[Finding, ...]:
    """Validate a row and return all findings."""
    place = row_place(row.service)
    cells = msgspec.structs.asdict(row)
    return (*_cell_findings(cells, place), *_row_findings(row, place))


def check_key(key: TenantKey) -> tuple[Finding, ...]:
    """Validate a tenant's key and return all findings."""
    place = key_place(key.key_sha256)
    findings: list[Finding] = []
    if not DIGEST_PATTERN.fullmatch(key.key_sha256):
        findings.append(
            Finding(f"{place}.key_sha256", "must be 64 lower-case hex digits")
        )
    if not _is_name(key.tenant):
        findings.append(Finding(f"{place}.tenant", _NAME_MESSAGE))
    return tuple(findings)


def check_table(
    rows: Iterable[ServiceRow], keys: Iterable[TenantKey]
) -> tuple[Finding, ...]:
    """Validate a table, including duplicate rows and keys; return all findings."""
    findings: list[Finding] = []
    services: set[str] = set()
    for row in rows:
        findings.extend(check_row(row))
        if row.service in services:
            findings.append(Finding(row_place(row.service), "is given twice"))
        services.add(row.service)
    digests: set[str] = set()
    for key in keys:
        findings.extend(check_key(key))
        if key.key_sha256 in digests:
            findings.append(Finding(key_place(key.key_sha256), "is given twice"))
        digests.add(key.key_sha256)
    findings.extend(check_size(len(services), len(digests)))
    return tuple(findings)


def check_size(row_count: int, key_count: int) -> tuple[Finding, ...]:
    """Check the limits on the number of rows and keys."""
    findings: list[Finding] = []
    if row_count > MAX_ROWS:
        findings.append(Finding("rows", f"must be at most {MAX_ROWS} rows"))
    if key_count > MAX_KEYS:
        findings.append(Finding("keys", f"must be at most {MAX_KEYS} keys"))
    return tuple(findings)


def _cell_findings(cells: Mapping[str, Any], place: str) -> list[Finding]:
    return [
        Finding(f"{place}.{rule.cell}", rule.message)
        for rule in _CELL_RULES
        if rule.cell in cells and not rule.is_valid(cells[rule.cell])
    ]


def _row_findings(row: ServiceRow, place: str) -> list[Finding]:
    if row.max_answer_tokens > row.budget_tokens:
        return [Finding(f"{place}.max_answer_tokens", "must not exceed budget_tokens")]
    return []


def _lower_first(text: str) -> str:
    return text[:1].lower() + text[1:]
