"""Prints records as aligned columns, or as JSON."""

import sys
from collections.abc import Iterable, Sequence

import msgspec

COLUMN_GAP = "  "
EMPTY_CELL = "-"


def print_columns(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a header and rows, with columns aligned to their widest cell."""
    table = [list(header), *([_text(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        sys.stdout.write(COLUMN_GAP.join(cells).rstrip() + "\n")


def print_json(response: msgspec.Struct) -> None:
    """Print a response as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(response), indent=2)
    sys.stdout.write(text.decode() + "\n")


def _text(cell: object) -> str:
    if cell is None or cell == "":
        return EMPTY_CELL
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:.2f}".rstrip("0").rstrip(".")
    return str(cell)
