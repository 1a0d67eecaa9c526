"""The decisions of one engine's steward: queue, grants, refusals. Pure.

Every method takes the time and gives the answers that are due; the service
beside it holds the requests open and sends the answers.
"""

import heapq

import msgspec

from notcharch.engines.engine_load import KnownLoad
from notcharch.engines.grants import Grant, GrantTable
from notcharch.errors import Problem, ProblemCode
from notcharch.platform.ports import EngineLoad
from notcharch.scheduling.breaker import BreakerPolicy, CircuitBreaker
from notcharch.scheduling.calls import CallKey, OrderPolicy, QueuedCall
from notcharch.scheduling.fair_queue import FairQueue
from notcharch.scheduling.waits import (
    SHORTEST_RETRY_SECONDS,
    expected_wait_seconds,
    retry_after_seconds,
)
from notcharch.values.chat import TokenUsage
from notcharch.values.identifiers import EngineName, Epoch, GrantId, Member
from notcharch.wire.messages.base import Message, Refusal
from notcharch.wire.messages.engines import CallDeferred, CallGranted, EnqueueCall

LEAST_SHARE = 1e-6
WITHDRAWN_MEMORY_SECONDS = 120.0
"""How long a withdrawal is remembered, in case its call arrives after it."""

LOST_GRANT_SECONDS = 30.0
"""A grant this old that no report of the time can account for was lost."""


class CallAnswer(msgspec.Struct, frozen=True):
    """The reply that a queued call's gateway must get now."""

    key: CallKey
    reply: Message


Answers = tuple[CallAnswer, ...]


class _Pending(msgspec.Struct, frozen=True):
    """A waiting call's request, and when it is given up."""

    request: EnqueueCall
    give_up_at: float


class _Deadline(msgspec.Struct, frozen=True, order=True):
    """When a waiting call is given up."""

    at: float
    key: CallKey


def key_of(request: EnqueueCall) -> CallKey:
    """Give the key under which a request is queued."""
    return CallKey(request.program, request.sequence, request.attempt)


class StewardState:
    """The queue and the grants of one engine."""

    def __init__(
        self,
        *,
        engine: EngineName,
        address: str,
        slots: int,
        queue_limit: int,
        order_policy: OrderPolicy,
        breaker_policy: BreakerPolicy,
    ) -> None:
        """Begin without a claim: calls queue, and none is granted."""
        self.engine = engine
        self.address = address
        self.epoch: Epoch | None = None
        self.load = KnownLoad(slots)
        self.leaving = False
        """Whether the machine list says that the engine is leaving or gone."""
        self.draining = False
        """Whether operators drain the engine."""
        self._queue_limit = queue_limit
        self._queue = FairQueue(order_policy)
        self._pending: dict[CallKey, _Pending] = {}
        self._deadlines: list[_Deadline] = []
        self._grants = GrantTable()
        self._grant_number = 0
        self._withdrawn: dict[CallKey, float] = {}
        self._breaker = CircuitBreaker(breaker_policy)

    @property
    def queued(self) -> int:
        """How many calls wait."""
        return len(self._queue)

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
        return not stopped and self.load.reachable and self._breaker.permits(now)

    def expected_wait(self, calls_ahead: float) -> float:
        """Give the expected seconds until a grant behind so many calls."""
        return expected_wait_seconds(self.load.slot_load(), calls_ahead)

    def gateways(self) -> frozenset[Member]:
        """Give every process that waits here or holds a grant."""
        waiting = frozenset(p.request.gateway for p in self._pending.values())
        return waiting | self._grants.gateways()

    def enqueue(self, request: EnqueueCall, now: float) -> Answers:
        """Queue a call, or answer it at once. A repeat joins the earlier request."""
        key = key_of(request)
        grant = self._grants.of_call(key)
        if grant is not None:
            return (CallAnswer(key, self._granted_reply(grant)),)
        if key in self._queue:
            return ()
        refusal = self._refusal_of(request, key, now)
        if refusal is not None:
            return (CallAnswer(key, refusal),)
        give_up_at = now + request.give_up_seconds
        self._pending[key] = _Pending(request, give_up_at)
        self._queue.enqueue(self._queued_call(request, key, now))
        heapq.heappush(self._deadlines, _Deadline(give_up_at, key))
        return self.grant_ready(now)

    def grant_ready(self, now: float) -> Answers:
        """Grant as many waiting calls as there are free slots."""
        answers: list[CallAnswer] = []
        while self._may_grant(now):
            call = self._queue.grant()
            if call is None:
                break
            answers.append(CallAnswer(call.key, self._grant(call, now)))
        return tuple(answers)

    def withdraw(self, key: CallKey, now: float) -> Answers:
        """Forget a call whose caller is gone, waiting, granted or still to come."""
        self._withdrawn[key] = now
        if self._queue.cancel(key) is not None:
            del self._pending[key]
            return (CallAnswer(key, _refused(_withdrawn_problem())),)
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
            self._queue.settle(grant.call, used)
        if succeeded:
            self._breaker.succeeded()
        else:
            self._breaker.failed(now)
        return self._empty_if_closed(now) + self.grant_ready(now)

    def free_gateway(self, gateway: Member, now: float) -> Answers:
        """Free everything of a gateway process that died."""
        answers: list[CallAnswer] = []
        keys = [
            key
            for key, pending in self._pending.items()
            if pending.request.gateway == gateway
        ]
        for key in keys:
            self._queue.cancel(key)
            del self._pending[key]
            answers.append(CallAnswer(key, _refused(_withdrawn_problem())))
        for grant in self._grants.of_gateway(gateway):
            self._grants.remove(grant.grant)
            self._breaker.abandoned()
        self.load.set_granted(len(self._grants), now)
        return tuple(answers) + self.grant_ready(now)

    def learn_load(self, report: EngineLoad, now: float) -> Answers:
        """Take a load report in."""
        self.load.learn_report(report, now)
        self._free_lost_grants(now)
        return self._empty_if_closed(now) + self.grant_ready(now)

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
        keys = tuple(self._pending)
        for key in keys:
            self._queue.cancel(key)
        self._pending.clear()
        self._deadlines.clear()
        return tuple(CallAnswer(key, _refused(problem)) for key in keys)

    def next_deadline(self) -> float | None:
        """Give the time of the next call to be given up, if any waits."""
        while self._deadlines:
            first = self._deadlines[0]
            pending = self._pending.get(first.key)
            if pending is not None and pending.give_up_at == first.at:
                return first.at
            heapq.heappop(self._deadlines)
        return None

    def give_up(self, now: float) -> Answers:
        """Refuse the calls whose time in the queue is over."""
        answers: list[CallAnswer] = []
        while (at := self.next_deadline()) is not None and at <= now:
            deadline = heapq.heappop(self._deadlines)
            answers.append(self._refuse_waiting(deadline.key))
        self._forget_withdrawals(now)
        return tuple(answers)

    def _refusal_of(
        self, request: EnqueueCall, key: CallKey, now: float
    ) -> Message | None:
        if key in self._withdrawn:
            return _refused(_withdrawn_problem())
        if not self.accepting(now):
            return _refused(self._closed_problem())
        call = self._queued_call(request, key, now)
        wait = self.expected_wait(self._queue.calls_ahead(call))
        if wait > request.defer_above_seconds:
            return CallDeferred(wait)
        if len(self._queue) >= self._queue_limit:
            return _refused(_overloaded(max(wait, SHORTEST_RETRY_SECONDS)))
        retry_after = retry_after_seconds(wait, request.give_up_seconds)
        return None if retry_after is None else _refused(_overloaded(retry_after))

    def _queued_call(
        self, request: EnqueueCall, key: CallKey, now: float
    ) -> QueuedCall:
        uncached = max(0, request.prompt_tokens - request.cached_tokens)
        return QueuedCall(
            key=key,
            service=request.service,
            share=max(request.share, LEAST_SHARE),
            priority=request.priority,
            attained_tokens=max(0, request.attained_tokens),
            begun=request.begun,
            cost_tokens=uncached + request.max_tokens,
            enqueued_at=now,
        )

    def _may_grant(self, now: float) -> bool:
        if self.epoch is None or not self._queue or self.load.free_slots == 0:
            return False
        return self.accepting(now)

    def _grant(self, call: QueuedCall, now: float) -> CallGranted:
        request = self._pending.pop(call.key).request
        self._grant_number += 1
        identifier = GrantId(f"{self.engine}/{self.epoch}/{self._grant_number}")
        grant = Grant(identifier, call, request.gateway, now)
        self._grants.add(grant)
        self._breaker.started()
        self.load.set_granted(len(self._grants), now)
        return self._granted_reply(grant)

    def _granted_reply(self, grant: Grant) -> CallGranted:
        epoch = self.epoch if self.epoch is not None else Epoch(0)
        return CallGranted(grant.grant, self.engine, self.address, epoch)

    def _refuse_waiting(self, key: CallKey) -> CallAnswer:
        self._queue.cancel(key)
        del self._pending[key]
        wait = self.expected_wait(len(self._queue))
        return CallAnswer(key, _refused(_overloaded(max(wait, SHORTEST_RETRY_SECONDS))))

    def _empty_if_closed(self, now: float) -> Answers:
        """Answer the queue at once when the engine takes no work any more."""
        if not self._pending or self.accepting(now):
            return ()
        return self.hand_over(self._closed_problem())

    def _closed_problem(self) -> Problem:
        return Problem.of(
            ProblemCode.NO_ENGINE,
            f"engine {self.engine} takes no new work now",
            retry_after=SHORTEST_RETRY_SECONDS,
        )

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


def _refused(problem: Problem) -> Refusal:
    return Refusal(problem)


def _overloaded(retry_after: float) -> Problem:
    return Problem.of(
        ProblemCode.OVERLOADED,
        "the engine's queue is longer than the call may wait",
        retry_after=retry_after,
    )


def _withdrawn_problem() -> Problem:
    return Problem.of(ProblemCode.TIMED_OUT, "the call was withdrawn by its gateway")
