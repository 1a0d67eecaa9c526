"""Reads a complete response body; cancelling closes the connection."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

LONGEST_BODY_BYTES = 32 * 1024 * 1024
"""A longer body is rejected and its data discarded."""


class OverlongBodyError(Exception):
    """A response body is longer than `LONGEST_BODY_BYTES`."""


class _CompleteBodyProtocol(Protocol):
    def __init__(self) -> None:
        self.complete: Deferred[bytes] = Deferred(self._close)
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.complete.called:
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > LONGEST_BODY_BYTES:
            self._parts.clear()
            self._close(self.complete)
            self.complete.errback(OverlongBodyError())

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.complete.called:
            return
        if reason.check(ResponseDone):
            self.complete.callback(b"".join(self._parts))
        else:
            self.complete.errback(reason)

    def _close(self, _complete: "Deferred[bytes]") -> None:
        if self.transport is not None:
            self.transport.loseConnection()


def read_complete_body(response: Any) -> "Deferred[bytes]":
    """Return the body of a response, once its full length or last chunk has arrived.

    A body delimited only by connection close is an error: it may be truncated.
    """
    body = _CompleteBodyProtocol()
    response.deliverBody(body)
    return body.complete
