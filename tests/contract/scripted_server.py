"""An HTTP server that does what a test's script says, reply by reply."""

import attrs
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site


@attrs.frozen
class Reply:
    """A whole reply."""

    status: int
    body: bytes


@attrs.frozen
class Reset:
    """The connection is reset after `body` of a reply, or without any reply."""

    body: bytes | None = None


@attrs.frozen
class Silence:
    """The reply stays unfinished after `body`, or never begins."""

    body: bytes | None = None


Action = Reply | Reset | Silence


@attrs.frozen
class Received:
    """A request as it came."""

    method: str
    uri: str
    body: bytes


class ScriptedServer(Resource):
    """Takes the next action of the script for each request; keeps what it received."""

    isLeaf = True  # noqa: N815

    def __init__(self, *script: Action):
        super().__init__()
        self.script = list(script)
        self.received: list[Received] = []
        self._waiting: list[tuple[int, Deferred[None]]] = []
        self._open: list[Request] = []
        self._lost: Deferred[None] = Deferred()
        self._site = _CountingSite(self)
        self._port = reactor.listenTCP(0, self._site, interface="127.0.0.1")

    @property
    def connections(self) -> int:
        return self._site.connections

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._port.getHost().port}"

    def has_received(self, count: int) -> "Deferred[None]":
        """Fire when so many requests have come in."""
        waiting: Deferred[None] = Deferred()
        self._waiting.append((count, waiting))
        self._tell()
        return waiting

    def has_lost_caller(self) -> "Deferred[None]":
        """Fire when the caller has closed the connection of an unfinished reply."""
        return self._lost

    async def close(self) -> None:
        for request in self._open:
            if request.channel is not None:
                request.channel.forceAbortClient()
        await self._port.stopListening()

    def write(self, data: bytes) -> None:
        """Add to the reply of the last unfinished request."""
        self._open[-1].write(data)

    def finish(self, data: bytes) -> None:
        """Add the rest of the reply of the last unfinished request."""
        request = self._open.pop()
        request.write(data)
        request.finish()

    def render(self, request: Request) -> int:
        body = request.content.read()
        method = request.method.decode()
        self.received.append(Received(method, request.uri.decode(), body))
        action = self.script.pop(0)
        self._act(request, action)
        self._tell()
        return NOT_DONE_YET

    def _act(self, request: Request, action: Action) -> None:
        if isinstance(action, Reply):
            request.setResponseCode(action.status)
            request.write(action.body)
            request.finish()
            return
        if action.body is not None:
            request.write(action.body)
        if isinstance(action, Silence):
            self._open.append(request)
            request.notifyFinish().addErrback(self._on_lost)
            return
        # What was written must leave before the reset, or it is lost with it.
        reactor.callLater(0, reactor.callLater, 0, request.channel.forceAbortClient)

    def _on_lost(self, _reason: object) -> None:
        if not self._lost.called:
            self._lost.callback(None)

    def _tell(self) -> None:
        for entry in list(self._waiting):
            count, waiting = entry
            if len(self.received) >= count:
                self._waiting.remove(entry)
                reactor.callLater(0, waiting.callback, None)


class _CountingSite(Site):
    connections = 0

    def buildProtocol(self, address):  # noqa: N802
        self.connections += 1
        return super().buildProtocol(address)
