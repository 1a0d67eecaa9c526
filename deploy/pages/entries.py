"""What tables and pages read of the journal's entries."""

import re
from collections.abc import Iterator
from pathlib import Path

import msgspec

JOURNAL = Path("journal")
SWEEP_HEADING = "middle / busiest or longest, by own machines"
COLUMN_GAP = re.compile(r"\s{2,}")
ID_LETTERS = 8


class Price(msgspec.Struct, frozen=True, array_like=True):
    """One price of a day: its name, how much was used, and what it cost in worth."""

    name: str
    amount: float
    worth: float | None = None
    """None if the day did not start."""


class Day(msgspec.Struct, frozen=True):
    """One played day, by the names of the journal."""

    name: str
    worth: float = msgspec.field(name="G")
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    score: float | None = None
    rules: dict[str, object] = {}
    gate: bool = True
    """Whether the day passed: no rule broken, no floor missed."""
    machines: int = msgspec.field(name="balancers", default=0)
    engines: int = msgspec.field(name="servers", default=0)
    kilobytes: float | None = msgspec.field(name="kb_an_instance", default=None)
    """The largest memory of a daemon."""
    prices: list[Price] = []

    def amount(self, price: str) -> float:
        """Give how much of a priced thing the day used."""
        return next((each.amount for each in self.prices if each.name == price), 0.0)


class Entry(msgspec.Struct, frozen=True):
    """One run of the bench."""

    id: str
    cmd: str
    head: str = ""
    at: list[str] = []
    site: str | None = None
    score: float | None = None
    days: list[Day] = []
    digest: str = ""
    """The report as the bench printed it."""
    why: str | None = None
    """The line that whoever played it gave."""

    @property
    def label(self) -> str:
        """Give the name by which a page refers to the entry."""
        return f"{self.id} ({self.head[:ID_LETTERS]})"


def read_entry(path: Path) -> Entry:
    """Read the entry of a file."""
    return msgspec.json.decode(path.read_bytes(), type=Entry)


def read_entries(command: str, journal: Path = JOURNAL) -> Iterator[Entry]:
    """Give the finished entries of one command of the bench, the oldest first."""
    for path in sorted(journal.glob("*.json")):
        raw = path.read_bytes()
        if f'"cmd":"{command}"'.encode() not in raw.replace(b'": "', b'":"'):
            continue
        entry = msgspec.json.decode(raw, type=Entry)
        if entry.days and entry.site:
            yield entry


class SweepRow(msgspec.Struct, frozen=True):
    """One line of a sweep: what was measured, and each column as the bench printed it."""

    name: str
    cells: list[str]


class Sweep(msgspec.Struct, frozen=True):
    """The table of a sweep."""

    heading: list[str]
    rows: list[SweepRow]


def read_sweep(entry: Entry) -> Sweep | None:
    """Read the table of slopes, if the sweep came so far."""
    _, found, table = entry.digest.partition(SWEEP_HEADING + "\n")
    if not found:
        return None
    lines = table.split("\n")
    heading = COLUMN_GAP.split(lines[0].strip())
    rows = [COLUMN_GAP.split(line.strip()) for line in lines[1:]]
    return Sweep(
        heading, [SweepRow(row[0], row[1:]) for row in rows if len(row) > len(heading)]
    )
