"""The engine process of the relay benchmark: streams tokens at a steady pace.

It speaks just enough HTTP for the benchmark. `max_tokens` of a request gives the
number of tokens; each is a write of its own, as from a real engine.
"""

import json
import sys
from collections.abc import Sequence

from twisted.internet import reactor as installed_reactor
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall

from experiments.relay_children import announce

HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CHUNK_START = (
    '{"id":"request-000000000001","object":"chat.completion.chunk",'
    '"created":1700000000,"model":"model","choices":[{"index":0,"delta":'
)
GROUPS = 8
"""The streams write in turns, so that not all of them write at once."""


def token_event(number: int) -> bytes:
    """Give one token's event, as docs/platform-protocols.md has it."""
    delta = '{"content":"abcd"},"finish_reason":null}]}'
    return f"id: {number}\ndata: {CHUNK_START}{delta}\n\n".encode()


def end_events(tokens: int) -> bytes:
    """Give the last chunk with the usage, and `[DONE]`."""
    usage = json.dumps({"prompt_tokens": 9, "completion_tokens": tokens})
    return (
        f'id: {tokens}\ndata: {CHUNK_START}{{}},"finish_reason":"stop"}}],'
        f'"usage":{usage}}}\n\ndata: [DONE]\n\n'
    ).encode()


def whole_answer(tokens: int) -> bytes:
    """Give everything that a caller must see of an answer."""
    events = [token_event(number) for number in range(tokens)]
    return b"".join(events) + end_events(tokens)


def chunk(data: bytes) -> bytes:
    """Frame a chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class PacedStream(Protocol):
    """One connection; writes a token at each call of `tick`."""

    def __init__(self, group: set["PacedStream"]) -> None:
        """Belong to a group of streams that write together."""
        self._group = group
        self._received = b""
        self._tokens = 0
        self._next = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Begin an answer when a whole request is there."""
        self._received += data
        head, separator, body = self._received.partition(HEAD_END)
        if not separator or len(body) < _content_length(head):
            return
        self._received = b""
        self._tokens = json.loads(body)["max_tokens"]
        self._next = 0
        self.transport.write(HEAD)  # type: ignore[union-attr]
        self._group.add(self)

    def tick(self) -> None:
        """Write the next token, or the end."""
        transport = self.transport
        assert transport is not None
        if self._next < self._tokens:
            transport.write(chunk(token_event(self._next)))
            self._next += 1
            return
        self._group.discard(self)
        transport.write(chunk(end_events(self._tokens)) + LAST_CHUNK)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Stop writing."""
        self._group.discard(self)


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


class PacedFactory(Factory):
    """Spreads connections over the groups and drives them."""

    def __init__(self, token_seconds: float) -> None:
        """Write one token for each stream every `token_seconds`."""
        self._groups: list[set[PacedStream]] = [set() for _ in range(GROUPS)]
        self._built = 0
        self._turn = 0
        LoopingCall(self._tick).start(token_seconds / GROUPS)

    def buildProtocol(self, _address: object) -> Protocol:  # noqa: N802
        """Give a connection a place in the next group."""
        self._built += 1
        return PacedStream(self._groups[self._built % GROUPS])

    def _tick(self) -> None:
        self._turn += 1
        for stream in tuple(self._groups[self._turn % GROUPS]):
            stream.tick()


def main(arguments: Sequence[str]) -> None:
    """Serve until the process is ended; the argument is the seconds per token."""
    reactor: object = installed_reactor
    factory = PacedFactory(float(arguments[0]))
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")  # type: ignore[attr-defined]
    announce(f"127.0.0.1:{port.getHost().port}")
    reactor.run()  # type: ignore[attr-defined]


if __name__ == "__main__":
    main(sys.argv[1:])
