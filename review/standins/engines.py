"""Stand-ins of engines: they list themselves in the store and note what they run."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from http11 import (
    CHUNK_END,
    Request,
    answer_bytes,
    ask,
    chunk_bytes,
    head_bytes,
    read_request,
)

HEARTBEAT_SECONDS = 1.2
EVENTS = 4
"""In each stream, unless a case sets another pace."""
TOKENS_PER_EVENT = 10


@dataclass(frozen=True)
class Pace:
    """How long the requests of a case take."""

    work_seconds: float = 0.02
    """Before an answer that is no stream."""
    events: int = EVENTS
    event_seconds: float = 0.02


@dataclass(frozen=True)
class Run:
    """One request that an engine ran."""

    engine: str
    request: str
    path: str
    body: bytes


def event_data(request: str, number: int) -> bytes:
    """Return the data of one event of a stream."""
    return f"{request} event {number}".encode()


def output_of(request: str) -> bytes:
    """Return the data of all events of a stream, each with a line feed."""
    return b"".join(event_data(request, number) + b"\n" for number in range(EVENTS))


class Engine:
    """One engine of a service."""

    def __init__(
        self,
        id: str,
        service: str,
        zone: str,
        *,
        body_of: Callable[[Request], bytes],
        on_run: Callable[[Run], None],
        pace: Pace,
    ) -> None:
        """`body_of` gives the answer of a request that is no stream."""
        self.id = id
        self._service = service
        self._zone = zone
        self._body_of = body_of
        self._on_run = on_run
        self._pace = pace
        self._beats = 0
        self._address = ""
        self.busy = 0

    async def start(self, host: str, platform: tuple[str, int]) -> None:
        """Listen, and write the entry again and again."""
        server = await asyncio.start_server(self._serve, host, 0, limit=8 * 2**20)
        port = server.sockets[0].getsockname()[1]
        self._address = f"{host}:{port}"
        await self._write_entry(platform)
        self._beating = asyncio.create_task(self._beat(platform))

    async def _beat(self, platform: tuple[str, int]) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            await self._write_entry(platform)

    async def _write_entry(self, platform: tuple[str, int]) -> None:
        self._beats += 1
        entry = {
            "service": self._service,
            "address": self._address,
            "zone": self._zone,
            "version": "v1",
            "slots": 12,
            "state": "ready",
            "cold_remaining_ms": 0,
            "call_sequence": self._beats,
        }
        target = f"/write?topic=keyed.servers&key={self.id}"
        await ask(
            platform, "POST", target, {}, body=json.dumps(entry).encode(), seconds=5.0
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        try:
            while True:
                request = await read_request(reader)
                await self._answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the daemon closed the connection, or the case is over
        finally:
            writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.path == "/health":
            instance = {"X-Notcharch-Instance-Id": self.id}
            writer.write(answer_bytes(200, b"", instance))
            return
        if request.path == "/report":
            json_type = {"Content-Type": "application/json"}
            writer.write(answer_bytes(200, self._report(), json_type))
            return
        if request.headers.get("x-notcharch-expect-instance", self.id) != self.id:
            writer.write(answer_bytes(421, b"", {}))
            return
        name = request.headers["x-notcharch-request-id"]
        self._on_run(Run(self.id, name, request.path, request.body))
        headers = {
            "X-Notcharch-Request-Id": name,
            "X-Notcharch-Response-Seal": f"seal-{name}",
        }
        is_stream = "x-notcharch-token-usage" in request.headers
        running = self._stream if is_stream else self._whole
        self.busy += 1
        try:
            await running(request, headers, writer)
        finally:
            self.busy -= 1

    def _report(self) -> bytes:
        """Return what the engine says of itself."""
        report = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "call_sequence": self._beats,
            "waiting": 0,
            "running": self.busy,
            "kv_used": 0,
            "kv_total": 490370,
            "handles": 0,
        }
        return json.dumps(report).encode()

    async def _whole(
        self, request: Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(self._pace.work_seconds)
        writer.write(answer_bytes(200, self._body_of(request), headers))

    async def _stream(
        self, request: Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(self._pace.event_seconds)
        fields = {
            **headers,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(head_bytes("HTTP/1.1 200 OK", fields))
        for number in range(self._pace.events):
            data = event_data(headers["X-Notcharch-Request-Id"], number)
            writer.write(chunk_bytes(b"id: %d\ndata: %b\n\n" % (number, data)))
            await writer.drain()
            await asyncio.sleep(self._pace.event_seconds)
        writer.write(CHUNK_END)
