"""The decisions of one engine's steward: queue, grants, refusals. Pure.

Every method takes the time and gives the answers that are due; the service
beside it holds the requests open and sends the answers.
"""

import msgspec

from notcharch.clients.ports import EngineLoad
from notcharch.engines import refusals
from notcharch.engines.engine_load import KnownLoad
from notcharch.engines.grants import Grant, GrantTable
from notcharch.engines.waiting_calls import WaitingCall, WaitingCalls
from notcharch.errors import Problem
from notcharch.scheduling.breaker import BreakerPolicy, CircuitBreaker
from notcharch.scheduling.calls import CallKey, Headroom, OrderPolicy, QueuedCall
from notcharch.scheduling.memory_headroom import MemoryHeadroom
from notcharch.scheduling.waits import expected_wait_seconds, retry_after_seconds
from notcharch.values.chat import TokenUsage
from notcharch.values.identifiers import EngineName, Epoch, GrantId, Member
from notcharch.wire.messages.base import Message, Refusal
from notcharch.wire.messages.engines import CallDeferred, CallGranted, EnqueueCall

LEAST_SHARE = 1e-6
WITHDRAWN_MEMORY_SECONDS = 120.0
"""How long a withdrawal is remembered, in case its call arrives after it."""

CLAIM_SECONDS = 2.0
"""What a claim usually takes at most; added to waits while there is none."""

UNCLAIMED_SECONDS = 5.0
"""Without a claim for so long, waiting calls are sent elsewhere."""

LOST_GRANT_SECONDS = 30.0
"""A grant this old that no report of the time can account for was lost."""


class CallAnswer(msgspec.Struct, frozen=True):
    """The reply that a queued call's gateway must get now."""

    key: CallKey
    reply: Message


Answers = tuple[CallAnswer, ...]


def key_of(request: EnqueueCall) -> CallKey:
    """Give the key under which a request is queued."""
    return CallKey(request.program, request.sequence, request.attempt)


class StewardState:
    """The queue and the grants of one engine."""

    def __init__(
        self,
        *,
        engine: EngineName,
        instance: str,
        address: str,
        slots: int,
        queue_limit: int,
        order_policy: OrderPolicy,
        breaker_policy: BreakerPolicy,
    ) -> None:
        """Begin without a claim: calls queue, and none is granted.

        `instance` makes the ids of grants unique among all stewards' lives.
        """
        self.engine = engine
        self._instance = instance
        self.address = address
        self._epoch: Epoch | None = None
        self._unclaimed_since: float | None = None
        self.load = KnownLoad(slots)
        self.leaving = False
        """Whether the machine list says that the engine is leaving or gone."""
        self.draining = False
        """Whether operators drain the engine."""
        self._queue_limit = queue_limit
        self._waiting = WaitingCalls(order_policy)
        self._room = MemoryHeadroom(order_policy)
        self._grants = GrantTable()
        self._grant_number = 0
        self._withdrawn: dict[CallKey, float] = {}
        self._breaker = CircuitBreaker(breaker_policy)

    @property
    def epoch(self) -> Epoch | None:
        """The epoch of the claim under which grants are given, if there is one."""
        return self._epoch

    def set_epoch(self, epoch: Epoch | None, now: float) -> None:
        """Take in the claim, or that there is none (any more)."""
        if epoch is not None:
            self._unclaimed_since = None
        elif self._unclaimed_since is None:
            self._unclaimed_since = now
        self._epoch = epoch

    @property
    def queued(self) -> int:
        """How many calls wait."""
        return len(self._waiting)

    @property
    def granted(self) -> int:
        """How many grants are out."""
        return len(self._grants)

    def grant(self, identifier: GrantId) -> Grant | None:
        """Give a grant that is out."""
        return self._grants.get(identifier)

    def accepting(self, now: float) -> bool:
        """Tell whether the engine may get new work."""
        stopped = self.leaving or self.draining or self.load.leaving
        since = self._unclaimed_since
        unclaimed = since is not None and now - since > UNCLAIMED_SECONDS
        return (
            not (stopped or unclaimed)
            and self.load.reachable
            and self._breaker.permits(now)
        )

    def expected_wait(self, calls_ahead: float) -> float:
        """Give the expected seconds until a grant behind so many calls."""
        wait = expected_wait_seconds(self.load.slot_load(), calls_ahead)
        return wait if self._epoch is not None else wait + CLAIM_SECONDS

    def quoted_wait(self) -> float:
        """Give the expected seconds until a grant, with what a full engine costs.

        Among engines that would grant at once, the least busy one is the best, and
        one that is short of memory is a bad place for any history.
        """
        busy_part = len(self._grants) / self.load.slots
        cost = busy_part * self.load.mean_hold_seconds / 2
        if self._room.allowed_new_programs(busy_part) is not Headroom.FOR_ALL:
            cost += self.load.mean_hold_seconds
        return self.expected_wait(len(self._waiting)) + cost

    def gateways(self) -> frozenset[Member]:
        """Give every process that waits here or holds a grant."""
        return self._waiting.gateways() | self._grants.gateways()

    def enqueue(self, request: EnqueueCall, now: float) -> Answers:
        """Queue a call, or answer it at once. A repeat joins the earlier request."""
        key = key_of(request)
        grant = self._grants.of_call(key)
        if grant is not None:
            return (CallAnswer(key, self._granted_reply(grant)),)
        if key in self._waiting:
            return ()
        refusal = self._refusal_of(request, key, now)
        if refusal is not None:
            return (CallAnswer(key, refusal),)
        call = self._queued_call(request, key, now)
        self._waiting.add(WaitingCall(call, request, now + request.give_up_seconds))
        return self.grant_ready(now)

    def grant_ready(self, now: float) -> Answers:
        """Grant as many waiting calls as there are free slots."""
        answers: list[CallAnswer] = []
        while self._may_grant(now):
            busy_part = len(self._grants) / self.load.slots
            waiting = self._waiting.grant(self._room.allowed_new_programs(busy_part))
            if waiting is None:
                break
            answers.append(CallAnswer(waiting.call.key, self._grant(waiting, now)))
        return tuple(answers)

    def withdraw(self, key: CallKey, now: float) -> Answers:
        """Forget a call whose caller is gone, waiting, granted or still to come."""
        self._withdrawn[key] = now
        if self._waiting.remove(key):
            return (CallAnswer(key, Refusal(refusals.withdrawn())),)
        grant = self._grants.of_call(key)
        if grant is None:
            return ()
        self._grants.remove(grant.grant)
        self._breaker.abandoned()
        self.load.set_granted(len(self._grants), now)
        return self.grant_ready(now)

    def take_back(
        self, identifier: GrantId, usage: TokenUsage | None, succeeded: bool, now: float
    ) -> Answers:
        """Take a grant back; harmless when it was taken back before."""
        grant = self._grants.remove(identifier)
        if grant is None:
            return ()
        self.load.set_granted(len(self._grants), now)
        self.load.learn_hold(now - grant.granted_at)
        if usage is not None:
            used = usage.total_tokens - usage.cached_tokens
            self._waiting.settle(grant.call, used)
        if succeeded:
            self._breaker.succeeded()
        else:
            self._breaker.failed(now)
        return self._empty_if_closed(now) + self.grant_ready(now)

    def free_gateway(self, gateway: Member, now: float) -> Answers:
        """Free everything of a gateway process that died."""
        keys = self._waiting.remove_of(gateway)
        for grant in self._grants.of_gateway(gateway):
            self._grants.remove(grant.grant)
            self._breaker.abandoned()
        self.load.set_granted(len(self._grants), now)
        return _refuse_all(keys, refusals.withdrawn()) + self.grant_ready(now)

    def learn_load(self, report: EngineLoad, now: float) -> Answers:
        """Take a load report in."""
        if self.load.learn_report(report, now):
            self._room.learn_report(report)
        self._free_lost_grants(now)
        answers = self._empty_if_closed(now) + self.grant_ready(now)
        return answers + self._refuse_hopeless(now)

    def load_failed(self, now: float) -> Answers:
        """Note that the engine did not answer a read of its load."""
        self.load.read_failed()
        return self._empty_if_closed(now)

    def set_closed(self, leaving: bool, draining: bool, now: float) -> Answers:
        """Take in what the machine list and the operators say."""
        self.leaving = leaving
        self.draining = draining
        return self._empty_if_closed(now) + self.grant_ready(now)

    def hand_over(self, problem: Problem) -> Answers:
        """Answer every waiting call with a problem, such as NOT_STEWARD."""
        return _refuse_all(self._waiting.remove_all(), problem)

    def next_deadline(self) -> float | None:
        """Give the time of the next call to be given up, if any waits."""
        return self._waiting.next_deadline()

    def give_up(self, now: float) -> Answers:
        """Refuse the calls whose time in the queue is over."""
        self._forget_withdrawals(now)
        return self._refuse_overloaded(self._waiting.remove_expired(now))

    def _refusal_of(
        self, request: EnqueueCall, key: CallKey, now: float
    ) -> Message | None:
        if key in self._withdrawn:
            return Refusal(refusals.withdrawn())
        if not self.accepting(now):
            return Refusal(refusals.engine_closed(self.engine))
        call = self._queued_call(request, key, now)
        wait = self.expected_wait(self._waiting.calls_ahead(call))
        if wait > request.defer_above_seconds:
            return CallDeferred(wait)
        if len(self._waiting) >= self._queue_limit:
            return Refusal(refusals.overloaded(wait))
        retry_after = retry_after_seconds(wait, request.give_up_seconds)
        return (
            None if retry_after is None else Refusal(refusals.overloaded(retry_after))
        )

    def _queued_call(
        self, request: EnqueueCall, key: CallKey, now: float
    ) -> QueuedCall:
        uncached = _uncached_tokens(request)
        return QueuedCall(
            key=key,
            service=request.service,
            share=max(request.share, LEAST_SHARE),
            priority=request.priority,
            attained_tokens=max(0, request.attained_tokens),
            begun=request.begun,
            cost_tokens=uncached + request.max_tokens,
            enqueued_at=now,
            needs_headroom=not request.begun
            and not self._room.is_small(request.service),
        )

    def _may_grant(self, now: float) -> bool:
        if self.epoch is None or not self._waiting or self.load.free_slots == 0:
            return False
        return self.accepting(now)

    def _grant(self, waiting: WaitingCall, now: float) -> CallGranted:
        self._grant_number += 1
        identifier = GrantId(
            f"{self.engine}/{self.epoch}/{self._instance}/{self._grant_number}"
        )
        grant = Grant(identifier, waiting.call, waiting.request.gateway, now)
        self._grants.add(grant)
        self._breaker.started()
        request = waiting.request
        uncached = _uncached_tokens(request)
        self._room.note_grant(request.service, request.prompt_tokens, uncached)
        self.load.set_granted(len(self._grants), now)
        return self._granted_reply(grant)

    def _granted_reply(self, grant: Grant) -> CallGranted:
        epoch = self.epoch if self.epoch is not None else Epoch(0)
        return CallGranted(grant.grant, self.engine, self.address, epoch)

    def _refuse_overloaded(self, keys: tuple[CallKey, ...]) -> Answers:
        if not keys:
            return ()
        wait = self.expected_wait(len(self._waiting))
        return _refuse_all(keys, refusals.overloaded(wait))

    def _refuse_hopeless(self, now: float) -> Answers:
        """Refuse at once what is now known not to be granted in time."""
        keys = self._waiting.hopeless(self.expected_wait, now)
        for key in keys:
            self._waiting.remove(key)
        return self._refuse_overloaded(keys)

    def _empty_if_closed(self, now: float) -> Answers:
        """Answer the queue at once when the engine takes no work any more."""
        if not self._waiting or self.accepting(now):
            return ()
        return self.hand_over(refusals.engine_closed(self.engine))

    def _free_lost_grants(self, now: float) -> None:
        """Free grants that the engine's reports cannot account for."""
        most_running = self.load.most_running_since(now - LOST_GRANT_SECONDS)
        if most_running is None:
            return
        old = [
            grant
            for grant in self._grants.oldest()
            if grant.granted_at < now - LOST_GRANT_SECONDS
        ]
        for grant in old[: max(0, len(old) - most_running)]:
            self._grants.remove(grant.grant)
        self.load.set_granted(len(self._grants), now)

    def _forget_withdrawals(self, now: float) -> None:
        horizon = now - WITHDRAWN_MEMORY_SECONDS
        while self._withdrawn:
            key = next(iter(self._withdrawn))
            if self._withdrawn[key] > horizon:
                break
            del self._withdrawn[key]


def _refuse_all(keys: tuple[CallKey, ...], problem: Problem) -> Answers:
    return tuple(CallAnswer(key, Refusal(problem)) for key in keys)


def _uncached_tokens(request: EnqueueCall) -> int:
    return max(0, request.prompt_tokens - request.cached_tokens)
