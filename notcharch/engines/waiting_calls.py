"""The calls that wait for one engine, with their order and deadlines. No I/O."""

import heapq
from collections.abc import Callable

import msgspec

from notcharch.scheduling.calls import CallKey, Headroom, OrderPolicy, QueuedCall
from notcharch.scheduling.fair_queue import FairQueue
from notcharch.values.identifiers import Member
from notcharch.wire.messages.engines import EnqueueCall

EXPIRY_WAIT_FACTOR = 1.25
"""A queued call is refused early if its expected wait exceeds its remaining time
by this factor plus `EXPIRY_MARGIN_SECONDS`, as estimates fluctuate."""

EXPIRY_MARGIN_SECONDS = 1.0


class WaitingCall(msgspec.Struct, frozen=True):
    """A waiting call with its request and the deadline for its grant."""

    call: QueuedCall
    request: EnqueueCall
    deadline: float


class _Deadline(msgspec.Struct, frozen=True, order=True):
    """A heap entry; outdated entries of a key are skipped."""

    at: float
    key: CallKey


class WaitingCalls:
    """A fair queue with a deadline for each call."""

    def __init__(self, policy: OrderPolicy) -> None:
        """Start empty."""
        self._queue = FairQueue(policy)
        self._calls: dict[CallKey, WaitingCall] = {}
        self._deadlines: list[_Deadline] = []

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, key: CallKey) -> bool:
        return key in self._calls

    def gateways(self) -> frozenset[Member]:
        """Return every process with a waiting call."""
        return frozenset(w.request.gateway for w in self._calls.values())

    def add(self, waiting: WaitingCall) -> None:
        """Queue a call."""
        key = waiting.call.key
        self._calls[key] = waiting
        self._queue.enqueue(waiting.call)
        heapq.heappush(self._deadlines, _Deadline(waiting.deadline, key))

    def remove(self, key: CallKey) -> bool:
        """Remove a call; False if it is not waiting."""
        self._queue.cancel(key)
        return self._calls.pop(key, None) is not None

    def remove_all(self) -> tuple[CallKey, ...]:
        """Remove every call."""
        return self._remove_matching(lambda waiting: True)

    def remove_of(self, gateway: Member) -> tuple[CallKey, ...]:
        """Remove the calls of one process."""
        return self._remove_matching(lambda waiting: waiting.request.gateway == gateway)

    def grant(self, headroom: Headroom) -> WaitingCall | None:
        """Remove and return the next call, and charge its service."""
        call = self._queue.grant(headroom)
        return None if call is None else self._calls.pop(call.key)

    def correct_charge(self, call: QueuedCall, used_tokens: int) -> None:
        """Correct the charge of a granted call."""
        self._queue.correct_charge(call, used_tokens)

    def calls_ahead(self, call: QueuedCall) -> float:
        """Estimate the number of calls ahead of this one, which need not wait yet."""
        return self._queue.calls_ahead(call)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline, or None if no call waits."""
        while self._deadlines:
            first = self._deadlines[0]
            waiting = self._calls.get(first.key)
            if waiting is not None and waiting.deadline == first.at:
                return first.at
            heapq.heappop(self._deadlines)
        return None

    def remove_expired(self, now: float) -> tuple[CallKey, ...]:
        """Remove the calls whose deadline has passed."""
        expired: list[CallKey] = []
        while (at := self.next_deadline()) is not None and at <= now:
            key = heapq.heappop(self._deadlines).key
            self.remove(key)
            expired.append(key)
        return tuple(expired)

    def expected_to_expire(
        self, expected_wait: Callable[[float], float], now: float
    ) -> tuple[CallKey, ...]:
        """Return the calls that are not expected to be granted in time.

        `expected_wait` returns the seconds for a number of calls ahead.
        """
        first = self.next_deadline()
        longest_wait = expected_wait(len(self._calls))
        if first is None or not _will_expire(longest_wait, first - now):
            return ()
        return tuple(
            key
            for key, waiting in self._calls.items()
            if _will_expire(
                expected_wait(self._queue.calls_ahead(waiting.call)),
                waiting.deadline - now,
            )
        )

    def _remove_matching(
        self, predicate: Callable[[WaitingCall], bool]
    ) -> tuple[CallKey, ...]:
        keys = tuple(key for key, w in self._calls.items() if predicate(w))
        for key in keys:
            self.remove(key)
        return keys


def _will_expire(wait: float, remaining_seconds: float) -> bool:
    return wait > remaining_seconds * EXPIRY_WAIT_FACTOR + EXPIRY_MARGIN_SECONDS
