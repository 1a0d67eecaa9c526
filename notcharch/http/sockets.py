"""Socket options that detect unreachable peers."""

import socket
from typing import Any

USER_TIMEOUT_MILLISECONDS = 2000
"""A connection is closed if sent data stays unacknowledged for this time."""
KEEPALIVE_IDLE_SECONDS = 1
"""Idle time before the first keepalive probe."""
KEEPALIVE_INTERVAL_SECONDS = 1
"""Interval between two probes, in whole seconds as the kernel requires."""
KEEPALIVE_PROBES = 2
"""Unacknowledged probes that close a connection, after three seconds in total."""


def detect_dead_peer(transport: Any) -> None:
    """Close a TCP connection within seconds of its peer becoming unreachable."""
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
