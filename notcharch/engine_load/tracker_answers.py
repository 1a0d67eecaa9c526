"""Which trackers answer, so that one that does not is not waited for each time. Pure."""

from collections.abc import Collection

MAX_UNANSWERED = 3
"""A tracker with so many unanswered requests in a row is not asked for a while."""
SILENT_SECONDS = 1.0
"""How long; then one more unanswered request is enough."""
REFUSED_SECONDS = 10.0
"""How long a daemon of an older build, which logs each refusal, gets no messages."""


class TrackerAnswers:
    """The trackers that did not answer."""

    def __init__(self) -> None:
        """Begin with trackers that are expected to answer."""
        self._unanswered: dict[str, int] = {}
        self._silent_until: dict[str, float] = {}
        self._refuses_until: dict[str, float] = {}

    def may_ask(self, tracker: str, now: float) -> bool:
        """Return whether a tracker is expected to answer."""
        return self._silent_until.get(tracker, now) <= now and self.may_notify(
            tracker, now
        )

    def may_notify(self, tracker: str, now: float) -> bool:
        """Return whether a tracker is expected to know the messages."""
        return self._refuses_until.get(tracker, now) <= now

    def answered(self, tracker: str) -> bool:
        """Record an answer; return whether the tracker was silent before."""
        self._refuses_until.pop(tracker, None)
        self._unanswered.pop(tracker, None)
        return self._silent_until.pop(tracker, None) is not None

    def unanswered(self, tracker: str, now: float) -> bool:
        """Record a missing answer; return whether the tracker becomes silent by it."""
        count = self._unanswered.get(tracker, 0) + 1
        self._unanswered[tracker] = count
        if count < MAX_UNANSWERED:
            return False
        was_silent = tracker in self._silent_until
        self._silent_until[tracker] = now + SILENT_SECONDS
        return not was_silent

    def refused(self, tracker: str, now: float) -> None:
        """Record that a tracker does not know the messages."""
        self._refuses_until[tracker] = now + REFUSED_SECONDS

    def keep(self, members: Collection[str]) -> None:
        """Forget the trackers that are no members any more."""
        for known in (self._unanswered, self._silent_until, self._refuses_until):
            for tracker in [name for name in known if name not in members]:
                del known[tracker]
