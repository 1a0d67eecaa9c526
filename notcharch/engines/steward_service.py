"""A daemon's stewardship of engines, and the handlers of steward requests."""

import random
from collections.abc import Callable
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import EnginePort
from notcharch.engines.engine_steward import EngineSteward, StewardDependencies
from notcharch.engines.periodic import PeriodicTask
from notcharch.engines.refusals import not_steward
from notcharch.engines.releases import Release
from notcharch.errors.problem import ProblemError
from notcharch.placement.interface import EngineDirectory, MembershipView, Router
from notcharch.placement.partitions import partition_of_engine
from notcharch.scheduling.calls import CallKey
from notcharch.settings.schema import EnginesSection
from notcharch.values.identifiers import EngineName, Member
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import (
    Acknowledged,
    CancelQueued,
    DrainEngine,
    EngineListing,
    EnqueueCall,
    GrantReturned,
    ListEngines,
    PrefixReleased,
    QuoteEngine,
    ReleasePrefix,
)
from notcharch.wire.messages.stewardship import (
    RecordDrain,
    StewardshipClaimed,
    StewardshipOffered,
    StewardshipTaken,
)
from notcharch.wire.peers import PeerNetwork

REFRESH_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 5.0

_M = TypeVar("_M", bound=Message)


class StewardService:
    """Stewards the engines that hashing assigns to this daemon."""

    def __init__(
        self,
        *,
        network: PeerNetwork,
        router: Router,
        directory: EngineDirectory,
        membership: MembershipView,
        engine_port: EnginePort,
        clock: IReactorTime,
        chance: random.Random,
        settings: EnginesSection,
        partition_count: int,
        knows_region: Callable[[], bool],
    ) -> None:
        """Register the handlers; `start` begins to steward.

        No engine is taken over while `knows_region` returns False: a new process
        that knows no other member would assign all engines to itself.
        """
        self._knows_region = knows_region
        self._own_member = network.own_member
        self._router = router
        self._directory = directory
        self._partition_count = partition_count
        self._engine_stewards: dict[EngineName, EngineSteward] = {}
        self._dependencies = StewardDependencies(
            router,
            membership,
            engine_port,
            clock,
            chance,
            settings,
            partition_count,
            network.own_member,
            network,
        )
        self._refresh_task = PeriodicTask(
            "stewarded engines", self._refresh_async, REFRESH_SECONDS, clock
        )
        self._running = False
        self._offered_engines: set[EngineName] = set()
        self._handover_waiters: list[Deferred[None]] = []
        directory.on_change(self.refresh)
        membership.on_change(self.refresh)
        network.on_request(EnqueueCall, self._on_enqueue)
        network.on_request(CancelQueued, self._on_cancel)
        network.on_request(GrantReturned, self._on_returned)
        network.on_request(QuoteEngine, self._on_quote)
        network.on_request(ReleasePrefix, self._on_release)
        network.on_request(DrainEngine, self._on_drain)
        network.on_request(ListEngines, self._on_list)
        network.on_notice(StewardshipOffered, self._on_offered)
        network.on_notice(StewardshipTaken, self._on_taken)

    def start(self) -> None:
        """Begin to steward the assigned engines."""
        self._running = True
        self._refresh_task.start()

    def stop(self) -> None:
        """Release every engine; waiting calls are redirected to the next steward."""
        self._running = False
        self._refresh_task.stop()
        for engine in tuple(self._engine_stewards):
            self._release_engine(engine)

    def is_steward_of(self, engine: EngineName) -> bool:
        """Return whether this daemon acts as the engine's steward."""
        return engine in self._engine_stewards

    def when_handed_over(self) -> "Deferred[None]":
        """Return a Deferred that fires when no handover is pending."""
        waiter: Deferred[None] = Deferred()
        self._handover_waiters.append(waiter)
        self._fire_if_handed_over()
        return waiter

    def refresh(self) -> None:
        """Take over newly assigned engines, and hand over reassigned ones."""
        if not self._running:
            return
        machines = {EngineName(m.name): m for m in self._directory.all_engines()}
        for engine in tuple(self._engine_stewards):
            if engine not in machines:
                self._release_engine(engine)
            elif self._is_local_steward(engine):
                self._offered_engines.discard(engine)
            else:
                self._hand_over(engine)
        self._fire_if_handed_over()
        for engine, machine in machines.items():
            engine_steward = self._engine_stewards.get(engine)
            if engine_steward is not None:
                engine_steward.learn_machine(machine)
            elif self._knows_region() and self._is_local_steward(engine):
                engine_steward = self._engine_stewards[engine] = EngineSteward(
                    machine, self._dependencies
                )
                engine_steward.start()

    async def _refresh_async(self) -> None:
        self.refresh()

    def _is_local_steward(self, engine: EngineName) -> bool:
        return self._router.steward_of(engine) == self._own_member.daemon

    def _may_take_over(self, engine: EngineName) -> bool:
        is_listed = self._directory.engine(engine) is not None
        return is_listed and self._knows_region() and self._is_local_steward(engine)

    def _hand_over(self, engine: EngineName) -> None:
        """Offer an engine to its successor, and serve it until that claims it."""
        successor = self._router.steward_of(engine)
        if successor is not None and self._engine_stewards[engine].offer(successor):
            self._offered_engines.add(engine)
        else:
            self._release_engine(engine)

    def _fire_if_handed_over(self) -> None:
        if self._offered_engines:
            return
        waiters, self._handover_waiters = self._handover_waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def _release_engine(self, engine: EngineName) -> None:
        self._offered_engines.discard(engine)
        engine_steward = self._engine_stewards.pop(engine)
        engine_steward.stop(not_steward(engine, self._router.steward_of(engine)))

    def _engine_steward(self, engine: EngineName) -> EngineSteward:
        """Return the local steward of an engine, or raise NOT_STEWARD with a hint."""
        if engine not in self._engine_stewards and self._may_take_over(engine):
            self.refresh()  # the region may have become known since the last refresh
        engine_steward = self._engine_stewards.get(engine)
        if engine_steward is None:
            steward = self._router.steward_of(engine)
            hint = steward if steward != self._own_member.daemon else None
            raise ProblemError(not_steward(engine, hint))
        refusal = engine_steward.refusal()
        if refusal is not None:
            raise ProblemError(refusal)
        return engine_steward

    def _on_offered(self, sender: Member, message: Message) -> None:
        notice = _expect(message, StewardshipOffered)
        if not self._running or not self._is_local_steward(notice.engine):
            return
        self.refresh()
        if notice.engine in self._engine_stewards:
            self._engine_stewards[notice.engine].claim_offered()

    def _on_taken(self, sender: Member, message: Message) -> None:
        notice = _expect(message, StewardshipTaken)
        if self._running and notice.engine in self._engine_stewards:
            self._engine_stewards[notice.engine].learn_superseding_claim(notice)
            self.refresh()

    async def _on_enqueue(self, sender: Member, message: Message) -> Message:
        request = _expect(message, EnqueueCall)
        return await self._engine_steward(request.engine).queue.enqueue(request)

    async def _on_cancel(self, sender: Member, message: Message) -> Message:
        request = _expect(message, CancelQueued)
        key = CallKey(request.program, request.sequence, request.attempt)
        if request.engine in self._engine_stewards:
            self._engine_stewards[request.engine].withdraw(key)
        self._engine_steward(request.engine)
        return Acknowledged()

    async def _on_returned(self, sender: Member, message: Message) -> Message:
        request = _expect(message, GrantReturned)
        engine_steward = self._engine_stewards.get(request.engine)
        if engine_steward is None or engine_steward.state.grant(request.grant) is None:
            engine_steward = self._engine_steward(request.engine)
        engine_steward.complete_grant(request)
        return Acknowledged()

    async def _on_quote(self, sender: Member, message: Message) -> Message:
        request = _expect(message, QuoteEngine)
        engine_steward = self._engine_steward(request.engine)
        return engine_steward.quote(request.program, request.prompt_tokens)

    async def _on_release(self, sender: Member, message: Message) -> Message:
        request = _expect(message, ReleasePrefix)
        engine_steward = self._engine_steward(request.engine)
        problem = await engine_steward.cache.release(
            Release(request.program, request.epoch)
        )
        if problem is not None:
            raise ProblemError(problem)
        return PrefixReleased()

    async def _on_drain(self, sender: Member, message: Message) -> Message:
        request = _expect(message, DrainEngine)
        engine_steward = self._engine_steward(request.engine)
        partition = partition_of_engine(request.engine, self._partition_count)
        outcome = await self._router.to_partition(
            partition,
            RecordDrain(request.engine, request.drain),
            REQUEST_TIMEOUT_SECONDS,
        )
        if outcome.is_err():
            raise ProblemError(outcome.unwrap_err())
        if isinstance(outcome.unwrap(), StewardshipClaimed):
            engine_steward.set_draining(request.drain)
        if not request.drain:
            ordered = await engine_steward.order_drain(False)
            if ordered.is_err():
                raise ProblemError(ordered.unwrap_err())
        return Acknowledged()

    async def _on_list(self, sender: Member, message: Message) -> Message:
        engine_stewards = [
            self._engine_stewards[engine] for engine in sorted(self._engine_stewards)
        ]
        return EngineListing(
            tuple(engine_steward.describe() for engine_steward in engine_stewards)
        )


def _expect(message: Message, message_type: type[_M]) -> _M:
    """Narrow a message to the type that its handler was registered for."""
    assert isinstance(message, message_type)
    return message
