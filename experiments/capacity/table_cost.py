"""What a replica of the table costs: bytes by rows, microseconds by changes.

    python -m experiments.capacity.table_cost

Each size is published whole, then edited cell by cell until the history is full.
"""

import argparse
import gc
import time
import tracemalloc

import msgspec

from notcharch.clients.ports import StoredRecord
from notcharch.table.edits import SetCell
from notcharch.table.interface import ServiceRow, TenantKey
from notcharch.table.publication import (
    RECORD_FORMAT,
    AnyRecord,
    PublishedEdits,
    PublishedTable,
    encode_record,
)
from notcharch.table.replay import ReplayState, replay
from notcharch.values.identifiers import (
    PoolName,
    RecordId,
    ServiceName,
    TableVersion,
    TenantName,
)

ROWS = (40, 320, 1_000, 2_000)
EDITS = 2_000
CELL = "concurrency"


class Figures(msgspec.Struct, frozen=True):
    """Of a table of so many rows, with a key for each."""

    rows: int
    held_bytes: int
    held_with_history_bytes: int
    snapshot_bytes: int
    edit_microseconds: float
    edit_record_bytes: float


def measure(rows: int) -> Figures:
    """Publish and edit one table."""
    gc.collect()
    tracemalloc.start()
    state = _replayed(ReplayState(), _whole(rows))
    held = tracemalloc.get_traced_memory()[0]
    record_bytes = 0
    for number in range(EDITS):
        edit = _edit(state, number)
        record_bytes += len(encode_record(edit))
        state = _replayed(state, edit)
    gc.collect()
    with_history = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return Figures(
        rows,
        held,
        with_history,
        len(state.encode()),
        _edit_microseconds(state),
        record_bytes / EDITS,
    )


def _edit_microseconds(state: ReplayState) -> float:
    began = time.process_time()
    for number in range(EDITS):
        state = _replayed(state, _edit(state, number))
    return 1e6 * (time.process_time() - began) / EDITS


def _whole(rows: int) -> PublishedTable:
    return PublishedTable(
        format=RECORD_FORMAT,
        base_version=TableVersion(0),
        author="measurement",
        at=1e9,
        rows=tuple(
            ServiceRow(
                ServiceName(f"service-{n}"),
                TenantName(f"tenant-{n % 320}"),
                PoolName(f"model-{n % 8}"),
            )
            for n in range(rows)
        ),
        keys=tuple(
            TenantKey(TenantName(f"tenant-{n}"), f"{n:064x}") for n in range(rows)
        ),
    )


def _edit(state: ReplayState, number: int) -> PublishedEdits:
    services = list(state.contents.rows)
    row = state.contents.rows[services[number % len(services)]]
    change = SetCell(row.service, CELL, row.concurrency, row.concurrency + 1)
    return PublishedEdits(
        format=RECORD_FORMAT,
        base_version=state.version,
        author="measurement",
        at=1e9,
        edits=(change,),
    )


def _replayed(state: ReplayState, record: AnyRecord) -> ReplayState:
    offset = state.next_offset
    stored = StoredRecord(offset, RecordId(f"record-{offset}"), encode_record(record))
    after = replay(state, stored).state
    if after.version <= state.version:
        raise RuntimeError("a publication was refused")
    return after


def main() -> int:
    """Print the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(
        "| rows | held bytes | held with history bytes | snapshot bytes "
        "| edit µs | edit record bytes |\n|---|---|---|---|---|---|"
    )
    for rows in ROWS:
        one = measure(rows)
        print(
            f"| {one.rows} | {one.held_bytes} | {one.held_with_history_bytes} "
            f"| {one.snapshot_bytes} | {one.edit_microseconds:.1f} "
            f"| {one.edit_record_bytes:.0f} |"
        )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
