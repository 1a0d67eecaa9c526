"""Bytes that a daemon holds of one engine's answer, and how much of it is read.

An answer is held until it is whole, so that the call can be sent again if the engine breaks it
off. A long one is relayed as it comes instead. All answers together hold a bounded number of
bytes; above it the one that holds most is relayed as it comes, or given up if it may not be.
"""

from collections.abc import Callable

from notcharch.http.buffered_bytes import RESUME_BYTES, BufferedBytes

MAX_HELD_BYTES = 256 * 1024
"""A longer answer is relayed as it comes; one that must not be relayed is given up."""
MAX_HELD_ONCE_BYTES = RESUME_BYTES
"""The same for an answer of a call that is not sent again, as nothing is won by holding it:
it waits for its caller as a stream does."""
MAX_EVENT_BYTES = 1024 * 1024
"""The longest event of a stream; events hold some tokens."""
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""The longest answer; sixteen times the longest request that operators allow."""


def _do_nothing() -> None:
    """Stand for the end of a run that is over."""


class HeldAnswer:
    """What is held of one answer, counted among all answers."""

    def __init__(self, held: BufferedBytes, on_cut: Callable[[], None]) -> None:
        """`on_cut` is called if all answers hold too much and this one is to give way."""
        self._held = held
        self._on_cut = on_cut
        self._kept = bytearray()
        """One buffer: chunks of some bytes would each take 33 bytes more."""
        self.received = 0
        """Number of bytes of the answer so far."""

    def count_received(self, count: int) -> bool:
        """Count received bytes; return False for an answer that is longer than any may be."""
        self.received += count
        return self.received <= MAX_ANSWER_BYTES

    def keep(self, data: bytes) -> bool:
        """Hold bytes; return False if the answer is too long to be held."""
        self._kept += data
        self._held.changed(self, len(self._kept))
        return len(self._kept) <= MAX_HELD_BYTES

    @property
    def kept_bytes(self) -> int:
        """Number of bytes that are kept here."""
        return len(self._kept)

    def count_elsewhere(self, size: int) -> None:
        """Count bytes of the answer that its call holds."""
        self._held.changed(self, size)

    def take(self) -> bytes:
        """Return what is kept, and hold it no longer."""
        content = bytes(self._kept)
        self.release()
        return content

    def release(self) -> None:
        """Hold nothing any more."""
        self._kept.clear()
        self._held.changed(self, 0)

    def close(self) -> None:
        """Hold nothing any more, and let go of the run: it is freed with its request."""
        self.release()
        self._on_cut = _do_nothing

    def cut(self, buffered: int) -> None:
        """Let the run give way: of all answers, its answer holds the most bytes."""
        self._on_cut()
