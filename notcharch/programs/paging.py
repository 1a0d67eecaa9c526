"""Applies `PageOut`: drops turns from memory once the log service stores them."""

from notcharch.partitions.interface import CommandResult
from notcharch.programs.commands import PageOut, PagesDropped
from notcharch.programs.store import ProgramStore


def page_out(store: ProgramStore, command: PageOut) -> CommandResult:
    """Drop the turns of each page that matches the oldest turns of its history.

    Each replica compares the digest with its turns, so a page that does not match
    or was dropped before changes nothing.
    """
    count = 0
    for page in command.pages:
        record = store.records.get(page.program)
        if record is not None and record.history.page_out(
            page.first_turn, page.turn_count, page.offset, page.digest
        ):
            count += 1
    return PagesDropped(count)
