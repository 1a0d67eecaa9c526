"""The steward role of a daemon: which engines are its own, and their requests."""

import random
from collections.abc import Callable
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import EnginePort
from notcharch.engines.engine_keeper import EngineKeeper, KeeperSurroundings
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
REQUEST_SECONDS = 5.0

_M = TypeVar("_M", bound=Message)


class StewardService:
    """Keeps the engines that hashing gives to this daemon, and answers for them."""

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

        No engine is taken over while `knows_region` says no: a fresh process that
        knows only itself would name itself for all of them.
        """
        self._knows_region = knows_region
        self._own_member = network.own_member
        self._router = router
        self._directory = directory
        self._partition_count = partition_count
        self._keepers: dict[EngineName, EngineKeeper] = {}
        self._surroundings = KeeperSurroundings(
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
        self._offered: set[EngineName] = set()
        self._handed_over: list[Deferred[None]] = []
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
        """Begin to steward."""
        self._running = True
        self._refresh_task.start()

    def stop(self) -> None:
        """Give every engine up; waiting calls are sent to the next steward."""
        self._running = False
        self._refresh_task.stop()
        for engine in tuple(self._keepers):
            self._give_up(engine)

    def is_steward_of(self, engine: EngineName) -> bool:
        """Tell whether this daemon acts as the engine's steward."""
        return engine in self._keepers

    def when_handed_over(self) -> "Deferred[None]":
        """Give a Deferred that fires when no engine waits for its next steward."""
        waiter: Deferred[None] = Deferred()
        self._handed_over.append(waiter)
        self._note_handed_over()
        return waiter

    def refresh(self) -> None:
        """Take over engines that are now this daemon's, hand over the others."""
        if not self._running:
            return
        machines = {EngineName(m.name): m for m in self._directory.all_engines()}
        for engine in tuple(self._keepers):
            if engine not in machines:
                self._give_up(engine)
            elif self._is_own(engine):
                self._offered.discard(engine)
            else:
                self._hand_over(engine)
        self._note_handed_over()
        for engine, machine in machines.items():
            keeper = self._keepers.get(engine)
            if keeper is not None:
                keeper.learn_machine(machine)
            elif self._knows_region() and self._is_own(engine):
                keeper = self._keepers[engine] = EngineKeeper(
                    machine, self._surroundings
                )
                keeper.start()

    async def _refresh_async(self) -> None:
        self.refresh()

    def _is_own(self, engine: EngineName) -> bool:
        return self._router.steward_of(engine) == self._own_member.daemon

    def _may_take(self, engine: EngineName) -> bool:
        is_listed = self._directory.engine(engine) is not None
        return is_listed and self._knows_region() and self._is_own(engine)

    def _hand_over(self, engine: EngineName) -> None:
        """Serve an engine until the daemon that hashing names has claimed it."""
        successor = self._router.steward_of(engine)
        if successor is not None and self._keepers[engine].offer(successor):
            self._offered.add(engine)
        else:
            self._give_up(engine)

    def _note_handed_over(self) -> None:
        if self._offered:
            return
        waiters, self._handed_over = self._handed_over, []
        for waiter in waiters:
            waiter.callback(None)

    def _give_up(self, engine: EngineName) -> None:
        self._offered.discard(engine)
        keeper = self._keepers.pop(engine)
        keeper.stop(not_steward(engine, self._router.steward_of(engine)))

    def _keeper(self, engine: EngineName) -> EngineKeeper:
        """Give the engine's keeper, or refuse with a hint to the steward."""
        if engine not in self._keepers and self._may_take(engine):
            self.refresh()  # the region may have become known since the last look
        keeper = self._keepers.get(engine)
        if keeper is None:
            steward = self._router.steward_of(engine)
            hint = steward if steward != self._own_member.daemon else None
            raise ProblemError(not_steward(engine, hint))
        refusal = keeper.refusal()
        if refusal is not None:
            raise ProblemError(refusal)
        return keeper

    def _on_offered(self, sender: Member, message: Message) -> None:
        offered = _expect(message, StewardshipOffered)
        if not self._running or not self._is_own(offered.engine):
            return
        self.refresh()
        if offered.engine in self._keepers:
            self._keepers[offered.engine].take_offer()

    def _on_taken(self, sender: Member, message: Message) -> None:
        taken = _expect(message, StewardshipTaken)
        if self._running and taken.engine in self._keepers:
            self._keepers[taken.engine].learn_taken(taken)
            self.refresh()

    async def _on_enqueue(self, sender: Member, message: Message) -> Message:
        request = _expect(message, EnqueueCall)
        return await self._keeper(request.engine).queue.enqueue(request)

    async def _on_cancel(self, sender: Member, message: Message) -> Message:
        request = _expect(message, CancelQueued)
        key = CallKey(request.program, request.sequence, request.attempt)
        if request.engine in self._keepers:
            self._keepers[request.engine].withdraw(key)
        self._keeper(request.engine)
        return Acknowledged()

    async def _on_returned(self, sender: Member, message: Message) -> Message:
        request = _expect(message, GrantReturned)
        keeper = self._keepers.get(request.engine)
        if keeper is None or keeper.state.grant(request.grant) is None:
            keeper = self._keeper(request.engine)
        keeper.take_back(request)
        return Acknowledged()

    async def _on_quote(self, sender: Member, message: Message) -> Message:
        request = _expect(message, QuoteEngine)
        keeper = self._keeper(request.engine)
        return keeper.quote(request.program, request.prompt_tokens)

    async def _on_release(self, sender: Member, message: Message) -> Message:
        request = _expect(message, ReleasePrefix)
        keeper = self._keeper(request.engine)
        problem = await keeper.cache.release(Release(request.program, request.epoch))
        if problem is not None:
            raise ProblemError(problem)
        return PrefixReleased()

    async def _on_drain(self, sender: Member, message: Message) -> Message:
        request = _expect(message, DrainEngine)
        keeper = self._keeper(request.engine)
        partition = partition_of_engine(request.engine, self._partition_count)
        outcome = await self._router.to_partition(
            partition, RecordDrain(request.engine, request.drain), REQUEST_SECONDS
        )
        if outcome.is_err():
            raise ProblemError(outcome.unwrap_err())
        if isinstance(outcome.unwrap(), StewardshipClaimed):
            keeper.set_draining(request.drain)
        if not request.drain:
            ordered = await keeper.order_drain(False)
            if ordered.is_err():
                raise ProblemError(ordered.unwrap_err())
        return Acknowledged()

    async def _on_list(self, sender: Member, message: Message) -> Message:
        keepers = [self._keepers[engine] for engine in sorted(self._keepers)]
        return EngineListing(tuple(keeper.describe() for keeper in keepers))


def _expect(message: Message, message_type: type[_M]) -> _M:
    """Narrow a message to the type its handler was registered for."""
    assert isinstance(message, message_type)
    return message
