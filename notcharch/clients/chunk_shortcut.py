"""A fast path for complete chunks of a streamed response, past Twisted's parser.

An engine writes each token as one chunk, and one socket read nearly always returns
exactly that chunk. The fast path delivers such a read directly and leaves everything
else (partial or multiple chunks, the end, trailers) to Twisted's parser, whose state
a complete chunk does not change. See docs/design/relay-cost.md.

It reads private attributes of Twisted's HTTP client. If they are missing, all data
goes through Twisted's parser; a test detects this.
"""

from collections.abc import Callable
from typing import Any

CHUNK_START_STATE = "CHUNK_LENGTH"
"""The state of Twisted's chunk decoder between two chunks."""

LINE_END = b"\r\n"
MAX_SIZE_LINE_BYTES = 9
FRAMING_BYTES = 2 * len(LINE_END)


class ChunkShortcut:
    """The fast path of one response, active from `take` to `leave`."""

    def __init__(self, deliver: Callable[[bytes], None]) -> None:
        """Pass the contents of complete chunks to `deliver`."""
        self._deliver = deliver
        self._protocol: Any = None
        self._decoder: Any = None
        self._parse: Callable[[bytes], None] = deliver
        self.is_taken = False

    def take(self, body_transport: Any) -> None:
        """Install the fast path on the transport of the response's body protocol."""
        connection = getattr(body_transport, "_producer", None)
        protocol: Any = getattr(connection, "protocol", None)
        client = getattr(protocol, "_wrappedProtocol", protocol)
        parser = getattr(client, "_parser", None)
        decoder = getattr(parser, "bodyDecoder", None)
        if not (hasattr(decoder, "state") and hasattr(decoder, "_buffer")):
            return
        self._protocol = protocol
        self._decoder = decoder
        self._parse = protocol.dataReceived
        protocol.dataReceived = self._data_received
        self.is_taken = True

    def leave(self) -> None:
        """Remove the fast path before the connection's next response."""
        if self.is_taken:
            self.is_taken = False
            del self._protocol.dataReceived

    def _data_received(self, data: bytes) -> None:
        decoder = self._decoder
        if decoder.state == CHUNK_START_STATE and not decoder._buffer:
            line_end = data.find(LINE_END, 0, MAX_SIZE_LINE_BYTES)
            content_size = len(data) - line_end - FRAMING_BYTES
            if (
                line_end > 0
                and content_size > 0
                and _parse_size(data[:line_end]) == content_size
                and data.endswith(LINE_END)
            ):
                self._deliver(data[line_end + 2 : -2])
                return
        self._parse(data)


def _parse_size(size_line: bytes) -> int:
    try:
        return int(size_line, 16)
    except ValueError:
        return -1
