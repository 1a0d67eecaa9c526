"""Bounds and times of the connections between daemons."""

import msgspec


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Times in seconds, sizes in bytes."""

    connect_seconds: float = 2.0
    """Time-out of connecting and of the handshake, each."""

    first_delay_seconds: float = 0.05
    max_delay_seconds: float = 2.0
    """The delay before dialling again doubles up to this, with jitter."""

    buffer_bytes: int = 64 * 1024 * 1024
    """What may wait for one peer; beyond it requests are refused unwritten."""

    silence_seconds: float = 3.0
    """While replies are awaited, a connection silent for this long is pinged, and
    closed when it stays silent for as long again."""

    open_answers: int = 20_000
    """Requests of one connection that may be under way here."""

    is_incarnation_rising: bool = True
    """Whether a later process of a peer surely has a higher incarnation. Where it may
    not, a lower one is let in when no connection to the other is left."""


DEFAULT_LIMITS = ConnectionLimits()
