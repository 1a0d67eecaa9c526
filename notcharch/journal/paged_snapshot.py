"""A snapshot of a keyed topic that is read page by page. Pure.

Changes are applied between pages. A page may be older or newer than a change, so the
highest offset of each key wins. Keys of the previous snapshot stay until the new one
is complete.
"""

from collections.abc import Iterable, Mapping

from notcharch.journal.interface import KeyedRecord, NewestPage


class PagedSnapshot:
    """The known keys and values of a topic; complete after the last page."""

    def __init__(self, previous: Mapping[str, bytes]) -> None:
        """Start from the values of the previous snapshot."""
        self.values = dict(previous)
        self.after = ""
        """The next page starts after this key."""
        self.is_complete = False
        self._offsets: dict[str, int] = {}
        """The highest offset seen for each key since the first page."""

    def add_page(self, page: NewestPage) -> None:
        """Add the next page; the last one removes keys that no longer exist."""
        for item in page.items:
            self._apply(item)
        for key in page.unreadable_keys:
            self._offsets.setdefault(key, -1)  # its last value stays
        keys = [*page.unreadable_keys, *(item.key for item in page.items)]
        if page.has_more and keys:
            self.after = max(keys)
            return
        self.is_complete = True
        self.values = {
            key: value for key, value in self.values.items() if key in self._offsets
        }
        self._offsets = {}

    def apply_changes(self, records: Iterable[KeyedRecord]) -> None:
        """Apply changes; a record with an empty value removes its key."""
        for record in records:
            self._apply(record)

    def _apply(self, record: KeyedRecord) -> None:
        if not self.is_complete:
            if record.offset < self._offsets.get(record.key, -1):
                return
            self._offsets[record.key] = record.offset
        if record.value:
            self.values[record.key] = record.value
        else:
            self.values.pop(record.key, None)
