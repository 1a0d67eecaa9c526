"""The combination of reactor interfaces that this package needs."""

from twisted.internet.interfaces import IReactorTCP, IReactorTime


class TimedReactor(IReactorTCP, IReactorTime):
    """A reactor with TCP connections and timers."""
