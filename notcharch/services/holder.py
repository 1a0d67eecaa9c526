"""One daemon's allotment of one service's concurrency. No I/O.

Slots are used only under a lease, whose term counts from when its request was
sent, and never more than the `held` of the last request. After the lease expires,
running calls continue but no new calls start.
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
"""Fraction of a lease's term after which it is renewed, to leave time for retries."""

RETRY_INTERVAL_SECONDS = 0.5
"""Interval of requests while the limiter fails or grants too few slots."""

REFUSE_AFTER_FAILURES = 4
"""Consecutive failed requests after which waiting callers are refused."""

DEFAULT_OCCUPANCY_SECONDS = 2.0
UNAVAILABLE_RETRY_SECONDS = 2.0


class GrantSlot(msgspec.Struct, frozen=True):
    """Grants a slot to the waiting caller with this ticket."""

    ticket: int


class RefuseSlot(msgspec.Struct, frozen=True):
    """Refuses the waiting caller with this ticket."""

    ticket: int
    problem: Problem


class SendRequest(msgspec.Struct, frozen=True):
    """Sends a request; its outcome goes to `on_reply` or `on_request_failed`."""

    number: int
    wanted: int
    held: int


HolderEffect = GrantSlot | RefuseSlot | SendRequest
Effects = tuple[HolderEffect, ...]


class _Waiter(msgspec.Struct, frozen=True, order=True):
    """A waiting caller, ordered by priority number, then by ticket."""

    priority: int
    ticket: int
    deadline: float


class _RequestInFlight(msgspec.Struct, frozen=True):
    """The request in flight, of which there is at most one."""

    number: int
    sent_at: float
    wanted: int
    held: int


class AllotmentHolder:
    """Slots in use, waiting callers and the lease of one service."""

    def __init__(
        self, service: ServiceName, next_request_number: Callable[[], int]
    ) -> None:
        """Start without a lease; request numbers increase across the process."""
        self.service = service
        self._next_request_number = next_request_number
        self._limit = 0
        """The maximum of running calls; at most the `held` of the last request."""
        self._lease_until = 0.0
        self._renew_at = 0.0
        self._running = 0
        self._waiting: SortedList[_Waiter] = SortedList()
        self._waiters_by_ticket: dict[int, _Waiter] = {}
        self._in_flight: _RequestInFlight | None = None
        self._counted = 0
        """Upper bound of the slots that the limiter counts for this holder."""
        self._granted_less = False
        """Whether the limiter last granted fewer slots than were wanted."""
        self._next_request_at = 0.0
        self._failures = 0
        self._is_expiry_reported = False
        self._demand = PeakDemand()
        self._occupancy = MeanOccupancy()

    @property
    def running(self) -> int:
        """The number of slots in use."""
        return self._running

    @property
    def is_idle(self) -> bool:
        """Whether no slot, caller, request or counted slot remains."""
        is_active = self._running or self._waiting or self._in_flight
        return not is_active and self._counted == 0

    def is_lease_valid(self, now: float) -> bool:
        """Return whether a call may start under the lease."""
        return now < self._lease_until

    def report_expiry_once(self, now: float) -> bool:
        """Return True once per expiry of the lease under running calls."""
        is_expired = self._running > 0 and not self.is_lease_valid(now)
        is_unreported = is_expired and not self._is_expiry_reported
        self._is_expiry_reported = is_expired
        return is_unreported

    def acquire(
        self, ticket: int, priority: int, deadline: float, now: float
    ) -> Effects:
        """Request a slot, which may be granted later."""
        waiter = _Waiter(priority, ticket, deadline)
        self._waiting.add(waiter)
        self._waiters_by_ticket[ticket] = waiter
        granted = self._grant_ready(now)
        refused = self._refuse_if_too_late(waiter, now)
        return granted + refused + self._request_if_due(now)

    def withdraw(self, ticket: int, now: float) -> Effects:
        """Remove a caller that disconnected before it got a slot."""
        waiter = self._waiters_by_ticket.pop(ticket, None)
        if waiter is not None:
            self._waiting.remove(waiter)
        return ()

    def release(self, occupied_seconds: float, now: float) -> Effects:
        """Free a slot that was in use for `occupied_seconds`."""
        self._running -= 1
        self._occupancy.learn(occupied_seconds)
        return self._grant_ready(now) + self._request_if_due(now)

    def on_reply(
        self, number: int, slots: int, lease_seconds: float, now: float
    ) -> Effects:
        """Apply the limiter's reply, unless it is to an earlier request."""
        request = self._in_flight
        if request is None or request.number != number:
            return ()
        self._in_flight = None
        self._failures = 0
        self._limit = slots
        self._granted_less = slots < request.wanted
        self._counted = max(slots, request.held)
        self._lease_until = request.sent_at + lease_seconds
        self._renew_at = request.sent_at + lease_seconds * RENEW_FRACTION
        self._next_request_at = (
            now + RETRY_INTERVAL_SECONDS if slots <= request.held else now
        )
        return self._grant_ready(now) + self._request_if_due(now)

    def on_request_failed(self, number: int, problem: Problem, now: float) -> Effects:
        """Record a failed request, and refuse callers after repeated failures."""
        if self._in_flight is None or self._in_flight.number != number:
            return ()
        self._in_flight = None
        self._failures += 1
        self._next_request_at = now + (problem.retry_after or RETRY_INTERVAL_SECONDS)
        final = problem.is_code(ProblemCode.NOT_FOUND)
        if final or self._failures >= REFUSE_AFTER_FAILURES:
            return self._refuse_all(problem)
        return ()

    def on_yield_requested(self, now: float) -> Effects:
        """Renew immediately with the current demand, as other holders wait."""
        if self._counted == 0 or self._in_flight is not None:
            return ()
        return self._request(now)

    def tick(self, now: float) -> Effects:
        """Refuse callers whose deadline has passed; renew or return slots if due."""
        refused: list[HolderEffect] = []
        for waiter in [w for w in self._waiting if w.deadline <= now]:
            self.withdraw(waiter.ticket, now)
            refused.append(
                RefuseSlot(waiter.ticket, _exhausted(self._expected_wait(0)))
            )
        return tuple(refused) + self._grant_ready(now) + self._request_if_due(now)

    def _wanted(self, now: float) -> int:
        return self._demand.peak(self._running + len(self._waiting), now)

    def _grant_ready(self, now: float) -> Effects:
        granted: list[HolderEffect] = []
        self._demand.learn(self._running + len(self._waiting), now)
        while self._waiting and self._may_start(now):
            waiter = self._waiting.pop(0)
            del self._waiters_by_ticket[waiter.ticket]
            self._running += 1
            granted.append(GrantSlot(waiter.ticket))
        return tuple(granted)

    def _may_start(self, now: float) -> bool:
        return self.is_lease_valid(now) and self._running < self._limit

    def _request_if_due(self, now: float) -> Effects:
        if self._in_flight is not None or now < self._next_request_at:
            return ()
        return self._request(now) if self._is_request_due(now) else ()

    def _is_request_due(self, now: float) -> bool:
        wanted = self._wanted(now)
        if self._waiting and wanted > (self._limit if self.is_lease_valid(now) else 0):
            return True
        if wanted == 0 or self._counted > max(self._limit, self._running):
            return self._counted > 0
        return self._counted > 0 and now >= self._renew_at

    def _request(self, now: float) -> Effects:
        wanted = self._wanted(now)
        if not self.is_lease_valid(now):
            self._limit = 0
        self._limit = min(self._limit, wanted)
        held = max(self._limit, self._running)
        number = self._next_request_number()
        self._in_flight = _RequestInFlight(number, now, wanted, held)
        return (SendRequest(number, wanted, held),)

    def _expected_wait(self, ahead: int) -> float:
        occupancy = self._occupancy.value(DEFAULT_OCCUPANCY_SECONDS)
        load = SlotLoad(max(1, self._limit), self._running, occupancy)
        return expected_wait_seconds(load, ahead)

    def _refuse_if_too_late(self, waiter: _Waiter, now: float) -> Effects:
        """Refuse a caller that is not expected to get a slot before its deadline."""
        if waiter.ticket not in self._waiters_by_ticket or not self.is_lease_valid(now):
            return ()
        if self._limit == 0 or not self._granted_less:
            return ()
        wait = self._expected_wait(self._waiting.bisect_left(waiter))
        retry_after = retry_after_seconds(wait, waiter.deadline - now)
        if retry_after is None:
            return ()
        self.withdraw(waiter.ticket, now)
        return (RefuseSlot(waiter.ticket, _exhausted(retry_after)),)

    def _refuse_all(self, problem: Problem) -> Effects:
        tickets = tuple(self._waiters_by_ticket)
        self._waiting.clear()
        self._waiters_by_ticket.clear()
        retry_after = problem.retry_after or UNAVAILABLE_RETRY_SECONDS
        refusal = msgspec.structs.replace(problem, retry_after=retry_after)
        return tuple(RefuseSlot(ticket, refusal) for ticket in tickets)


def _exhausted(retry_after: float) -> Problem:
    return Problem.of(
        ProblemCode.CONCURRENCY_EXHAUSTED,
        "the service's concurrency is in use",
        retry_after=max(1.0, retry_after),
    )
