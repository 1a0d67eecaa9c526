"""Collects the body of a response up to a limit: servers may send bytes without end."""

import enum

from notcharch.events.event import emit
from notcharch.events.http import AnswerTooLong
from notcharch.http.metrics import ANSWERS_TOO_LONG


class ServerKind(enum.Enum):
    """What kind of server an answer comes from."""

    ENGINE = "engine"
    STORE = "store"


class BoundedBody:
    """The body of one response."""

    def __init__(self, limit_bytes: int, kind: ServerKind, name: str) -> None:
        """Start empty; `name` tells in the log what was asked."""
        self._limit_bytes = limit_bytes
        self._kind = kind
        self._name = name
        self._body = bytearray()
        self._size = 0

    def add(self, data: bytes) -> bool:
        """Add bytes; report a body that exceeds the limit and return False."""
        self._size += len(data)
        if self._size > self._limit_bytes:
            self._body.clear()
            report_too_long(self._kind, self._name, self._limit_bytes)
            return False
        self._body += data
        return True

    def content(self) -> bytes:
        """Return the bytes so far, and hold them no longer."""
        body = bytes(self._body)
        self._body.clear()
        return body


def report_too_long(kind: ServerKind, name: str, size: int) -> None:
    """Log and count an answer that is read no further."""
    ANSWERS_TOO_LONG.labels(kind.value).inc()
    emit(AnswerTooLong(kind.value, name, size))
