"""The reactor as this package uses it: TCP and time in one."""

from twisted.internet.interfaces import IReactorTCP, IReactorTime


class TimedReactor(IReactorTCP, IReactorTime):
    """A reactor with connections and timers."""
