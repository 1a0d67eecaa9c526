"""Socket options that detect unreachable peers."""

import select
import socket
from typing import Any

from twisted.internet.tcp import Connection

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


def has_unread_bytes(transport: object) -> bool:
    """Return whether the peer has sent bytes that were not read yet."""
    if not isinstance(transport, Connection) or not transport.connected:
        return False
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return bool(transport.getHandle().recv(1, flags))
    except OSError:
        return False


def takes_bytes(transport: object) -> bool:
    """Return whether the socket would take more bytes for its peer now."""
    if not isinstance(transport, Connection) or not transport.connected:
        return False
    poller = select.poll()
    poller.register(transport.getHandle(), select.POLLOUT)
    return [events for _, events in poller.poll(0)] == [select.POLLOUT]
