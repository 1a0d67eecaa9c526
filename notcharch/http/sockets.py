"""Socket options that find out silent peers."""

import socket
from typing import Any

UNACKED_MILLISECONDS = 2000
"""A connection ends if sent bytes aren't acknowledged for so long."""
PROBE_AFTER_SECONDS = 1
"""Seconds without a byte before the first probe."""
PROBE_EACH_SECONDS = 1
"""Seconds between two probes; the kernel takes whole ones."""
PROBES = 2
"""Probes without an answer that end a connection: three seconds in all."""


def detect_dead_peer(transport: Any) -> None:
    """End a TCP connection within some seconds of its peer's machine going dark."""
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EACH_SECONDS)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MILLISECONDS)
