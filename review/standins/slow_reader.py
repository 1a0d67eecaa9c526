"""A stand-in of a client that reads its answer at some speed."""

import asyncio
import socket
import time
from dataclasses import dataclass

from deployment import HOST_NAME, Record
from http11 import head_bytes

READ_BYTES = 8 * 1024
FULL_SPEED = 1e9
"""Bytes per second of a client that reads at once, with the system's usual buffers."""
WINDOW_BYTES = 8 * 1024
"""Receive buffer of the client: links have small windows."""
SMALL_ANSWER_BYTES = 800
SEGMENT_BYTES = 1448
"""Segments as on an Ethernet link: the kernel sizes its buffers by them, and by those of
the loopback link (64 KB) it would take whole megabytes from the daemon at once."""


@dataclass
class Reading:
    """What a client has read."""

    name: str
    expected: bytes
    """The body that the engine gave."""
    data: bytes = b""
    end: str = ""
    seconds: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether the answer came whole and is that of the engine."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        return head.startswith(b"HTTP/1.1 200") and body == self.expected

    @property
    def has_length(self) -> bool:
        """Whether as many bytes came as the answer has."""
        _, _, body = self.data.partition(b"\r\n\r\n")
        return len(body) >= len(self.expected)


async def _ask_first(
    client: socket.socket, record: Record, name: str, path: str
) -> None:
    """Send a request with a small answer, and read the answer."""
    loop = asyncio.get_running_loop()
    headers = {"Host": HOST_NAME, "X-Notcharch-Request-Id": name, "Content-Length": "0"}
    await loop.sock_sendall(client, head_bytes(f"POST {path} HTTP/1.1", headers))
    data = b""
    while len(data.partition(b"\r\n\r\n")[2]) < SMALL_ANSWER_BYTES:
        data += await loop.sock_recv(client, READ_BYTES)
    record.line(f"answer to {name}: {data.split(b' ')[1].decode()}, whole")


async def read_slowly(
    address: tuple[str, int],
    record: Record,
    reading: Reading,
    *,
    path: str,
    deadline_ms: int,
    bytes_per_second: float,
    first_path: str = "",
) -> None:
    """Send a request on a new connection, and read its answer at some speed.

    With `first_path`, the connection is kept from a request with a small answer.
    """
    loop = asyncio.get_running_loop()
    client = socket.socket()
    if bytes_per_second < FULL_SPEED:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    client.setblocking(False)
    await loop.sock_connect(client, address)
    if first_path:
        await _ask_first(client, record, f"{reading.name}-first", first_path)
    headers = {
        "Host": HOST_NAME,
        "X-Notcharch-Request-Id": reading.name,
        "X-Notcharch-Deadline-Ms": str(deadline_ms),
        "Content-Length": "5",
    }
    request = head_bytes(f"POST {path} HTTP/1.1", headers) + b"today"
    await loop.sock_sendall(client, request)
    began = time.monotonic()
    record.line(f"sent {reading.name} to {address[0]}")
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            while not reading.has_length:
                data = await loop.sock_recv(client, READ_BYTES)
                if not data:
                    reading.end = "closed"
                    break
                reading.data += data
                due = began + len(reading.data) / bytes_per_second
                await asyncio.sleep(max(0.0, due - time.monotonic()))
    except TimeoutError:
        reading.end = "deadline"
    except OSError as error:
        reading.end = type(error).__name__
    client.close()
    reading.seconds = time.monotonic() - began
    record.line(
        f"{reading.name}: {len(reading.data)} bytes in {reading.seconds:.2f} s,"
        f" {'whole' if reading.is_complete else f'not whole: {reading.end}'}"
    )
