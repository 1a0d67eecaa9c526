"""Socket options that find out silent peers."""

import socket
from typing import Any

USER_TIMEOUT_MILLISECONDS = 2000
"""A connection ends if sent bytes aren't acknowledged for so long."""
KEEPALIVE_IDLE_SECONDS = 1
"""Seconds without a byte before the first probe."""
KEEPALIVE_INTERVAL_SECONDS = 1
"""Seconds between two probes; the kernel takes whole ones."""
KEEPALIVE_PROBES = 2
"""Probes without an answer that end a connection: three seconds in all."""


def detect_dead_peer(transport: Any) -> None:
    """End a TCP connection within some seconds of its peer's machine going dark."""
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS
    )
