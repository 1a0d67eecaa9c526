"""One HTTP exchange whose reply is read as it comes, by Twisted's own primitives.

Twisted's agent and body protocol are used directly: the path of each token goes
through no other layer.
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
from notcharch.clients.failures import NOT_SENT

STATUS_OK = 200
_JSON_HEADERS = Headers({b"content-type": [b"application/json"]})


@attrs.frozen
class ExchangeHandlers:
    """What the owner of an exchange is told; nothing is told after `abort`."""

    on_accepted: Callable[[], None]
    """The reply has begun with status 200."""

    on_data: Callable[[bytes], None]
    on_refused: Callable[[int, bytes], None]
    """The whole reply has another status; gives it and its body."""

    on_lost: Callable[[BaseException | None], None]
    """The exchange is over after or without a reply; None for a regular end."""


@implementer(IBodyProducer)
class BytesBody:
    """A request body that is there already."""

    def __init__(self, body: bytes) -> None:
        """Keep the bytes."""
        self._body = body
        self.length: int = len(body)

    def startProducing(self, consumer: IConsumer) -> "Deferred[None]":  # noqa: N802
        """Write all of it."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written at once."""


class HttpStream:
    """Sends one request and tells its handlers what comes back."""

    def __init__(self, handlers: ExchangeHandlers) -> None:
        """Nothing is sent before `start`."""
        self._handlers = handlers
        self._request: Deferred[IResponse] | None = None
        self._body: _BodyProtocol | None = None
        self._held_response: IResponse | None = None
        self._is_paused = False
        self.is_over = False
        """True when no handler is called any more."""

        self.was_sent = True
        """False once it is certain that the request was not sent."""

    def start(self, agent: IAgent, method: bytes, url: bytes, body: bytes) -> None:
        """Send the request; an empty body is none."""
        producer = BytesBody(body) if body else None
        self._request = agent.request(method, url, _JSON_HEADERS, producer)
        self._request.addCallbacks(self._on_head, self._on_failure)

    def pause(self) -> None:
        """Stop reading from the connection."""
        self._is_paused = True
        if self._body is not None:
            self._body.pause()

    def resume(self) -> None:
        """Read again."""
        self._is_paused = False
        if self._held_response is not None:
            self._deliver(self._held_response)
        elif self._body is not None:
            self._body.resume()

    def abort(self) -> None:
        """Close the connection; no handler is called from now on."""
        if self.is_over:
            return
        self.is_over = True
        if self._held_response is not None:
            self._deliver(self._held_response)
        elif self._body is not None:
            self._body.close()
        elif self._request is not None:
            self._request.cancel()

    def _on_head(self, response: IResponse) -> None:
        if not self.is_over and response.code == STATUS_OK:
            self._handlers.on_accepted()
        if self._is_paused and not self.is_over:
            # Twisted reads no more of a body that nobody takes.
            self._held_response = response
        else:
            self._deliver(response)

    def _deliver(self, response: IResponse) -> None:
        self._held_response = None
        self._body = _BodyProtocol(self, response.code)
        response.deliverBody(self._body)
        if self.is_over:
            self._body.close()

    def _on_failure(self, failure: Failure) -> None:
        if isinstance(failure.value, NOT_SENT):
            self.was_sent = False
        if not self.is_over:
            self.is_over = True
            self._handlers.on_lost(failure.value)

    def data_received(self, data: bytes) -> None:
        """Take a piece of the body of an accepted request."""
        if not self.is_over:
            self._handlers.on_data(data)

    def body_ended(self, status: int, body: bytes, reason: Failure) -> None:
        """Take the end of the body."""
        if self.is_over:
            return
        self.is_over = True
        is_regular = reason.check(ResponseDone) is not None
        if status == STATUS_OK:
            self._handlers.on_lost(None if is_regular else reason.value)
        elif is_regular:
            self._handlers.on_refused(status, body)
        else:
            self._handlers.on_lost(reason.value)


class _BodyProtocol(Protocol):
    """Hands an accepted body on at once, and collects any other."""

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
