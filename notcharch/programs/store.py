"""The program records of one partition, with derived indexes."""

import sys
from collections.abc import Iterator

import msgspec

from notcharch.programs.budget import TreeBudget
from notcharch.programs.commands import ReleaseDuty
from notcharch.programs.record import ProgramRecord
from notcharch.values.identifiers import (
    EngineName,
    ProgramId,
    ServiceName,
    TenantName,
)

SNAPSHOT_FORMAT = 1
PAGED_SNAPSHOT_FORMAT = 2
"""Used if any history has pages, so daemons without paging refuse the snapshot."""

SUPPORTED_FORMATS = (SNAPSHOT_FORMAT, PAGED_SNAPSHOT_FORMAT)


class StoreSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state in sorted order, so that equal states give equal bytes."""

    format: int
    records: list[ProgramRecord]
    duties: list[ReleaseDuty]
    next_duty: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StoreSnapshot)


class ProgramStore:
    """Records by id, release duties, and the programs with a running attempt."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: dict[ProgramId, ProgramRecord] = {}
        self.duties: dict[ProgramId, dict[EngineName, int]] = {}
        self.next_duty = 1
        self.running: set[ProgramId] = set()

    def visible(self, program: ProgramId, tenant: TenantName) -> ProgramRecord | None:
        """Return a program's record if it belongs to the tenant."""
        record = self.records.get(program)
        if record is None or record.tenant != tenant:
            return None
        return record

    def add(self, record: ProgramRecord) -> None:
        """Add a new record."""
        _intern_names(record)
        self.records[record.program] = record

    def budget_of(self, record: ProgramRecord) -> TreeBudget:
        """Return the budget of the program's tree; its root is removed last."""
        budget = self.records[record.root].budget
        if budget is None:
            message = f"{record.root} is not the root of {record.program}"
            raise LookupError(message)
        return budget

    def add_duty(self, program: ProgramId, engine: EngineName) -> None:
        """Add a new duty to release the program's memory on an engine."""
        self.duties.setdefault(program, {})[engine] = self.next_duty
        self.next_duty += 1

    def drop_duty(self, program: ProgramId, engine: EngineName) -> None:
        """Drop the duty for a program and engine, if there is one."""
        engines = self.duties.get(program)
        if engines is None:
            return
        engines.pop(engine, None)
        if not engines:
            del self.duties[program]

    def confirm_duty(self, duty: ReleaseDuty) -> None:
        """Drop this duty, but not a newer one for the same engine."""
        if self.duties.get(duty.program, {}).get(duty.engine) == duty.number:
            self.drop_duty(duty.program, duty.engine)

    def all_duties(self) -> Iterator[ReleaseDuty]:
        """Yield all duties."""
        for program, engines in self.duties.items():
            for engine, number in engines.items():
                yield ReleaseDuty(program, engine, number)

    def update_running(self, record: ProgramRecord) -> None:
        """Update the index of running attempts from a record."""
        if record.running_call is None:
            self.running.discard(record.program)
        else:
            self.running.add(record.program)

    def snapshot(self) -> bytes:
        """Encode records and duties in sorted order."""
        records = [self.records[program] for program in sorted(self.records)]
        duties = sorted(self.all_duties())
        has_pages = any(r.history.pages for r in records)
        content = StoreSnapshot(
            PAGED_SNAPSHOT_FORMAT if has_pages else SNAPSHOT_FORMAT,
            records,
            duties,
            self.next_duty,
        )
        return _encoder.encode(content)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with the content of a snapshot."""
        content = _decoder.decode(snapshot)
        if content.format not in SUPPORTED_FORMATS:
            message = f"unknown snapshot format {content.format}"
            raise ValueError(message)
        self.records = {}
        for record in content.records:
            self.add(record)
        self.duties = {}
        for duty in content.duties:
            self.duties.setdefault(duty.program, {})[duty.engine] = duty.number
        self.next_duty = content.next_duty
        self.running = {
            record.program for record in content.records if record.running_call
        }


def _intern_names(record: ProgramRecord) -> None:
    # Thousands of records name the same few services, tenants and engines.
    record.service = ServiceName(sys.intern(record.service))
    record.tenant = TenantName(sys.intern(record.tenant))
    record.engines = tuple(EngineName(sys.intern(name)) for name in record.engines)
