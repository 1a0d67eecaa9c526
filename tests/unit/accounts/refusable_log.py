"""A log service that can refuse the requests of a single daemon."""

from result import Err
from twisted.internet.defer import Deferred

from emulator.services.partitioned_log import ANSWER_SECONDS
from notcharch.journal.interface import LogFault, LogProblem


class RefusableLog:
    """One daemon's view of a log service; fails all requests while `is_refused`."""

    def __init__(self, log, clock) -> None:
        self._log = log
        self._clock = clock
        self.limits = log.limits
        self.is_refused = False

    def __getattr__(self, name):
        call = getattr(self._log, name)

        def called(*arguments):
            if not self.is_refused:
                return call(*arguments)
            refused: Deferred = Deferred()
            problem = Err(LogProblem(LogFault.NOT_DONE))
            self._clock.callLater(ANSWER_SECONDS, refused.callback, problem)
            return refused

        return called
