"""The keys of a keyed topic while they are read page by page. Pure.

Changes are followed meanwhile. A page that was read late may be older or newer than a
change, so the newest offset of each key decides. Keys that were known before stay until
the picture is whole.
"""

from collections.abc import Iterable, Mapping

from notcharch.journal.interface import KeyedRecord, NewestPage


class GrowingPicture:
    """What is known of a topic's keys; whole after its last page."""

    def __init__(self, former: Mapping[str, bytes]) -> None:
        """Begin with what was known before."""
        self.values = dict(former)
        self.after = ""
        """The next page begins behind this key."""
        self.is_whole = False
        self._offsets: dict[str, int] = {}
        """The newest offset seen of each key since the beginning."""

    def take_page(self, page: NewestPage) -> None:
        """Take the next page; with the last one, forget keys that are no more."""
        for item in page.items:
            self._note(item)
        if page.has_more and page.items:
            self.after = page.items[-1].key
            return
        self.is_whole = True
        self.values = {
            key: value for key, value in self.values.items() if key in self._offsets
        }
        self._offsets = {}

    def take_changes(self, records: Iterable[KeyedRecord]) -> None:
        """Take changes; a record without a value drops its key."""
        for record in records:
            self._note(record)

    def _note(self, record: KeyedRecord) -> None:
        if not self.is_whole:
            if record.offset < self._offsets.get(record.key, -1):
                return
            self._offsets[record.key] = record.offset
        if record.value:
            self.values[record.key] = record.value
        else:
            self.values.pop(record.key, None)
