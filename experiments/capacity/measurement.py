"""Measurements as committed files: the command, its tables, and their fits."""

import re
from pathlib import Path

import attrs
import msgspec

DIRECTORY = Path(__file__).parent.parent / "measurements"
_FIGURE = re.compile(r"^(?P<label>[^|]+?): +(?P<value>-?[0-9.]+) (?P<unit>[^ ]+)$")


class TextTable(msgspec.Struct, frozen=True):
    """A printed table; cells are numbers where they read as numbers."""

    columns: tuple[str, ...]
    rows: tuple[tuple[float | str, ...], ...]


class Measurement(msgspec.Struct, frozen=True):
    """What a command printed: tables, and figures of the form `label: value unit`."""

    name: str
    command: str
    cores: int
    python: str
    load_before: float
    load_after: float
    tables: tuple[TextTable, ...]
    figures: dict[str, float]

    def points(
        self, x: str, y: str, where: dict[str, str] | None = None
    ) -> list[tuple[float, float]]:
        """Give the pairs of two columns, in rows whose cells read as `where` says.

        The table is the first one that has all these columns; raises LookupError.
        """
        wanted = {x, y, *(where or {})}
        for table in self.tables:
            if wanted <= set(table.columns):
                return _points(table, x, y, where or {})
        raise LookupError(f"{self.name} has no table with {sorted(wanted)}")

    def figure(self, label: str) -> float:
        """Give a figure; raises LookupError."""
        return self.figures[label]


@attrs.frozen
class Fit:
    """The line of least squares through some points."""

    slope: float
    intercept: float
    r_squared: float
    points: int

    def at(self, x: float) -> float:
        """Carry the line to a place."""
        return self.intercept + self.slope * x


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fit a line; raises ValueError when the points do not determine one."""
    count = len(points)
    if len({x for x, _ in points}) < 2:
        raise ValueError("a line needs two different places")
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    square_x = sum((x - mean_x) ** 2 for x, _ in points)
    square_y = sum((y - mean_y) ** 2 for _, y in points)
    product = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = product / square_x
    r_squared = 1.0 if square_y == 0 else product**2 / (square_x * square_y)
    return Fit(slope, mean_y - slope * mean_x, r_squared, count)


def read_output(text: str) -> tuple[tuple[TextTable, ...], dict[str, float]]:
    """Read the Markdown tables and the figures out of a command's output."""
    tables: list[TextTable] = []
    lines: list[list[str]] = []
    figures: dict[str, float] = {}
    for line in [*text.splitlines(), ""]:
        if line.startswith("|"):
            lines.append([cell.strip() for cell in line.strip().strip("|").split("|")])
            continue
        if lines:
            tables.append(_table(lines))
            lines = []
        found = _FIGURE.match(line.strip())
        if found:
            figures[found["label"]] = float(found["value"])
    return tuple(tables), figures


def load(name: str, directory: Path = DIRECTORY) -> Measurement:
    """Read a committed measurement."""
    encoded = (directory / f"{name}.json").read_bytes()
    return msgspec.json.decode(encoded, type=Measurement)


def save(measurement: Measurement, directory: Path = DIRECTORY) -> None:
    """Write a measurement to its file."""
    encoded = msgspec.json.format(msgspec.json.encode(measurement), indent=1)
    (directory / f"{measurement.name}.json").write_bytes(encoded + b"\n")


def _table(lines: list[list[str]]) -> TextTable:
    columns, _, *rows = lines
    return TextTable(tuple(columns), tuple(tuple(map(_cell, row)) for row in rows))


def _cell(text: str) -> float | str:
    try:
        return float(text)
    except ValueError:
        return text


def _points(
    table: TextTable, x: str, y: str, where: dict[str, str]
) -> list[tuple[float, float]]:
    found = []
    for row in table.rows:
        cells = dict(zip(table.columns, row, strict=True))
        if any(str(cells[name]) != value for name, value in where.items()):
            continue
        place, value = cells[x], cells[y]
        if isinstance(place, float) and isinstance(value, float):
            found.append((place, value))
    return found
