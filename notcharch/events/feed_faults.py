"""Logs and counts the parts of a feed that can't be read or handled.

A feed is what a process reads without end from others: changes of a topic, records of a
journal, assignments of a group, messages of peers. One bad part must cost that part alone.
"""

from collections import OrderedDict
from collections.abc import Callable

import xxhash
from prometheus_client import Counter
from twisted.python.failure import Failure

from notcharch.events.event import emit
from notcharch.events.process import PartSkipped

MAX_REMEMBERED_PARTS = 1024
"""Parts whose last fault is remembered, so that the same one is logged once."""

SKIPPED_PARTS = Counter(
    "notcharch_feed_skipped_parts",
    "Parts of feeds that could not be read or handled, each time",
    ["feed"],
)


MAX_KEY_LENGTH = 256
"""Names of parts are cut for this; a keyed topic's keys have 255 bytes at most."""


def _digest(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode(errors="backslashreplace"))


def _key(part: str) -> str:
    """Return the text under which a part's last fault is remembered."""
    if len(part) <= MAX_KEY_LENGTH:
        return part
    return f"{part[:MAX_KEY_LENGTH]} {_digest(part):x}"


class FeedFaults:
    """The faults of one feed's parts; a fault that is repeated is only counted."""

    def __init__(self, feed: str) -> None:
        """Start without faults; `feed` is a label of the counter, one of a few."""
        self._feed = feed
        self._last: OrderedDict[str, int] = OrderedDict()
        """The digest of each part's last fault: tracebacks take some KB each."""

    def is_new(self, part: str, fault: str) -> bool:
        """Count a fault; return whether it is not the last one of its part."""
        SKIPPED_PARTS.labels(self._feed).inc()
        part, digest = _key(part), _digest(fault)
        if self._last.get(part) == digest:
            return False
        self._last[part] = digest
        self._last.move_to_end(part)
        if len(self._last) > MAX_REMEMBERED_PARTS:
            self._last.popitem(last=False)
        return True

    def report(self, part: str, fault: str) -> None:
        """Count a fault, and log it unless it was the last one of its part."""
        if self.is_new(part, fault):
            emit(PartSkipped(self._feed, part, fault))

    def clear(self, part: str) -> None:
        """Forget the fault of a part that could be read or handled."""
        self._last.pop(_key(part), None)

    def isolate(self, part: str, handle: Callable[[], object]) -> bool:
        """Handle a part; an exception is reported and returned as False."""
        try:
            handle()
        except Exception:
            self.report(part, Failure().getTraceback())
            return False
        self.clear(part)
        return True
