"""Grants a daemon's gateways slots of services' concurrency, under leases."""

import itertools
from collections.abc import Callable

from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from notcharch.errors import Problem, ProblemCode
from notcharch.events.event import emit
from notcharch.events.services import AllotmentRequestFailed, LeaseLapsed
from notcharch.placement.interface import Router
from notcharch.placement.partitions import partition_of_service
from notcharch.services.holder import (
    AllotmentHolder,
    Effects,
    GrantSlot,
    RefuseSlot,
    SendRequest,
)
from notcharch.values.identifiers import Member, ServiceName
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.services import (
    AllotmentGranted,
    RequestAllotment,
    YieldSlots,
)
from notcharch.wire.peers import PeerNetwork

REQUEST_TIMEOUT_SECONDS = 2.0
TICK_INTERVAL_SECONDS = 0.2


class Slot:
    """A slot in use; `release` must be called and is idempotent."""

    def __init__(self, service: "HolderService", holder: AllotmentHolder) -> None:
        """Start the use of a slot."""
        self._service = service
        self._holder = holder
        self._started_at = service.seconds()
        self._released = False

    def may_start(self) -> bool:
        """Return whether the lease is valid; check just before starting a run."""
        return self._holder.is_lease_valid(self._service.seconds())

    def release(self) -> None:
        """Free the slot."""
        if self._released:
            return
        self._released = True
        now = self._service.seconds()
        effects = self._holder.release(now - self._started_at, now)
        self._service.apply_effects(self._holder, effects)


class HolderService:
    """This daemon's allotments of all services."""

    def __init__(
        self,
        *,
        network: PeerNetwork,
        router: Router,
        clock: IReactorTime,
        monotonic: Callable[[], float],
        partition_count: int,
    ) -> None:
        """Register the handler; `start` begins to renew leases."""
        self._own_member: Member = network.own_member
        self._router = router
        self._monotonic = monotonic
        self._partition_count = partition_count
        self._holders: dict[ServiceName, AllotmentHolder] = {}
        self._next_number = itertools.count(1).__next__
        self._waiting: dict[int, Deferred[Result[Slot, Problem]]] = {}
        self._loop = LoopingCall(self._tick)
        self._loop.clock = clock
        network.on_notice(YieldSlots, self._on_yield)

    def start(self) -> None:
        """Start renewing leases."""
        self._loop.start(TICK_INTERVAL_SECONDS, now=False)

    def stop(self) -> None:
        """Stop renewing, so that the leases expire."""
        if self._loop.running:
            self._loop.stop()

    def seconds(self) -> float:
        """Return the time of the monotonic clock."""
        return self._monotonic()

    async def acquire(
        self, service: ServiceName, priority: int, give_up_seconds: float
    ) -> Result[Slot, Problem]:
        """Return a slot, or CONCURRENCY_EXHAUSTED or UNAVAILABLE with `retry_after`.

        On failure, nothing was run. Cancelling the Deferred around this
        coroutine withdraws the request.
        """
        holder = self._holders.get(service)
        if holder is None:
            holder = AllotmentHolder(service, self._next_number)
            self._holders[service] = holder
        ticket = self._next_number()
        pending: Deferred[Result[Slot, Problem]] = Deferred()
        self._waiting[ticket] = pending
        now = self.seconds()
        effects = holder.acquire(ticket, priority, now + give_up_seconds, now)
        self.apply_effects(holder, effects)
        try:
            return await pending
        except CancelledError:
            self._waiting.pop(ticket, None)
            self.apply_effects(holder, holder.withdraw(ticket, self.seconds()))
            raise

    def apply_effects(self, holder: AllotmentHolder, effects: Effects) -> None:
        """Carry out a holder's effects."""
        for effect in effects:
            match effect:
                case GrantSlot():
                    self._resolve(effect.ticket, Ok(Slot(self, holder)))
                case RefuseSlot():
                    self._resolve(effect.ticket, Err(effect.problem))
                case SendRequest():
                    Deferred.fromCoroutine(self._request(holder, effect))

    def _resolve(self, ticket: int, result: Result[Slot, Problem]) -> None:
        waiter = self._waiting.pop(ticket, None)
        if waiter is not None:
            waiter.callback(result)
        elif result.is_ok():
            result.unwrap().release()

    async def _request(self, holder: AllotmentHolder, effect: SendRequest) -> None:
        message = RequestAllotment(
            holder.service,
            self._own_member,
            effect.number,
            effect.wanted,
            effect.held,
        )
        partition = partition_of_service(holder.service, self._partition_count)
        outcome: Result[Message, Problem] = await self._router.to_partition(
            partition, message, REQUEST_TIMEOUT_SECONDS
        )
        reply = outcome.unwrap_or(None)
        now = self.seconds()
        if isinstance(reply, AllotmentGranted):
            effects = holder.on_reply(
                reply.number, reply.slots, reply.lease_seconds, now
            )
        else:
            problem = _problem_of(outcome)
            emit(AllotmentRequestFailed(holder.service, problem.code, problem.message))
            effects = holder.on_request_failed(effect.number, problem, now)
        self.apply_effects(holder, effects)

    def _on_yield(self, sender: Member, message: Message) -> None:
        assert isinstance(message, YieldSlots)
        holder = self._holders.get(message.service)
        if holder is not None:
            self.apply_effects(holder, holder.on_yield_requested(self.seconds()))

    def _tick(self) -> None:
        now = self.seconds()
        for service, holder in tuple(self._holders.items()):
            self.apply_effects(holder, holder.tick(now))
            if holder.report_expiry_once(now):
                emit(LeaseLapsed(service, holder.running))
            if holder.is_idle:
                del self._holders[service]


def _problem_of(outcome: Result[Message, Problem]) -> Problem:
    if outcome.is_err():
        return outcome.unwrap_err()
    return Problem.of(ProblemCode.INTERNAL, "the limiter sent an unexpected reply")
