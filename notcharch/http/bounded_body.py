"""Collects the body of a response up to a limit: servers may send bytes without end."""

from notcharch.events.event import emit
from notcharch.events.http import AnswerTooLong
from notcharch.http.metrics import ANSWERS_TOO_LONG


class BoundedBody:
    """The body of one response."""

    def __init__(self, limit_bytes: int) -> None:
        """Start empty."""
        self._limit_bytes = limit_bytes
        self._chunks: list[bytes] = []
        self._size = 0

    def add(self, data: bytes) -> bool:
        """Add bytes; return False, and keep nothing, once the body exceeds the limit."""
        self._size += len(data)
        if self._size > self._limit_bytes:
            self._chunks.clear()
            return False
        self._chunks.append(data)
        return True

    def content(self) -> bytes:
        """Return the bytes so far."""
        return b"".join(self._chunks)

    @property
    def limit_bytes(self) -> int:
        """The largest body."""
        return self._limit_bytes


def report_too_long(peer: str, name: str, size: int) -> None:
    """Log and count an answer that is read no further; `peer` is a kind of server."""
    ANSWERS_TOO_LONG.labels(peer).inc()
    emit(AnswerTooLong(peer, name, size))
