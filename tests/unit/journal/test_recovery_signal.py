"""Waits that end when the log service is available again."""

from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from notcharch.journal.interface import (
    LogFault,
    LogProblem,
)
from notcharch.journal.recovery_signal import STALE_SECONDS, RecoverySignal


def test_an_answer_that_comes_after_a_recovery_is_not_taken_twice():
    clock = Clock()
    recovery = RecoverySignal(clock)
    late: Deferred = Deferred()
    responses: list[object] = []
    recovery.guard(late).addCallback(responses.append)
    clock.advance(STALE_SECONDS)
    recovery.recovered()
    late.callback(Ok("late"))
    recovery.recovered()
    assert responses == [Err(LogProblem(LogFault.UNKNOWN))]


def test_a_call_that_was_just_sent_goes_on_through_a_recovery():
    clock = Clock()
    recovery = RecoverySignal(clock)
    sent: Deferred = Deferred()
    responses: list[object] = []
    recovery.guard(sent).addCallback(responses.append)
    recovery.recovered()
    assert responses == []
    sent.callback(Ok("done"))
    assert responses == [Ok("done")]
