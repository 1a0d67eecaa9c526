"""Background work that no request waits for."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from notcharch.events.event import emit
from notcharch.events.programs import SweepFailed


def run_in_background(work: "Coroutine[Deferred[Any], Any, None]") -> None:
    """Run a coroutine; an exception is a bug and is reported as an event."""
    Deferred.fromCoroutine(work).addErrback(_report)


def _report(failure: Failure) -> None:
    emit(SweepFailed(repr(failure.value)))
