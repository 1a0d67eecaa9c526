"""Three ways to relay a stream from an engine to a caller.

`plain`: klein and treq, as a program without its own stream handling would do.
`client`: the engine client, and one `request.write` for each piece.
`gateway`: the engine client and the gateway's relay, as a daemon does.
"""

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
import treq
from klein import Klein
from result import Ok
from twisted.internet import reactor as installed_reactor
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.server import Request, Site

from notcharch.clients.connections import Connections
from notcharch.clients.engine_client import EngineClient
from notcharch.clients.ports import EngineRequest
from notcharch.gateway.stream_relay import StreamRelay
from notcharch.settings.schema import PlatformSection
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import Epoch, PoolName, ProgramId, RequestId

reactor: Any = installed_reactor
PLAIN = "plain"
CLIENT = "client"
GATEWAY = "gateway"
WAYS = (PLAIN, CLIENT, GATEWAY)
STALL_SECONDS = 60.0
CONNECT_SECONDS = 5.0


class CallBody(msgspec.Struct, frozen=True):
    """What the load process asks for."""

    messages: tuple[ChatMessage, ...]
    max_tokens: int


class PlainRelay:
    """klein and treq with nothing between."""

    app = Klein()

    def __init__(self, engine: str) -> None:
        """Relay to one engine."""
        self._url = f"http://{engine}/v1/chat/completions"
        self._agent = Agent(reactor, pool=HTTPConnectionPool(reactor))

    @app.route("/v1/chat/completions", methods=["POST"])
    async def complete(self, request: Request) -> None:
        """Copy a stream, piece by piece."""
        content: Any = request.content
        response = await treq.post(
            self._url, data=content.read(), agent=self._agent, unbuffered=True
        )
        await treq.collect(response, request.write)


class ClientRelay:
    """The engine client with or without the gateway's relay."""

    app = Klein()

    def __init__(self, engine: str, uses_gateway: bool) -> None:
        """Relay to one engine."""
        self._engine = engine
        self._uses_gateway = uses_gateway
        agent = Connections(reactor, CONNECT_SECONDS).agent
        self._client = EngineClient(agent, reactor, Random(1), PlatformSection())
        self._count = 0

    @app.route("/v1/chat/completions", methods=["POST"])
    async def complete(self, request: Request) -> None:
        """Relay a stream."""
        content: Any = request.content
        body = msgspec.json.decode(content.read(), type=CallBody)
        if self._uses_gateway:
            await self._by_gateway(request, body)
        else:
            await self._open(body, request.write).finished

    async def _by_gateway(self, request: Request, body: CallBody) -> None:
        relay = StreamRelay(request, reactor, STALL_SECONDS, _nothing)
        stream = self._open(body, relay.on_bytes)
        relay.attach(stream)
        result = await stream.finished
        if isinstance(result, Ok):
            relay.release_end()
        relay.finish()

    def _open(self, body: CallBody, on_bytes: Callable[[bytes], None]) -> Any:
        self._count += 1
        request = EngineRequest(
            RequestId(f"request-{self._count}"),
            PoolName("model"),
            ProgramId("region1-1-x"),
            Epoch(1),
            0,
            body.messages,
            body.max_tokens,
        )
        return self._client.open_stream(self._engine, request, on_bytes)


def _nothing() -> None:
    """Ignore a stalled caller: the benchmark has none."""


def serve(way: str, engine: str) -> str:
    """Begin to serve one way of relaying to an engine; gives the address."""
    relay: Any = (
        PlainRelay(engine)
        if way == PLAIN
        else ClientRelay(engine, uses_gateway=way == GATEWAY)
    )
    site = Site(relay.app.resource())
    port = reactor.listenTCP(0, site, interface="127.0.0.1")
    return f"127.0.0.1:{port.getHost().port}"
