"""Requests between the replicas of the table.

The table's own structures belong to a layer above, so they travel here as raw JSON:
`notcharch.table.replay.EncodedState` and `notcharch.table.replay.HistoryEntry`.
"""

import msgspec

from notcharch.values.identifiers import LogOffset
from notcharch.wire.messages.base import Message


class FetchTable(Message, frozen=True):
    """Ask a peer for what it applied from `have`, the asker's next log offset.

    -1 asks for everything. Reply: `TableEntries` when the peer remembers everything from there,
    `TableSnapshot` otherwise, or `Refusal`.
    """

    have: LogOffset


class TableEntries(Message, frozen=True):
    """The publications judged from the asked offset up to `next_offset`."""

    next_offset: LogOffset
    entries: tuple[msgspec.Raw, ...]


class TableSnapshot(Message, frozen=True):
    """The peer's whole replay state."""

    next_offset: LogOffset
    state: msgspec.Raw
