"""A clock on which short delays pass at once and time-outs only when a test says so."""

from twisted.internet import reactor
from twisted.internet.task import Clock


class PatientClock(Clock):
    """Delays below `timeout_seconds` end in the reactor's next turn, and are kept."""

    def __init__(self, timeout_seconds: float):
        super().__init__()
        self._timeout_seconds = timeout_seconds
        self.delays: list[float] = []

    def callLater(self, when, what, *args, **keywords):  # noqa: N802
        if when >= self._timeout_seconds:
            return super().callLater(when, what, *args, **keywords)
        self.delays.append(when)
        reactor.callLater(0, self.advance, 0)
        return super().callLater(0, what, *args, **keywords)


class SplitClock(Clock):
    """Delays below `timeout_seconds` are real; time-outs pass when a test says so."""

    def __init__(self, timeout_seconds: float):
        super().__init__()
        self._timeout_seconds = timeout_seconds

    def callLater(self, when, what, *args, **keywords):  # noqa: N802
        if when >= self._timeout_seconds:
            return super().callLater(when, what, *args, **keywords)
        return reactor.callLater(when, what, *args, **keywords)
