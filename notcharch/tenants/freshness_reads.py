"""How a daemon reads the table so that its proof for it stays young. Pure."""

LONG_POLL_PARTS = 5
"""A read of the table is held for one part in so many of the time in which a removed key
must stop working: proofs are then two parts old at most, and three are left to bear an
outage. Of 5 s that is 1 s, one call a second and daemon."""
IMMEDIATE_READS_PER_SECOND = 5.0
"""Of all daemons together, so many reads of the table are not held. A held read proves for
the time when it was sent; so in an outage that strikes all, the freshest proof would be a
second old, and daemons would stop judging keys a second sooner. Daemons pass the freshest
proof on."""
RESPONSE_MARGIN_SECONDS = 0.3
"""An answer of the log service may take so long before peers are asked for their proof."""


def table_long_poll_seconds(
    long_poll_seconds: float, revoke_seconds: float | None
) -> float:
    """Give how long the log service may hold a read of the table.

    `long_poll_seconds` is the usual time. A held read proves that the table was the newest when
    it was sent, and the next proof comes when the next read returns. So a proof grows as
    old as two reads take, and must then have most of `revoke_seconds` left.
    """
    if revoke_seconds is None:
        return long_poll_seconds
    return min(long_poll_seconds, revoke_seconds / LONG_POLL_PARTS)


def max_confirmation_age(read_seconds: float, pause_seconds: float) -> float:
    """Give how old a proof grows while all reads of the table are answered."""
    return 2 * read_seconds + pause_seconds + RESPONSE_MARGIN_SECONDS


def immediate_read_share(read_seconds: float, daemons: int) -> float:
    """Give the share of one daemon's reads of the table that are not held."""
    reads_per_second = IMMEDIATE_READS_PER_SECOND / max(daemons, 1)
    return min(1.0, reads_per_second * read_seconds)
