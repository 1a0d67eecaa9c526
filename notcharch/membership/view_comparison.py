"""Decides when a differing view hash of a peer calls for a full exchange of records."""

ISOLATED_DIVERGENCE_SECONDS = 3.0
"""A full exchange is due when the view matched no peer's for this long."""

QUIET_DIVERGENCE_SECONDS = 5.0
"""A full exchange is due when views differ although nothing changed for this long.

This covers a split where each view matches those of some other members.
"""

JOIN_RETRY_INTERVAL_SECONDS = 0.5
"""Minimum interval between requests before the first exchange."""


class ViewComparison:
    """Compares the local view hash with those of received datagrams, over time."""

    def __init__(self) -> None:
        """Start without an exchange."""
        self.has_exchanged = False
        self._differs_since: float | None = None
        self._requested_at = float("-inf")

    def finish_exchange(self) -> None:
        """Record that the records of another member were merged."""
        self.has_exchanged = True

    def is_exchange_due(
        self, local_hash: int, peer_hash: int, changed_at: float, now: float
    ) -> bool:
        """Compare two view hashes; True counts as a request and is not repeated at once.

        `changed_at` is when the local view last changed.
        """
        if peer_hash == local_hash:
            # Equal views are as good as a completed exchange.
            self.has_exchanged = True
            self._differs_since = None
            return False
        if self._differs_since is None:
            self._differs_since = now
        is_due = self._is_due(self._differs_since, changed_at, now)
        if is_due:
            self._requested_at = now
            self._differs_since = now
        return is_due

    def _is_due(self, differs_since: float, changed_at: float, now: float) -> bool:
        since_request = now - self._requested_at
        if not self.has_exchanged:
            return since_request >= JOIN_RETRY_INTERVAL_SECONDS
        quiet = min(now - changed_at, since_request)
        return (
            now - differs_since >= ISOLATED_DIVERGENCE_SECONDS
            or quiet >= QUIET_DIVERGENCE_SECONDS
        )
