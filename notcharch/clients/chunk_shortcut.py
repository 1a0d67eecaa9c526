"""A short way for whole chunks of a streamed reply, past Twisted's reply parser.

An engine writes each token as one chunk, and nearly always one read of the socket
gives exactly that chunk. Twisted then goes through seven calls and a state machine to
hand it on. The shortcut hands such a read on at once, and leaves everything else
(parts of a chunk, several chunks, the end, trailers) to Twisted's parser, whose state
a whole chunk does not change. docs/design/relay-cost.md has the measurement.

This reads private attributes of Twisted's HTTP client. Where they are not as expected
the shortcut is not taken, and everything works as without it; a test tells.
"""

from collections.abc import Callable
from typing import Any

CHUNK_BEGINS = "CHUNK_LENGTH"
"""The state of Twisted's chunk decoder between two chunks."""

LINE_END = b"\r\n"
LONGEST_SIZE_LINE = 9
FRAMING_BYTES = 2 * len(LINE_END)


class ChunkShortcut:
    """The shortcut of one reply, from `take` to `leave`."""

    def __init__(self, deliver: Callable[[bytes], None]) -> None:
        """Hand the contents of whole chunks to `deliver`."""
        self._deliver = deliver
        self._protocol: Any = None
        self._decoder: Any = None
        self._parse: Callable[[bytes], None] = deliver
        self.is_taken = False

    def take(self, body_transport: Any) -> None:
        """Begin, given the transport of the reply's body protocol."""
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
        """End: the connection goes on to its next reply."""
        if self.is_taken:
            self.is_taken = False
            del self._protocol.dataReceived

    def _data_received(self, data: bytes) -> None:
        decoder = self._decoder
        if decoder.state == CHUNK_BEGINS and not decoder._buffer:
            line_end = data.find(LINE_END, 0, LONGEST_SIZE_LINE)
            content_size = len(data) - line_end - FRAMING_BYTES
            if (
                line_end > 0
                and content_size > 0
                and _number(data[:line_end]) == content_size
                and data.endswith(LINE_END)
            ):
                self._deliver(data[line_end + 2 : -2])
                return
        self._parse(data)


def _number(size_line: bytes) -> int:
    try:
        return int(size_line, 16)
    except ValueError:
        return -1
