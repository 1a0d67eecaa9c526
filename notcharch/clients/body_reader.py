"""Reads a whole reply; cancelling closes the connection."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

LONGEST_BODY_BYTES = 32 * 1024 * 1024
"""Longer than any reply that is asked for; a fault, and not to be kept."""


class OverlongBodyError(Exception):
    """A reply is longer than `LONGEST_BODY_BYTES`."""


class _WholeBody(Protocol):
    def __init__(self) -> None:
        self.whole: Deferred[bytes] = Deferred(self._close)
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.whole.called:
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > LONGEST_BODY_BYTES:
            self._parts.clear()
            self._close(self.whole)
            self.whole.errback(OverlongBodyError())

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.whole.called:
            return
        if reason.check(ResponseDone):
            self.whole.callback(b"".join(self._parts))
        else:
            self.whole.errback(reason)

    def _close(self, _whole: "Deferred[bytes]") -> None:
        if self.transport is not None:
            self.transport.loseConnection()


def read_whole_body(response: Any) -> "Deferred[bytes]":
    """Give the body of a reply whose length or last chunk has arrived.

    A body that ends with the connection only is an error: it may be cut off.
    """
    body = _WholeBody()
    response.deliverBody(body)
    return body.whole
