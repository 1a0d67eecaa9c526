"""One daemon's allotment of one service's concurrency. Pure.

Slots are used only under a lease whose time is counted from when its request
was sent, and never more than the last request promised to stay below. When the
lease lapses, running calls go on and nothing new starts.
"""

from collections.abc import Callable

import msgspec
from sortedcontainers import SortedList

from notcharch.errors import Problem, ProblemCode
from notcharch.scheduling.waits import (
    MeanOccupancy,
    SlotLoad,
    expected_wait_seconds,
    retry_after_seconds,
)
from notcharch.services.demand import PeakDemand
from notcharch.values.identifiers import ServiceName

RENEW_FRACTION = 0.6
"""A lease is renewed when this part of it has passed: the rest is for retries."""

RETRY_SECONDS = 0.5
"""Time between requests while the limiter fails or gives too little."""

FAILURES_TO_REFUSE = 4
"""Failed requests in a row after which waiting callers are refused."""

DEFAULT_HOLD_SECONDS = 2.0
UNAVAILABLE_RETRY_SECONDS = 2.0


class GiveSlot(msgspec.Struct, frozen=True):
    """The waiting caller with this ticket has a slot now."""

    ticket: int


class RefuseSlot(msgspec.Struct, frozen=True):
    """The waiting caller with this ticket gets none."""

    ticket: int
    problem: Problem


class SendRequest(msgspec.Struct, frozen=True):
    """Ask the limiter; the reply goes to `replied` or `request_failed`."""

    number: int
    wanted: int
    held: int


HolderEffect = GiveSlot | RefuseSlot | SendRequest
Effects = tuple[HolderEffect, ...]


class _Waiter(msgspec.Struct, frozen=True, order=True):
    """A caller that waits; the lowest priority number and ticket go first."""

    priority: int
    ticket: int
    give_up_at: float


class _Outstanding(msgspec.Struct, frozen=True):
    """The one request without a reply."""

    number: int
    sent_at: float
    wanted: int
    held: int


class AllotmentHolder:
    """Slots in use, callers that wait, and the lease of one service."""

    def __init__(
        self, service: ServiceName, next_request_number: Callable[[], int]
    ) -> None:
        """Begin without a lease; request numbers grow over the whole process."""
        self.service = service
        self._next_request_number = next_request_number
        self._limit = 0
        """How many calls may run under the lease; never above the last promise."""
        self._lease_until = 0.0
        self._renew_at = 0.0
        self._running = 0
        self._waiting: SortedList[_Waiter] = SortedList()
        self._by_ticket: dict[int, _Waiter] = {}
        self._outstanding: _Outstanding | None = None
        self._counted = 0
        """How many slots the limiter counts for this holder, at most."""
        self._given_less = False
        """Whether the limiter's last reply gave less than was wanted."""
        self._ask_at = 0.0
        self._failures = 0
        self._lapse_told = False
        self._demand = PeakDemand()
        self._hold = MeanOccupancy()

    @property
    def running(self) -> int:
        """How many slots are in use."""
        return self._running

    @property
    def idle(self) -> bool:
        """Whether nothing of this service is left to remember."""
        busy = self._running or self._waiting or self._outstanding
        return not busy and self._counted == 0

    def lease_valid(self, now: float) -> bool:
        """Tell whether a call may start under the lease."""
        return now < self._lease_until

    def lapse_is_news(self, now: float) -> bool:
        """Tell once that the lease lapsed while calls ran under it."""
        lapsed = self._running > 0 and not self.lease_valid(now)
        news = lapsed and not self._lapse_told
        self._lapse_told = lapsed
        return news

    def acquire(
        self, ticket: int, priority: int, give_up_at: float, now: float
    ) -> Effects:
        """Ask for a slot; the answer may come later."""
        waiter = _Waiter(priority, ticket, give_up_at)
        self._waiting.add(waiter)
        self._by_ticket[ticket] = waiter
        given = self._give(now)
        refused = self._refuse_hopeless(waiter, now)
        return given + refused + self._request_if_due(now)

    def withdraw(self, ticket: int, now: float) -> Effects:
        """Forget a caller that is gone before it got a slot."""
        waiter = self._by_ticket.pop(ticket, None)
        if waiter is not None:
            self._waiting.remove(waiter)
        return ()

    def release(self, held_seconds: float, now: float) -> Effects:
        """Take a slot back that was in use for so long."""
        self._running -= 1
        self._hold.learn(held_seconds)
        return self._give(now) + self._request_if_due(now)

    def replied(
        self, number: int, slots: int, lease_seconds: float, now: float
    ) -> Effects:
        """Take the limiter's reply in; only the last request's counts."""
        sent = self._outstanding
        if sent is None or sent.number != number:
            return ()
        self._outstanding = None
        self._failures = 0
        self._limit = slots
        self._given_less = slots < sent.wanted
        self._counted = max(slots, sent.held)
        self._lease_until = sent.sent_at + lease_seconds
        self._renew_at = sent.sent_at + lease_seconds * RENEW_FRACTION
        self._ask_at = now + RETRY_SECONDS if slots <= sent.held else now
        return self._give(now) + self._request_if_due(now)

    def request_failed(self, number: int, problem: Problem, now: float) -> Effects:
        """Note that a request had no useful reply."""
        if self._outstanding is None or self._outstanding.number != number:
            return ()
        self._outstanding = None
        self._failures += 1
        self._ask_at = now + (problem.retry_after or RETRY_SECONDS)
        final = problem.is_code(ProblemCode.NOT_FOUND)
        if final or self._failures >= FAILURES_TO_REFUSE:
            return self._refuse_all(problem)
        return ()

    def asked_to_yield(self, now: float) -> Effects:
        """Tell the limiter at once what is really needed: others wait."""
        if self._counted == 0 or self._outstanding is not None:
            return ()
        return self._request(now)

    def tick(self, now: float) -> Effects:
        """Do what is due: refuse callers whose time is over, renew, return."""
        refused: list[HolderEffect] = []
        for waiter in [w for w in self._waiting if w.give_up_at <= now]:
            self.withdraw(waiter.ticket, now)
            refused.append(RefuseSlot(waiter.ticket, _exhausted(self._wait(0))))
        return tuple(refused) + self._give(now) + self._request_if_due(now)

    def _wanted(self, now: float) -> int:
        return self._demand.peak(self._running + len(self._waiting), now)

    def _give(self, now: float) -> Effects:
        given: list[HolderEffect] = []
        self._demand.learn(self._running + len(self._waiting), now)
        while self._waiting and self._may_start(now):
            waiter = self._waiting.pop(0)
            del self._by_ticket[waiter.ticket]
            self._running += 1
            given.append(GiveSlot(waiter.ticket))
        return tuple(given)

    def _may_start(self, now: float) -> bool:
        return self.lease_valid(now) and self._running < self._limit

    def _request_if_due(self, now: float) -> Effects:
        if self._outstanding is not None or now < self._ask_at:
            return ()
        return self._request(now) if self._request_due(now) else ()

    def _request_due(self, now: float) -> bool:
        wanted = self._wanted(now)
        if self._waiting and wanted > (self._limit if self.lease_valid(now) else 0):
            return True
        if wanted == 0 or self._counted > max(self._limit, self._running):
            return self._counted > 0
        return self._counted > 0 and now >= self._renew_at

    def _request(self, now: float) -> Effects:
        wanted = self._wanted(now)
        if not self.lease_valid(now):
            self._limit = 0
        self._limit = min(self._limit, wanted)
        held = max(self._limit, self._running)
        number = self._next_request_number()
        self._outstanding = _Outstanding(number, now, wanted, held)
        return (SendRequest(number, wanted, held),)

    def _wait(self, ahead: int) -> float:
        hold = self._hold.value(DEFAULT_HOLD_SECONDS)
        load = SlotLoad(max(1, self._limit), self._running, hold)
        return expected_wait_seconds(load, ahead)

    def _refuse_hopeless(self, waiter: _Waiter, now: float) -> Effects:
        """Refuse at once a caller that would wait longer than it may."""
        if waiter.ticket not in self._by_ticket or not self.lease_valid(now):
            return ()
        if self._limit == 0 or not self._given_less:
            return ()
        wait = self._wait(self._waiting.bisect_left(waiter))
        retry_after = retry_after_seconds(wait, waiter.give_up_at - now)
        if retry_after is None:
            return ()
        self.withdraw(waiter.ticket, now)
        return (RefuseSlot(waiter.ticket, _exhausted(retry_after)),)

    def _refuse_all(self, problem: Problem) -> Effects:
        tickets = tuple(self._by_ticket)
        self._waiting.clear()
        self._by_ticket.clear()
        retry_after = problem.retry_after or UNAVAILABLE_RETRY_SECONDS
        refusal = msgspec.structs.replace(problem, retry_after=retry_after)
        return tuple(RefuseSlot(ticket, refusal) for ticket in tickets)


def _exhausted(retry_after: float) -> Problem:
    return Problem.of(
        ProblemCode.CONCURRENCY_EXHAUSTED,
        "the service's concurrency is in use",
        retry_after=max(1.0, retry_after),
    )
