"""Reads and writes the few HTTP/1.1 messages that the stand-ins exchange."""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import parse_qs

CHUNK_END = b"0\r\n\r\n"


@dataclass
class Request:
    """One request, read whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    """By lower-case name; of a repeated header the last value."""
    body: bytes = b""


@dataclass
class Answer:
    """What a client saw of one answer."""

    status: int = 0
    """0 if no head came."""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    problem: str = ""
    """Why the answer is not whole."""


def _parse_headers(lines: list[str]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def _read_head(reader: asyncio.StreamReader) -> list[str]:
    head = await reader.readuntil(b"\r\n\r\n")
    return head.decode("latin-1")[:-4].split("\r\n")


async def _read_chunk(reader: asyncio.StreamReader) -> bytes:
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    return (await reader.readexactly(size + 2))[:size]


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read the next request of a connection."""
    lines = await _read_head(reader)
    method, target, _ = lines[0].split(" ", 2)
    headers = _parse_headers(lines[1:])
    path, _, query = target.partition("?")
    values = {key: value[0] for key, value in parse_qs(query).items()}
    request = Request(method, path, values, headers)
    if headers.get("transfer-encoding") == "chunked":
        while chunk := await _read_chunk(reader):
            request.body += chunk
    else:
        request.body = await reader.readexactly(int(headers.get("content-length", 0)))
    return request


def head_bytes(start: str, headers: dict[str, str]) -> bytes:
    """Return the bytes of a start line and headers."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Return a whole answer with a length."""
    fields = {"Content-Length": str(len(body)), **headers}
    return head_bytes(f"HTTP/1.1 {status} -", fields) + body


def chunk_bytes(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer; what came before an error stays in `answer`."""
    lines = await _read_head(reader)
    answer.status = int(lines[0].split(" ")[1])
    answer.headers = _parse_headers(lines[1:])
    if answer.headers.get("transfer-encoding") == "chunked":
        while chunk := await _read_chunk(reader):
            answer.body += chunk
    else:
        length = int(answer.headers.get("content-length", 0))
        while len(answer.body) < length:
            data = await reader.read(length - len(answer.body))
            if not data:
                raise asyncio.IncompleteReadError(answer.body, length)
            answer.body += data
    answer.is_whole = True


async def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    *,
    body: bytes,
    seconds: float,
) -> Answer:
    """Send one request on a new connection, and wait for its answer."""
    answer = Answer()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            fields = {"Content-Length": str(len(body)), **headers}
            writer.write(head_bytes(f"{method} {target} HTTP/1.1", fields) + body)
            await read_answer(reader, answer)
    except TimeoutError:
        answer.problem = "no whole answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.problem = f"the connection ended: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    return answer
