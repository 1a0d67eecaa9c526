"""How long to wait for the answers of one kind of call before they count as lost.

As with retransmissions of TCP: a few times the last answer's time, within bounds, and
twice as long after each loss, so that a server that has turned slow is still heard.
"""

TIMES_THE_LAST = 4.0
"""An answer that takes so many times the last one is taken for lost."""
GROWTH = 2.0
"""Times the wait before, after each answer that was lost."""


class Patience:
    """The wait for one kind of call."""

    def __init__(self, least_seconds: float, most_seconds: float) -> None:
        """Begin with the least wait."""
        self._least_seconds = least_seconds
        self._most_seconds = most_seconds
        self.seconds = least_seconds
        """Wait so long for the next answer."""

    def answered(self, seconds: float) -> None:
        """Learn how long an answer took."""
        self._wait(TIMES_THE_LAST * seconds)

    def lost(self) -> None:
        """Wait longer after a wait in vain."""
        self._wait(self.seconds * GROWTH)

    def _wait(self, seconds: float) -> None:
        self.seconds = min(max(seconds, self._least_seconds), self._most_seconds)
