"""Applies `PageOut`: turns leave the memory once the log service has them."""

from notcharch.partitions.interface import CommandResult
from notcharch.programs.commands import PageOut, PagesDropped
from notcharch.programs.store import ProgramStore


def page_out(store: ProgramStore, command: PageOut) -> CommandResult:
    """Drop the turns of every page that is just what a history holds first.

    Each replica compares the digest with its own turns, so that a page of other
    turns, or one that was dropped before, changes nothing.
    """
    count = 0
    for page in command.pages:
        record = store.records.get(page.program)
        if record is not None and record.history.page_out(
            page.first_turn, page.turn_count, page.offset, page.digest
        ):
            count += 1
    return PagesDropped(count)
