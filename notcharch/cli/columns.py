"""Prints records as aligned columns, or as JSON."""

import sys
from collections.abc import Iterable, Sequence

import msgspec

COLUMN_GAP = "  "
NOTHING = "-"


def print_columns(header: Sequence[str], lines: Iterable[Sequence[object]]) -> None:
    """Print a header and lines, each column as wide as its widest cell."""
    table = [list(header), *([_text(cell) for cell in line] for line in lines)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        sys.stdout.write(COLUMN_GAP.join(cells).rstrip() + "\n")


def print_json(answer: msgspec.Struct) -> None:
    """Print an answer as JSON that people can read."""
    text = msgspec.json.format(msgspec.json.encode(answer), indent=2)
    sys.stdout.write(text.decode() + "\n")


def _text(cell: object) -> str:
    if cell is None or cell == "":
        return NOTHING
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:.2f}".rstrip("0").rstrip(".")
    return str(cell)
