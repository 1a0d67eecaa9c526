"""A stand-in of an engine that can crash, and whose streams end with their connections."""

import asyncio

from engines import Engine, event_data
from http11 import Request, head_bytes


class MortalEngine(Engine):
    """An engine whose streams have neither a length nor chunks."""

    _server: asyncio.Server | None = None
    port = 0

    async def start(self, host: str, platform: tuple[str, int], port: int = 0) -> None:
        """Listen at a port, and write the entry again and again."""
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._address = f"{host}:{self.port}"
        await self._write_entry(platform)
        self._beating = asyncio.create_task(self._beat(platform))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _stream(
        self, request: Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        fields = {**headers, "Content-Type": "text/event-stream", "Connection": "close"}
        writer.write(head_bytes("HTTP/1.1 200 OK", fields))
        for number in range(self._pace.events):
            if writer.is_closing():
                return
            data = event_data(headers["X-Notcharch-Request-Id"], number)
            writer.write(b"id: %d\ndata: %b\n\n" % (number, data))
            await asyncio.sleep(self._pace.event_seconds)
        writer.close()

    def crash(self) -> None:
        """End as a killed process does: the kernel closes all its sockets."""
        self._beating.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.close()
