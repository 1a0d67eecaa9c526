"""One engine client, one scripted engine, and what a caller saw."""

from random import Random

from twisted.internet import reactor

from notcharch.clients.connections import Connections
from notcharch.clients.engine_client import EngineClient
from notcharch.clients.ports import EngineRequest, StreamEnd
from notcharch.settings.schema import PlatformSection
from notcharch.values.chat import ChatMessage, FinishReason, TokenUsage
from tests.contract.patient_clock import PatientClock
from tests.contract.scripted_server import Action, Reply, ScriptedServer
from tests.contract.spin import turn
from tests.contract.stream_text import content, events

TIMEOUT_SECONDS = 7.0
TOKENS = 6
WHOLE = events(TOKENS)
GOOD_END = StreamEnd(content(TOKENS), None, FinishReason.STOP, TokenUsage(9, TOKENS, 4))
REQUEST = EngineRequest(
    "r/1", "pool", "north-1-x", 3, -2, (ChatMessage("user", "hello"),), 50
)
DELETED = Reply(200, b'{"state":"cancelled","events":3}')


class Scene:
    """One client, one scripted engine, and what the caller saw."""

    def __init__(self, *script: Action):
        self.server = ScriptedServer(*script)
        self.clock = PatientClock(TIMEOUT_SECONDS)
        self.connections = Connections(reactor, TIMEOUT_SECONDS)
        settings = PlatformSection(request_seconds=TIMEOUT_SECONDS)
        self.client = EngineClient(
            self.connections.agent, self.clock, Random(1), settings
        )
        self.seen: list[bytes] = []

    def open(self, address: str | None = None, request: EngineRequest = REQUEST):
        address = address or self.server.address
        return self.client.open_stream(address, request, self.seen.append)

    @property
    def bytes_seen(self) -> bytes:
        return b"".join(self.seen)

    def requests(self) -> list[tuple[str, str]]:
        return [(one.method, one.uri) for one in self.server.received]

    async def close(self) -> None:
        assert self.server.script == [], "not everything was asked for"
        assert self.clock.getDelayedCalls() == [], "a timer is left behind"
        await self.connections.close()
        await self.server.close()


def resumed(offset: int) -> tuple[str, str]:
    return ("GET", f"/v1/requests/r%2F1/stream?offset={offset}")


POSTED = ("POST", "/v1/chat/completions")
ASKED = ("GET", "/v1/requests/r%2F1")
CANCELLED = ("DELETE", "/v1/requests/r%2F1")


def refusal(status: int, code: str, retry_after: str = "null") -> Reply:
    text = f'{{"error":{{"code":"{code}","message":"","retry_after":{retry_after}}}}}'
    return Reply(status, text.encode())


async def turn_until(is_true) -> None:
    while not is_true():
        await turn()
