"""Reads a whole reply; cancelling closes the connection."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone


class _WholeBody(Protocol):
    def __init__(self) -> None:
        self.whole: Deferred[bytes] = Deferred(self._close)
        self._parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parts.append(data)

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
