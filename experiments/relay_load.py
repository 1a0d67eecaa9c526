"""The load process of the relay benchmark: callers that read whole answers."""

import json
import sys
from collections.abc import Sequence
from typing import Any

import msgspec
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol

from experiments.relay_children import announce
from experiments.relay_engine import LAST_CHUNK, whole_answer

reactor: Any = installed_reactor
CHUNK_END = b"\r\n"


class LoadResult(msgspec.Struct, frozen=True):
    """What a load process did."""

    calls: int
    tokens: int
    wrong_answers: int
    seconds: float


class Caller(Protocol):
    """Makes calls one after the other over one connection."""

    def __init__(self, tokens: int, calls: int) -> None:
        """Make `calls` calls of `tokens` tokens each."""
        self.done: Deferred[int] = Deferred()
        self._left = calls
        self._expected = whole_answer(tokens)
        self._received: list[bytes] = []
        self._wrong = 0
        message = {"role": "user", "content": "hello"}
        body = json.dumps({"messages": [message], "max_tokens": tokens}).encode()
        self._request = (
            b"POST /v1/chat/completions HTTP/1.1\r\nhost: relay\r\n"
            b"content-type: application/json\r\ncontent-length: %d\r\n\r\n%b"
            % (len(body), body)
        )

    def connectionMade(self) -> None:  # noqa: N802
        """Make the first call."""
        self._call()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the answer; make the next call after its end."""
        self._received.append(data)
        if not data.endswith(LAST_CHUNK):
            return
        if body_of(b"".join(self._received)) != self._expected:
            self._wrong += 1
        self._received.clear()
        self._left -= 1
        if self._left:
            self._call()
        else:
            self.done.callback(self._wrong)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Count what was not answered as wrong."""
        if not self.done.called:
            self.done.callback(self._wrong + self._left)

    def _call(self) -> None:
        assert self.transport is not None
        self.transport.write(self._request)


def body_of(response: bytes) -> bytes:
    """Take the chunked body out of a whole response."""
    rest = response.partition(b"\r\n\r\n")[2]
    parts: list[bytes] = []
    while rest:
        size_text, _, rest = rest.partition(CHUNK_END)
        size = int(size_text, 16)
        parts.append(rest[:size])
        rest = rest[size + len(CHUNK_END) :]
    return b"".join(parts)


async def run_load(address: str, streams: int, tokens: int, calls: int) -> LoadResult:
    """Make `calls` calls on each of `streams` connections."""
    host, port = address.split(":")
    begin = reactor.seconds()
    callers = [Caller(tokens, calls) for _ in range(streams)]
    for caller in callers:
        await connectProtocol(TCP4ClientEndpoint(reactor, host, int(port)), caller)
    wrong = sum(await gatherResults([caller.done for caller in callers]))
    done = streams * calls
    return LoadResult(done, done * tokens, wrong, reactor.seconds() - begin)


def main(arguments: Sequence[str]) -> None:
    """Make the calls and print the result; address, streams, tokens, calls."""
    address, *numbers = arguments
    streams, tokens, calls = map(int, numbers)

    async def whole() -> None:
        try:
            result = await run_load(address, streams, tokens, calls)
            announce(msgspec.json.encode(result).decode())
        finally:
            reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(whole()))
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
