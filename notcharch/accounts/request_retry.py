"""Retries requests to an owner until it decides, within the time that a call may wait."""

from collections.abc import Callable, Generator
from typing import Any, TypeVar

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.calls.interface import OpaqueCall

RETRY_INTERVAL_SECONDS = 0.06
"""Delay before a request is retried; longer than a takeover, which takes 8 to 31 ms once
the partition is assigned (docs/design/platform.md)."""
MAX_DECISION_WAIT_SECONDS = 1.4
MAX_DECISION_WAIT_SHARE = 0.45
"""A call without a decision is refused after this share of its caller's wait."""

Decision = TypeVar("Decision")


def max_decision_wait_seconds(call: OpaqueCall) -> float:
    """Return how long a call may wait for an owner's decision."""
    return limit_to_caller_wait(
        call, MAX_DECISION_WAIT_SECONDS, MAX_DECISION_WAIT_SHARE
    )


def limit_to_caller_wait(call: OpaqueCall, max_seconds: float, share: float) -> float:
    """Return `max_seconds`, or a share of the caller's wait if that is shorter."""
    if call.wait_seconds is None:
        return max_seconds
    return min(max_seconds, call.wait_seconds * share)


@inlineCallbacks
def request_until_decided(
    clock: IReactorTime,
    call: OpaqueCall,
    is_caller_waiting: Callable[[], bool],
    request: Callable[[], "Deferred[Decision | None]"],
    *,
    gives_up: Callable[[int], bool] = lambda _: False,
) -> Generator["Deferred[Any]", Any, Decision | None]:
    """Return the decision; None if there is none in time or the caller disconnected.

    `gives_up` returns whether to ask no more, by the number of requests so far.
    """
    until = call.arrived + max_decision_wait_seconds(call)
    requests = 0
    while is_caller_waiting():
        decision: Decision | None = yield request()
        if decision is not None:
            return decision
        requests += 1
        if clock.seconds() >= until or gives_up(requests):
            break
        yield deferLater(clock, RETRY_INTERVAL_SECONDS, lambda: None)
    return None
