"""Writes directly to a TCP socket when no earlier data is buffered.

Twisted's `write` buffers the bytes and registers with the poller, which costs three
system calls and a dispatch per token beside the `send` itself. Here a token is sent
immediately; what the socket does not accept goes into Twisted's buffer, with its
back-pressure. See docs/design/relay-cost.md.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.tcp import Connection


def eager_write(transport: Any) -> Callable[[bytes], None]:
    """Return a function that writes to `transport`, directly where possible.

    For anything but a plain TCP connection it is the transport's `write`.
    """
    buffered_write: Callable[[bytes], None] = transport.write
    if not isinstance(transport, Connection) or getattr(transport, "TLS", False):
        return buffered_write

    send: Callable[[bytes], int] = transport.getHandle().send

    def write(data: bytes) -> None:
        if transport._tempDataBuffer or transport.dataBuffer or not transport.connected:
            buffered_write(data)
            return
        try:
            sent = send(data)
        except OSError:
            # Full or disconnected; Twisted detects a disconnect when it writes.
            sent = 0
        if sent < len(data):
            buffered_write(data[sent:])

    return write
