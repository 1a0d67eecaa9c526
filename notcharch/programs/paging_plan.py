"""Decides which histories to page out. Pure.

Only histories of the led partitions count. Above the limit, programs are paged out in
order of their last activity, down to a low watermark, so that the next turns do not
exceed the limit again at once.
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
"""Uncompressed size of a page; reads of a history fetch whole pages."""

MIN_PAGE_BYTES = 1024
"""Smaller pages save little: the reference and stubs take up to half of this."""

MAX_BATCH_BYTES = 256 * 1024
"""Size of the pages of one `PageOut` command, which every replica verifies."""

LOW_WATERMARK_FRACTION = 7 / 8
"""Fraction of the limit to which the histories are reduced."""


class PageOutPlan(msgspec.Struct, frozen=True):
    """Programs to page out, by partition, and the memory that histories use now."""

    used_bytes: int
    programs: dict[PartitionNumber, list[ProgramRecord]]


class DraftedPage(msgspec.Struct, frozen=True):
    """A page to be written."""

    program: ProgramId
    draft: PageDraft
    digest: bytes

    @classmethod
    def of(cls, record: ProgramRecord) -> "DraftedPage":
        """Draft a page of a program's oldest turns."""
        draft = record.history.draft_page(PAGE_BYTES)
        return cls(record.program, draft, page_digest(draft.plain))

    def log_record(self) -> LogRecord:
        """Return the log record of the page."""
        draft = self.draft
        name = page_record_id(self.program, draft.first_turn, self.digest)
        data = encode_page(
            self.program, draft.first_turn, draft.turn_count, draft.plain
        )
        return LogRecord(name, data)

    def written_at(self, offset: LogOffset) -> WrittenPage:
        """Return the page as written at `offset`."""
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
    """Select idle programs to page out; none while the histories are in the limit."""
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
