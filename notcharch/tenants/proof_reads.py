"""How a daemon reads the table so that its proof for it stays young. Pure."""

HELD_PARTS = 5
"""A read of the table is held for one part in so many of the time in which a removed key
must stop working: proofs are then two parts old at most, and three are left to bear an
outage. Of 5 s that is 1 s, one call a second and daemon."""
QUICK_READS_A_SECOND = 5.0
"""Of all daemons together, so many reads of the table are not held. A held read proves for
the time when it was sent; so in an outage that strikes all, the freshest proof would be a
second old, and daemons would stop judging keys a second sooner. Daemons pass the freshest
proof on."""
READ_MARGIN_SECONDS = 0.3
"""An answer of the log service may take so long before peers are asked for their proof."""


def table_read_seconds(held_seconds: float, revoke_seconds: float | None) -> float:
    """Give how long the log service may hold a read of the table.

    `held_seconds` is the usual time. A held read proves that the table was the newest when
    it was sent, and the next proof comes when the next read returns. So a proof grows as
    old as two reads take, and must then have most of `revoke_seconds` left.
    """
    if revoke_seconds is None:
        return held_seconds
    return min(held_seconds, revoke_seconds / HELD_PARTS)


def own_proof_seconds(read_seconds: float, pause_seconds: float) -> float:
    """Give how old a proof grows while all reads of the table are answered."""
    return 2 * read_seconds + pause_seconds + READ_MARGIN_SECONDS


def quick_share(read_seconds: float, daemons: int) -> float:
    """Give the share of one daemon's reads of the table that are not held."""
    reads_a_second = QUICK_READS_A_SECOND / max(daemons, 1)
    return min(1.0, reads_a_second * read_seconds)
