"""The requests that wait for one engine: their order and their deadlines. Pure."""

import heapq
from collections.abc import Callable

import msgspec

from notcharch.scheduling.calls import CallKey, Headroom, OrderPolicy, QueuedCall
from notcharch.scheduling.fair_queue import FairQueue
from notcharch.values.identifiers import Member
from notcharch.wire.messages.engines import EnqueueCall

HOPELESS_FACTOR = 1.25
"""A waiting call is refused early if its wait is this much above what is left:
estimates move, and a call that was let in should not be put out by noise."""

HOPELESS_MARGIN_SECONDS = 1.0


class WaitingCall(msgspec.Struct, frozen=True):
    """A waiting call with its request, and when it is given up."""

    call: QueuedCall
    request: EnqueueCall
    give_up_at: float


class _Deadline(msgspec.Struct, frozen=True, order=True):
    """An entry of the heap of deadlines; old entries of a key are skipped."""

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
        """Give every process that waits."""
        return frozenset(w.request.gateway for w in self._calls.values())

    def add(self, waiting: WaitingCall) -> None:
        """Queue a call."""
        key = waiting.call.key
        self._calls[key] = waiting
        self._queue.enqueue(waiting.call)
        heapq.heappush(self._deadlines, _Deadline(waiting.give_up_at, key))

    def remove(self, key: CallKey) -> bool:
        """Take a call out; False if it does not wait."""
        self._queue.cancel(key)
        return self._calls.pop(key, None) is not None

    def remove_all(self) -> tuple[CallKey, ...]:
        """Take every call out."""
        return self._remove(lambda waiting: True)

    def remove_of(self, gateway: Member) -> tuple[CallKey, ...]:
        """Take the calls of one process out."""
        return self._remove(lambda waiting: waiting.request.gateway == gateway)

    def grant(self, room: Headroom) -> WaitingCall | None:
        """Take out the call that goes next, and charge its service."""
        call = self._queue.grant(room)
        return None if call is None else self._calls.pop(call.key)

    def settle(self, call: QueuedCall, used_tokens: int) -> None:
        """Correct the charge of a granted call."""
        self._queue.correct_charge(call, used_tokens)

    def calls_ahead(self, call: QueuedCall) -> float:
        """Estimate how many calls go before this one, waiting or not."""
        return self._queue.calls_ahead(call)

    def next_deadline(self) -> float | None:
        """Give the time of the next call to be given up, if any waits."""
        while self._deadlines:
            first = self._deadlines[0]
            waiting = self._calls.get(first.key)
            if waiting is not None and waiting.give_up_at == first.at:
                return first.at
            heapq.heappop(self._deadlines)
        return None

    def remove_expired(self, now: float) -> tuple[CallKey, ...]:
        """Take out the calls whose time is over."""
        expired: list[CallKey] = []
        while (at := self.next_deadline()) is not None and at <= now:
            key = heapq.heappop(self._deadlines).key
            self.remove(key)
            expired.append(key)
        return tuple(expired)

    def hopeless(
        self, expected_wait: Callable[[float], float], now: float
    ) -> tuple[CallKey, ...]:
        """Give the calls that will not be granted in time, as is known now.

        `expected_wait` gives seconds for a number of calls ahead.
        """
        first = self.next_deadline()
        whole = expected_wait(len(self._calls))
        if first is None or not _is_hopeless(whole, first - now):
            return ()
        return tuple(
            key
            for key, waiting in self._calls.items()
            if _is_hopeless(
                expected_wait(self._queue.calls_ahead(waiting.call)),
                waiting.give_up_at - now,
            )
        )

    def _remove(self, chosen: Callable[[WaitingCall], bool]) -> tuple[CallKey, ...]:
        keys = tuple(key for key, w in self._calls.items() if chosen(w))
        for key in keys:
            self.remove(key)
        return keys


def _is_hopeless(wait: float, left: float) -> bool:
    return wait > left * HOPELESS_FACTOR + HOPELESS_MARGIN_SECONDS
