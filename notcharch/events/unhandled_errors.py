"""Logs the exceptions that Twisted catches in the callbacks of its reactor.

Until somebody begins to log, Twisted writes them to stderr, which blocks the process once a
pipe that nobody reads is full, and keeps the last 200 with all objects of their frames.
"""

from typing import Any

from twisted.logger import ILogObserver, LogBeginner, globalLogBeginner
from twisted.python.failure import Failure
from zope.interface import implementer

from notcharch.events.event import emit
from notcharch.events.feed_faults import FeedFaults
from notcharch.events.memory import UnhandledError

CALLBACKS = "callbacks"
"""Names the callbacks of the reactor among the feeds whose faults are logged."""
MAX_TRACEBACK_LENGTH = 8 * 1024
"""The end of a longer traceback is logged, which names the exception."""


@implementer(ILogObserver)
class UnhandledErrors:
    """An observer of Twisted's log; the same error is logged once, and counted."""

    def __init__(self) -> None:
        """Start without errors."""
        self._faults = FeedFaults(CALLBACKS)

    def __call__(self, event: dict[str, Any]) -> None:
        """Take an event; those without a failure are left out."""
        failure = event.get("log_failure")
        if not isinstance(failure, Failure):
            return
        traceback = str(failure.getTraceback())[-MAX_TRACEBACK_LENGTH:]
        source = str(event.get("log_namespace", ""))
        if self._faults.is_new(traceback, source):
            emit(UnhandledError(source, failure.getErrorMessage(), traceback))


def log_unhandled_errors(beginner: LogBeginner = globalLogBeginner) -> None:
    """Have Twisted log to this process's output from now on."""
    beginner.beginLoggingTo(
        [UnhandledErrors()], discardBuffer=True, redirectStandardIO=False
    )
