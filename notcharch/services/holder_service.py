"""Gives the daemon's gateways slots of services' concurrency, under leases."""

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
    GiveSlot,
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

REQUEST_SECONDS = 2.0
TICK_SECONDS = 0.2


class Slot:
    """One slot in use; `release` must be called once, and may be again."""

    def __init__(self, service: "HolderService", holder: AllotmentHolder) -> None:
        """Begin the use."""
        self._service = service
        self._holder = holder
        self._began_at = service.seconds()
        self._released = False

    def may_start(self) -> bool:
        """Tell whether the lease still holds; look just before starting a run."""
        return self._holder.lease_valid(self._service.seconds())

    def release(self) -> None:
        """End the use."""
        if self._released:
            return
        self._released = True
        now = self._service.seconds()
        effects = self._holder.release(now - self._began_at, now)
        self._service.carry_out(self._holder, effects)


class HolderService:
    """The allotments that this daemon holds, for all services."""

    def __init__(
        self,
        *,
        network: PeerNetwork,
        router: Router,
        clock: IReactorTime,
        monotonic: Callable[[], float],
        partition_count: int,
    ) -> None:
        """Register the handler; `start` begins to renew."""
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
        """Begin to renew leases."""
        self._loop.start(TICK_SECONDS, now=False)

    def stop(self) -> None:
        """Renew no more; the leases lapse."""
        if self._loop.running:
            self._loop.stop()

    def seconds(self) -> float:
        """Give the time by the steady clock."""
        return self._monotonic()

    async def acquire(
        self, service: ServiceName, priority: int, give_up_seconds: float
    ) -> Result[Slot, Problem]:
        """Give a slot, or CONCURRENCY_EXHAUSTED or UNAVAILABLE with `retry_after`.

        Nothing was run when it fails. Cancelling the Deferred around this
        coroutine forgets the request.
        """
        holder = self._holders.get(service)
        if holder is None:
            holder = AllotmentHolder(service, self._next_number)
            self._holders[service] = holder
        ticket = self._next_number()
        answer: Deferred[Result[Slot, Problem]] = Deferred()
        self._waiting[ticket] = answer
        now = self.seconds()
        effects = holder.acquire(ticket, priority, now + give_up_seconds, now)
        self.carry_out(holder, effects)
        try:
            return await answer
        except CancelledError:
            self._waiting.pop(ticket, None)
            self.carry_out(holder, holder.withdraw(ticket, self.seconds()))
            raise

    def carry_out(self, holder: AllotmentHolder, effects: Effects) -> None:
        """Do what a holder decided."""
        for effect in effects:
            match effect:
                case GiveSlot():
                    self._answer(effect.ticket, Ok(Slot(self, holder)))
                case RefuseSlot():
                    self._answer(effect.ticket, Err(effect.problem))
                case SendRequest():
                    Deferred.fromCoroutine(self._request(holder, effect))

    def _answer(self, ticket: int, answer: Result[Slot, Problem]) -> None:
        waiter = self._waiting.pop(ticket, None)
        if waiter is not None:
            waiter.callback(answer)
        elif answer.is_ok():
            answer.unwrap().release()

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
            partition, message, REQUEST_SECONDS
        )
        reply = outcome.unwrap_or(None)
        now = self.seconds()
        if isinstance(reply, AllotmentGranted):
            effects = holder.replied(
                reply.number, reply.slots, reply.lease_seconds, now
            )
        else:
            problem = _problem_of(outcome)
            emit(AllotmentRequestFailed(holder.service, problem.code, problem.message))
            effects = holder.request_failed(effect.number, problem, now)
        self.carry_out(holder, effects)

    def _on_yield(self, sender: Member, message: Message) -> None:
        assert isinstance(message, YieldSlots)
        holder = self._holders.get(message.service)
        if holder is not None:
            self.carry_out(holder, holder.asked_to_yield(self.seconds()))

    def _tick(self) -> None:
        now = self.seconds()
        for service, holder in tuple(self._holders.items()):
            self.carry_out(holder, holder.tick(now))
            if holder.lapse_is_news(now):
                emit(LeaseLapsed(service, holder.running))
            if holder.idle:
                del self._holders[service]


def _problem_of(outcome: Result[Message, Problem]) -> Problem:
    if outcome.is_err():
        return outcome.unwrap_err()
    return Problem.of(ProblemCode.INTERNAL, "the limiter answered something else")
