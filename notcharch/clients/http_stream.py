"""One HTTP exchange whose response is streamed.

It uses Twisted's agent and body protocol directly, to keep the cost per token low.
"""

from collections.abc import Callable

import attrs
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IConsumer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgent, IBodyProducer, IResponse
from zope.interface import implementer

from notcharch.clients.chunk_shortcut import ChunkShortcut
from notcharch.clients.failures import NOT_SENT, status_of

STATUS_OK = 200
_JSON_HEADERS = Headers({b"content-type": [b"application/json"]})


@attrs.frozen
class ExchangeHandlers:
    """Callbacks of an exchange; none is called after `abort`."""

    on_accepted: Callable[[], None]
    """Called when the response has started with status 200."""

    on_data: Callable[[bytes], None]
    on_refused: Callable[[int, bytes], None]
    """Called with the status and body of a complete response of another status."""

    on_end: Callable[[BaseException | None], None]
    """Called at the end of the exchange with its error, None for a regular end."""


@implementer(IBodyProducer)
class BytesBody:
    """A request body held in memory."""

    def __init__(self, body: bytes) -> None:
        """Store the bytes."""
        self._body = body
        self.length: int = len(body)

    def startProducing(self, consumer: IConsumer) -> "Deferred[None]":  # noqa: N802
        """Write the entire body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written in one call."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written in one call."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written in one call."""


class HttpStream:
    """Sends one request and passes the response to its handlers."""

    def __init__(self, handlers: ExchangeHandlers) -> None:
        """Prepare the request; `start` sends it."""
        self._handlers = handlers
        self._request: Deferred[IResponse] | None = None
        self._body: _BodyProtocol | None = None
        self._undelivered_response: IResponse | None = None
        self._is_paused = False
        self.is_over = False
        """True when no handler will be called again."""

        self.was_sent = True
        """False once it is certain that the request was not sent."""

    def start(self, agent: IAgent, method: bytes, url: bytes, body: bytes) -> None:
        """Send the request; empty `body` means no body."""
        producer = BytesBody(body) if body else None
        self._request = agent.request(method, url, _JSON_HEADERS, producer)
        self._request.addCallbacks(self._on_head, self._on_failure)

    def pause(self) -> None:
        """Stop reading from the connection."""
        self._is_paused = True
        if self._body is not None:
            self._body.pause()

    def resume(self) -> None:
        """Resume reading."""
        self._is_paused = False
        if self._undelivered_response is not None:
            self._deliver(self._undelivered_response)
        elif self._body is not None:
            self._body.resume()

    def abort(self) -> None:
        """Close the connection; no handler is called afterwards."""
        if self.is_over:
            return
        self.is_over = True
        if self._undelivered_response is not None:
            self._deliver(self._undelivered_response)
        elif self._body is not None:
            self._body.close()
        elif self._request is not None:
            self._request.cancel()

    def _on_head(self, response: IResponse) -> None:
        if not self.is_over and status_of(response) == STATUS_OK:
            self._handlers.on_accepted()
        if self._is_paused and not self.is_over:
            # Twisted does not read a body before it is delivered.
            self._undelivered_response = response
        else:
            self._deliver(response)

    def _deliver(self, response: IResponse) -> None:
        self._undelivered_response = None
        self._body = _BodyProtocol(self, status_of(response))
        response.deliverBody(self._body)
        if self.is_over:
            self._body.close()

    def _on_failure(self, failure: Failure) -> None:
        if isinstance(failure.value, NOT_SENT):
            self.was_sent = False
        if not self.is_over:
            self.is_over = True
            self._handlers.on_end(failure.value)

    def data_received(self, data: bytes) -> None:
        """Handle a part of the body of an accepted request."""
        if not self.is_over:
            self._handlers.on_data(data)

    def body_ended(self, status: int, body: bytes, reason: Failure) -> None:
        """Handle the end of the body."""
        if self.is_over:
            return
        self.is_over = True
        is_regular = reason.check(ResponseDone) is not None
        if status == STATUS_OK:
            self._handlers.on_end(None if is_regular else reason.value)
        elif is_regular:
            self._handlers.on_refused(status, body)
        else:
            self._handlers.on_end(reason.value)


class _BodyProtocol(Protocol):
    """Streams the body of an accepted request and buffers any other."""

    def __init__(self, owner: HttpStream, status: int) -> None:
        self._owner = owner
        self._status = status
        self._error_body: list[bytes] = []
        self._shortcut = ChunkShortcut(owner.data_received)

    def connectionMade(self) -> None:  # noqa: N802
        if self._status == STATUS_OK:
            self.dataReceived = self._owner.data_received  # type: ignore[method-assign]
            self._shortcut.take(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._error_body.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self._shortcut.leave()
        self._owner.body_ended(self._status, b"".join(self._error_body), reason)

    def pause(self) -> None:
        if self.transport is not None:
            self.transport.pauseProducing()  # type: ignore[attr-defined]

    def resume(self) -> None:
        if self.transport is not None:
            self.transport.resumeProducing()  # type: ignore[attr-defined]

    def close(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()
