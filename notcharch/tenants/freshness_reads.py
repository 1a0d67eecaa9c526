"""The timing of a daemon's reads of the table, which keeps it confirmed. Pure."""

LONG_POLL_PARTS = 5
"""A long poll of the table lasts at most the time in which a revoked key must stop
working, divided by this number. Confirmations become at most two such parts old,
which leaves three for an outage. For 5 s that is a poll of 1 s."""
IMMEDIATE_READS_PER_SECOND = 5.0
"""Rate of reads, over all daemons, that return immediately instead of long polling. A
long poll confirms the table for the time at which it was sent, so in a common outage
the freshest confirmation would be a second older without these reads, and daemons would
stop checking keys a second earlier. Daemons exchange the freshest one."""
RESPONSE_MARGIN_SECONDS = 0.3
"""How long a response of the log service may take before a peer is asked."""


def table_long_poll_seconds(
    long_poll_seconds: float, revoke_seconds: float | None
) -> float:
    """Return the duration of a long poll of the table.

    `long_poll_seconds` is the usual duration. A long poll confirms the table for the
    time at which it was sent, and the next confirmation arrives with the next response.
    So a confirmation becomes as old as two long polls, when most of `revoke_seconds`
    must remain.
    """
    if revoke_seconds is None:
        return long_poll_seconds
    return min(long_poll_seconds, revoke_seconds / LONG_POLL_PARTS)


def max_confirmation_age(read_seconds: float, pause_seconds: float) -> float:
    """Return the maximum age of a confirmation while all reads succeed."""
    return 2 * read_seconds + pause_seconds + RESPONSE_MARGIN_SECONDS


def immediate_read_share(read_seconds: float, daemons: int) -> float:
    """Return the share of a daemon's reads that return immediately."""
    reads_per_second = IMMEDIATE_READS_PER_SECOND / max(daemons, 1)
    return min(1.0, reads_per_second * read_seconds)
