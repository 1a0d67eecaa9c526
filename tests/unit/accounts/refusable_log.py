"""A log service that turns one daemon away while it serves the others."""

from result import Err
from twisted.internet.defer import Deferred

from emulator.services.partitioned_log import ANSWER_SECONDS
from notcharch.journal.interface import LogFault, LogProblem


class RefusableLog:
    """What one daemon sees of a log service."""

    def __init__(self, log, clock) -> None:
        self._log = log
        self._clock = clock
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
