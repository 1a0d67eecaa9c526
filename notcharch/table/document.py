"""Table documents: the table as an editable TOML or CSV file.

TOML contains everything: `version`, the rows as `[[rows]]` and the callers' keys as
`[[keys]]`. CSV contains only the rows, one per line, below a header line with the cell
names and an optional line `# version = N`; publishing it leaves the keys unchanged.
A missing or empty cell has its default value.

`version` is the version that was exported: the base version of a publication.
"""

import csv
import enum
import io
import json
import re
import tomllib
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from notcharch.errors import Finding
from notcharch.table.draft import Findings, RawRow, TableDraft
from notcharch.table.interface import ServiceRow, Table, TenantKey
from notcharch.table.schema import CELL_NAMES, KEY_CELL, read_cell, row_place
from notcharch.values.identifiers import TableVersion

VERSION_KEY = "version"
TOP_LEVEL_KEYS = (VERSION_KEY, "rows", "keys")
_CSV_VERSION = re.compile(r"#\s*version\s*=\s*(\d+)\s*")


class DocumentFormat(enum.Enum):
    """File formats, by file name suffix."""

    TOML = ".toml"
    CSV = ".csv"


class TableDocument(msgspec.Struct, frozen=True):
    """A parsed document; `base_version` is None if the document has no version."""

    base_version: TableVersion | None
    draft: TableDraft


def read_document(
    text: str, document_format: DocumentFormat
) -> Result[TableDocument, Findings]:
    """Parse a document and convert its cells; publication validates their values."""
    if document_format is DocumentFormat.CSV:
        return _read_csv(text)
    return _read_toml(text)


def write_document(table: Table, document_format: DocumentFormat) -> str:
    """Serialize a table as an editable document."""
    if document_format is DocumentFormat.CSV:
        return _write_csv(table)
    return _write_toml(table)


def _read_toml(text: str) -> Result[TableDocument, Findings]:
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err((Finding("document", f"not valid TOML: {error}"),))
    findings = [
        Finding(name, "unknown key")
        for name in sorted(set(document) - set(TOP_LEVEL_KEYS))
    ]
    version = document.get(VERSION_KEY)
    if version is not None and (type(version) is not int or version < 0):
        findings.append(Finding(VERSION_KEY, "must be a non-negative integer"))
    rows = _array_of_tables(document, "rows", findings)
    keys = _read_keys(_array_of_tables(document, "keys", findings), findings)
    if findings:
        return Err(tuple(findings))
    base = None if version is None else TableVersion(version)
    return Ok(TableDocument(base, TableDraft(tuple(rows), tuple(keys))))


def _array_of_tables(
    document: Mapping[str, Any], name: str, findings: list[Finding]
) -> list[RawRow]:
    tables = document.get(name, [])
    if isinstance(tables, list) and all(isinstance(item, dict) for item in tables):
        return tables
    findings.append(Finding(name, f"must be an array of tables, [[{name}]]"))
    return []


def _read_keys(raw_keys: list[RawRow], findings: list[Finding]) -> list[TenantKey]:
    keys: list[TenantKey] = []
    for index, raw in enumerate(raw_keys):
        place = f"keys[{index}]"
        findings.extend(
            Finding(f"{place}.{name}", "unknown key")
            for name in sorted(set(raw) - {"tenant", "key_sha256"})
        )
        try:
            keys.append(msgspec.convert(raw, TenantKey))
        except msgspec.ValidationError as error:
            findings.append(Finding(place, str(error)))
    return keys


def _read_csv(text: str) -> Result[TableDocument, Findings]:
    lines = text.removeprefix("\ufeff").splitlines()
    version: TableVersion | None = None
    while lines and (lines[0].startswith("#") or not lines[0].strip()):
        match = _CSV_VERSION.fullmatch(lines.pop(0))
        if match:
            version = TableVersion(int(match[1]))
    reader = csv.reader(io.StringIO("\n".join(lines)))
    try:
        table = [cells for cells in reader if cells]
    except csv.Error as error:
        return Err((Finding("document", f"not valid CSV: {error}"),))
    if not table:
        return Err((Finding("document", "has no header line"),))
    names = [name.strip() for name in table[0]]
    findings = _header_findings(names)
    if findings:
        return Err(tuple(findings))
    rows = [
        _read_line(names, cells, f"rows[{index}]", findings)
        for index, cells in enumerate(table[1:])
    ]
    if findings:
        return Err(tuple(findings))
    return Ok(TableDocument(version, TableDraft(tuple(rows), None)))


def _header_findings(names: list[str]) -> list[Finding]:
    findings = [
        Finding(f"header.{name}", "unknown cell")
        for name in names
        if name not in CELL_NAMES
    ]
    findings.extend(
        Finding(f"header.{name}", "is duplicated")
        for name in sorted({name for name in names if names.count(name) > 1})
    )
    if KEY_CELL not in names:
        findings.append(Finding(f"header.{KEY_CELL}", "is missing"))
    return findings


def _read_line(
    names: list[str], cells: list[str], place: str, findings: list[Finding]
) -> RawRow:
    if len(cells) > len(names):
        findings.append(Finding(place, "has more cells than the header"))
    texts = {
        name: cell.strip() for name, cell in zip(names, cells, strict=False) if cell
    }
    if texts.get(KEY_CELL):
        place = row_place(texts[KEY_CELL])
    row: RawRow = {}
    for name, text in texts.items():
        match read_cell(name, text, f"{place}.{name}", from_text=True):
            case Ok(value):
                row[name] = value
            case Err(finding):
                findings.append(finding)
    return row


def _write_toml(table: Table) -> str:
    lines = [f"{VERSION_KEY} = {table.version}"]
    for row in table.rows:
        lines += ["", "[[rows]]", *_toml_pairs(row)]
    for key in table.keys:
        lines += ["", "[[keys]]", *_toml_pairs(key)]
    return "\n".join([*lines, ""])


def _toml_pairs(record: ServiceRow | TenantKey) -> Iterable[str]:
    for name, value in msgspec.structs.asdict(record).items():
        # JSON strings, numbers and booleans are valid TOML.
        yield f"{name} = {json.dumps(value, ensure_ascii=False)}"


def _write_csv(table: Table) -> str:
    text = io.StringIO()
    text.write(f"# {VERSION_KEY} = {table.version}\n")
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(CELL_NAMES)
    for row in table.rows:
        writer.writerow(cell_text(getattr(row, name)) for name in CELL_NAMES)
    return text.getvalue()


def cell_text(value: object) -> str:
    """Return a cell's value as text for a CSV document."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)
