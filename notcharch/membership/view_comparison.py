"""When the hash of another's view is reason to exchange all records with it."""

EXCHANGE_SECONDS = 3.0
"""A view that for so long agreed with no other one is exchanged whole."""

EXCHANGE_QUIET_SECONDS = 5.0
"""Views that differ though nothing changed for so long are exchanged whole, also
when each agrees with a part of the others."""

JOIN_RETRY_SECONDS = 0.5
"""A process that has not exchanged yet asks so often at most."""


class ViewComparison:
    """Compares this process's view with those that it hears, over time."""

    def __init__(self) -> None:
        """Begin before the first exchange."""
        self.has_exchanged = False
        self._differs_since: float | None = None
        self._asked_at = float("-inf")

    def finish_exchange(self) -> None:
        """Note that the records of another member were taken in."""
        self.has_exchanged = True

    def is_exchange_due(
        self, own: int, other: int, changed_at: float, now: float
    ) -> bool:
        """Compare two hashes; a True is given once, and counts as asked.

        `changed_at` is when this process's own view last changed.
        """
        if other == own:
            # Both know the same members, as after an exchange.
            self.has_exchanged = True
            self._differs_since = None
            return False
        if self._differs_since is None:
            self._differs_since = now
        is_due = self._is_due(self._differs_since, changed_at, now)
        if is_due:
            self._asked_at = now
            self._differs_since = now
        return is_due

    def _is_due(self, differs_since: float, changed_at: float, now: float) -> bool:
        since_asked = now - self._asked_at
        if not self.has_exchanged:
            return since_asked >= JOIN_RETRY_SECONDS
        quiet = min(now - changed_at, since_asked)
        return (
            now - differs_since >= EXCHANGE_SECONDS or quiet >= EXCHANGE_QUIET_SECONDS
        )
