"""Writes to a TCP connection at once, when nothing waits before it.

Twisted's `write` puts the bytes into a buffer, asks the poller for a turn, writes in
that turn and takes the request back: three system calls and a dispatch for each token
beside the `send` itself. A token goes out at once here; what the socket does not take
goes into Twisted's buffer as usual, with its back-pressure.
docs/design/relay-cost.md has the measurement.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.tcp import Connection


def eager_write(transport: Any) -> Callable[[bytes], None]:
    """Give a function that writes to `transport`, eagerly where it can.

    Only a plain TCP connection can; for any other the function is its `write`.
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
            # Full, or lost, which Twisted finds out in its own turn.
            sent = 0
        if sent < len(data):
            buffered_write(data[sent:])

    return write
