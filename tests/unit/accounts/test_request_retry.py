"""Asking until an owner decides."""

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


class Asking:
    """A question whose answers are given by hand, one a try."""

    def __init__(self, *answers, wait_seconds=None) -> None:
        self.clock = Clock()
        self.answers = list(answers)
        self.tries = 0
        self.is_caller_waiting = True
        self.result = []
        head = RequestHead(b"POST", b"/", [])
        self.call = OpaqueCall("c", head, b"", 0.0, wait_seconds=wait_seconds)
        asking = request_until_decided(
            self.clock, self.call, lambda: self.is_caller_waiting, self.ask
        )
        asking.addCallback(self.result.append)

    def ask(self):
        self.tries += 1
        return succeed(self.answers.pop(0) if self.answers else None)


def test_the_first_decision_counts():
    asking = Asking(None, None, "yes", "no")
    assert asking.result == []
    asking.clock.pump([RETRY_INTERVAL_SECONDS] * 2)
    assert (asking.result, asking.tries) == (["yes"], 3)


@pytest.mark.parametrize("wait_seconds", [None, 2.0])
def test_nobody_is_asked_for_longer_than_a_call_may_wait(wait_seconds):
    asking = Asking(wait_seconds=wait_seconds)
    most = max_decision_wait_seconds(asking.call)
    assert most == (
        MAX_DECISION_WAIT_SECONDS
        if wait_seconds is None
        else 2 * MAX_DECISION_WAIT_SHARE
    )
    asking.clock.pump([0.01] * round(most / 0.01))
    assert asking.result == []
    asking.clock.pump([0.01] * 10)
    assert asking.result == [None]
    tries = asking.tries
    asking.clock.advance(5.0)
    assert asking.tries == tries


def test_nobody_is_asked_for_a_caller_who_left():
    asking = Asking()
    asking.is_caller_waiting = False
    asking.clock.advance(RETRY_INTERVAL_SECONDS)
    assert (asking.result, asking.tries) == ([None], 1)
