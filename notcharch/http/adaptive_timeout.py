"""An adaptive response timeout for one kind of request.

As with TCP retransmissions, the timeout is a multiple of the last response time, within
bounds, and doubles after each timeout, so that a server that has slowed down can still
respond in time.
"""

RESPONSE_TIME_FACTOR = 4.0
"""Timeout as a multiple of the last response time."""
BACKOFF_FACTOR = 2.0
"""Growth of the timeout after each timed-out request."""


class AdaptiveTimeout:
    """The current timeout for one kind of request."""

    def __init__(self, min_seconds: float, max_seconds: float) -> None:
        """Start with the minimum timeout."""
        self._min_seconds = min_seconds
        self._max_seconds = max_seconds
        self.seconds = min_seconds
        """The timeout for the next request."""

    def response_received(self, seconds: float) -> None:
        """Adapt the timeout to an observed response time."""
        self._set_timeout(RESPONSE_TIME_FACTOR * seconds)

    def timed_out(self) -> None:
        """Back off after a request timed out."""
        self._set_timeout(self.seconds * BACKOFF_FACTOR)

    def _set_timeout(self, seconds: float) -> None:
        self.seconds = min(max(seconds, self._min_seconds), self._max_seconds)
