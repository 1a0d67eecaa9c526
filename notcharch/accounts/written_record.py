"""The result of writing a record of an account partition."""

import msgspec

from notcharch.journal.entries import Outcome


class WrittenRecord(msgspec.Struct, frozen=True):
    """The outcome of a write, and the offset of the record's first part."""

    outcome: Outcome
    offset: int = -1

    @property
    def is_durable(self) -> bool:
        """Whether the record is in the journal."""
        return self.outcome is Outcome.DURABLE
