"""Decides which histories leave the memory. Pure.

Only the histories of the led partitions are counted, and only above the bound does
anything leave: the programs that were idle for longest first, down to a little
below the bound, so that the next turns do not pass it at once.
"""

from collections.abc import Iterable

import msgspec

from notcharch.clients.ports import LogRecord
from notcharch.programs.commands import WrittenPage
from notcharch.programs.history import PageDraft
from notcharch.programs.pages import encode_page, page_digest, page_record_id
from notcharch.programs.record import ProgramRecord
from notcharch.programs.state import ProgramsState
from notcharch.values.identifiers import LogOffset, PartitionNumber, ProgramId

PAGE_BYTES = 128 * 1024
"""The plain size of a page; reading a part of a history reads whole pages."""

MIN_PAGE_BYTES = 1024
"""Less is not worth a page: its reference and stubs take up to half of it."""

MAX_BATCH_BYTES = 256 * 1024
"""How much of one partition leaves by one command, which every replica checks."""

LOW_WATERMARK_FRACTION = 7 / 8
"""The part of the bound to which the histories are brought down."""


class PageOutPlan(msgspec.Struct, frozen=True):
    """What leaves next, by partition, and how many bytes the histories hold now."""

    used_bytes: int
    programs: dict[PartitionNumber, list[ProgramRecord]]


class DraftedPage(msgspec.Struct, frozen=True):
    """A page that is to be written."""

    program: ProgramId
    draft: PageDraft
    digest: bytes

    @classmethod
    def of(cls, record: ProgramRecord) -> "DraftedPage":
        """Draft the next page of a program."""
        draft = record.history.draft_page(PAGE_BYTES)
        return cls(record.program, draft, page_digest(draft.plain))

    def log_record(self) -> LogRecord:
        """Give the record that is appended for it."""
        draft = self.draft
        name = page_record_id(self.program, draft.first_turn, self.digest)
        data = encode_page(
            self.program, draft.first_turn, draft.turn_count, draft.plain
        )
        return LogRecord(name, data)

    def written_at(self, offset: LogOffset) -> WrittenPage:
        """Say where it lies, once the log service surely has it."""
        draft = self.draft
        return WrittenPage(
            self.program, draft.first_turn, draft.turn_count, offset, self.digest
        )


class _Candidate(msgspec.Struct, frozen=True):
    partition: PartitionNumber
    record: ProgramRecord
    page_bytes: int


def plan_page_out(
    states: Iterable[tuple[PartitionNumber, ProgramsState]], limit_bytes: int
) -> PageOutPlan:
    """Choose the idle programs whose oldest turns leave next; none below the bound."""
    used_bytes = 0
    candidates: list[_Candidate] = []
    for partition, state in states:
        for record in state.records():
            size = record.history.stored_bytes
            used_bytes += size
            if size >= MIN_PAGE_BYTES and record.running_call is None:
                page_bytes = min(size, PAGE_BYTES)
                candidates.append(_Candidate(partition, record, page_bytes))
    if used_bytes <= limit_bytes:
        return PageOutPlan(used_bytes, {})
    candidates.sort(key=lambda candidate: candidate.record.active_at)
    return PageOutPlan(
        used_bytes,
        _select(candidates, used_bytes - limit_bytes * LOW_WATERMARK_FRACTION),
    )


def _select(
    candidates: list[_Candidate], excess: float
) -> dict[PartitionNumber, list[ProgramRecord]]:
    selected: dict[PartitionNumber, list[ProgramRecord]] = {}
    sizes: dict[PartitionNumber, int] = {}
    for candidate in candidates:
        if excess <= 0:
            break
        size = sizes.get(candidate.partition, 0)
        if size < MAX_BATCH_BYTES:
            sizes[candidate.partition] = size + candidate.page_bytes
            selected.setdefault(candidate.partition, []).append(candidate.record)
            excess -= candidate.page_bytes
    return selected
