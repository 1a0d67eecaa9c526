"""Tests of retrying a request until an owner decides."""

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from notcharch.accounts.request_retry import (
    MAX_DECISION_WAIT_SECONDS,
    MAX_DECISION_WAIT_SHARE,
    RETRY_INTERVAL_SECONDS,
    max_decision_wait_seconds,
    request_until_decided,
)
from notcharch.calls.interface import OpaqueCall
from notcharch.http.messages import RequestHead


class RetriedRequest:
    """A request with one scripted decision for each attempt."""

    def __init__(self, *decisions, wait_seconds=None) -> None:
        self.clock = Clock()
        self.decisions = list(decisions)
        self.attempts = 0
        self.is_caller_waiting = True
        self.result = []
        head = RequestHead(b"POST", b"/", [])
        self.call = OpaqueCall("c", head, b"", 0.0, wait_seconds=wait_seconds)
        decision = request_until_decided(
            self.clock, self.call, lambda: self.is_caller_waiting, self.request
        )
        decision.addCallback(self.result.append)

    def request(self):
        self.attempts += 1
        return succeed(self.decisions.pop(0) if self.decisions else None)


def test_the_first_decision_counts():
    retried = RetriedRequest(None, None, "yes", "no")
    assert retried.result == []
    retried.clock.pump([RETRY_INTERVAL_SECONDS] * 2)
    assert (retried.result, retried.attempts) == (["yes"], 3)


@pytest.mark.parametrize("wait_seconds", [None, 2.0])
def test_nobody_is_asked_for_longer_than_a_call_may_wait(wait_seconds):
    retried = RetriedRequest(wait_seconds=wait_seconds)
    max_wait = max_decision_wait_seconds(retried.call)
    assert max_wait == (
        MAX_DECISION_WAIT_SECONDS
        if wait_seconds is None
        else 2 * MAX_DECISION_WAIT_SHARE
    )
    retried.clock.pump([0.01] * round(max_wait / 0.01))
    assert retried.result == []
    retried.clock.pump([0.01] * 10)
    assert retried.result == [None]
    attempts = retried.attempts
    retried.clock.advance(5.0)
    assert retried.attempts == attempts


def test_nobody_is_asked_for_a_caller_who_left():
    retried = RetriedRequest()
    retried.is_caller_waiting = False
    retried.clock.advance(RETRY_INTERVAL_SECONDS)
    assert (retried.result, retried.attempts) == ([None], 1)
