"""One engine's queue, grants and refusals. No I/O.

The methods take the current time and return the replies that are due;
`PendingRequests` keeps the requests open and sends the replies.
"""

import msgspec

from notcharch.clients.ports import EngineLoad
from notcharch.engines import refusals
from notcharch.engines.engine_load import LoadTracker
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

MIN_SHARE = 1e-6
WITHDRAWAL_RETENTION_SECONDS = 120.0
"""Retention of a withdrawal, in case its call arrives later."""

EXPECTED_CLAIM_SECONDS = 2.0
"""Expected time until a claim is recorded; added to waits without a claim."""

MAX_UNCLAIMED_SECONDS = 5.0
"""Time without a claim after which the engine accepts no calls."""

UNACCOUNTED_GRANT_SECONDS = 30.0
"""Age from which a grant that the engine's reports do not show is freed."""


class CallReply(msgspec.Struct, frozen=True):
    """A reply that is due to a queued call's gateway."""

    key: CallKey
    reply: Message


Replies = tuple[CallReply, ...]


def key_of(request: EnqueueCall) -> CallKey:
    """Return the key under which a request is queued."""
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
        """Start without a claim: calls are queued, but none is granted.

        `instance` keeps grant ids unique across steward restarts.
        """
        self.engine = engine
        self._instance = instance
        self.address = address
        self._epoch: Epoch | None = None
        self._unclaimed_since: float | None = None
        self.load = LoadTracker(slots)
        self.leaving = False
        """Whether the machine list has the engine in a state other than live."""
        self.draining = False
        """Whether operators have ordered a drain of the engine."""
        self._queue_limit = queue_limit
        self._waiting = WaitingCalls(order_policy)
        self._headroom = MemoryHeadroom(order_policy)
        self._grants = GrantTable()
        self._grant_number = 0
        self._withdrawn: dict[CallKey, float] = {}
        self._breaker = CircuitBreaker(breaker_policy)

    @property
    def epoch(self) -> Epoch | None:
        """The epoch of the claim, or None without a claim."""
        return self._epoch

    def set_epoch(self, epoch: Epoch | None, now: float) -> None:
        """Set the epoch of the claim, or None if there is no claim."""
        if epoch is not None:
            self._unclaimed_since = None
        elif self._unclaimed_since is None:
            self._unclaimed_since = now
        self._epoch = epoch

    @property
    def queued(self) -> int:
        """The number of waiting calls."""
        return len(self._waiting)

    @property
    def granted(self) -> int:
        """The number of outstanding grants."""
        return len(self._grants)

    def grant(self, identifier: GrantId) -> Grant | None:
        """Return an outstanding grant, or None."""
        return self._grants.get(identifier)

    def accepting(self, now: float) -> bool:
        """Return whether the engine may receive new work."""
        stopped = self.leaving or self.draining or self.load.leaving
        since = self._unclaimed_since
        unclaimed = since is not None and now - since > MAX_UNCLAIMED_SECONDS
        return (
            not (stopped or unclaimed)
            and self.load.reachable
            and self._breaker.permits(now)
        )

    def expected_wait(self, calls_ahead: float) -> float:
        """Return the expected seconds until a grant behind `calls_ahead` calls."""
        wait = expected_wait_seconds(self.load.slot_load(), calls_ahead)
        return wait if self._epoch is not None else wait + EXPECTED_CLAIM_SECONDS

    def quoted_wait(self) -> float:
        """Return the expected seconds until a grant, plus costs of load and memory.

        Among engines with free slots this prefers the least loaded ones, and
        avoids those that are short of memory.
        """
        utilization = len(self._grants) / self.load.slots
        cost = utilization * self.load.mean_occupancy_seconds / 2
        if self._headroom.allowed_new_programs(utilization) is not Headroom.FOR_ALL:
            cost += self.load.mean_occupancy_seconds
        return self.expected_wait(len(self._waiting)) + cost

    def gateways(self) -> frozenset[Member]:
        """Return every process with a waiting call or a grant."""
        return self._waiting.gateways() | self._grants.gateways()

    def enqueue(self, request: EnqueueCall, now: float) -> Replies:
        """Queue a call or reply at once. A repeat shares the earlier reply."""
        key = key_of(request)
        grant = self._grants.of_call(key)
        if grant is not None:
            return (CallReply(key, self._granted_reply(grant)),)
        if key in self._waiting:
            return ()
        refusal = self._refusal_of(request, key, now)
        if refusal is not None:
            return (CallReply(key, refusal),)
        call = self._queued_call(request, key, now)
        self._waiting.add(WaitingCall(call, request, now + request.give_up_seconds))
        return self.grant_ready(now)

    def grant_ready(self, now: float) -> Replies:
        """Grant waiting calls while the engine has free slots."""
        replies: list[CallReply] = []
        while self._may_grant(now):
            utilization = len(self._grants) / self.load.slots
            waiting = self._waiting.grant(
                self._headroom.allowed_new_programs(utilization)
            )
            if waiting is None:
                break
            replies.append(CallReply(waiting.call.key, self._grant(waiting, now)))
        return tuple(replies)

    def withdraw(self, key: CallKey, now: float) -> Replies:
        """Drop a call, whether it is waiting, granted or not yet received."""
        self._withdrawn[key] = now
        if self._waiting.remove(key):
            return (CallReply(key, Refusal(refusals.withdrawn())),)
        grant = self._grants.of_call(key)
        if grant is None:
            return ()
        self._grants.remove(grant.grant)
        self._breaker.abandoned()
        self.load.set_granted(len(self._grants), now)
        return self.grant_ready(now)

    def complete_grant(
        self, identifier: GrantId, usage: TokenUsage | None, succeeded: bool, now: float
    ) -> Replies:
        """Free a returned grant; does nothing if it was already freed."""
        grant = self._grants.remove(identifier)
        if grant is None:
            return ()
        self.load.set_granted(len(self._grants), now)
        self.load.learn_occupancy(now - grant.granted_at)
        if usage is not None:
            used = usage.total_tokens - usage.cached_tokens
            self._waiting.correct_charge(grant.call, used)
        if succeeded:
            self._breaker.succeeded()
        else:
            self._breaker.failed(now)
        return self._refuse_all_if_closed(now) + self.grant_ready(now)

    def free_gateway(self, gateway: Member, now: float) -> Replies:
        """Free the calls and grants of a dead gateway process."""
        keys = self._waiting.remove_of(gateway)
        for grant in self._grants.of_gateway(gateway):
            self._grants.remove(grant.grant)
            self._breaker.abandoned()
        self.load.set_granted(len(self._grants), now)
        return _refuse_all(keys, refusals.withdrawn()) + self.grant_ready(now)

    def learn_load(self, report: EngineLoad, now: float) -> Replies:
        """Record a load report, and act on it."""
        if self.load.learn_report(report, now):
            self._headroom.learn_report(report)
        self._free_unaccounted_grants(now)
        replies = self._refuse_all_if_closed(now) + self.grant_ready(now)
        return replies + self._refuse_expected_to_expire(now)

    def load_failed(self, now: float) -> Replies:
        """Record a failed read of the engine's load."""
        self.load.read_failed()
        return self._refuse_all_if_closed(now)

    def set_closed(self, leaving: bool, draining: bool, now: float) -> Replies:
        """Set whether the engine is leaving or draining."""
        self.leaving = leaving
        self.draining = draining
        return self._refuse_all_if_closed(now) + self.grant_ready(now)

    def refuse_all_waiting(self, problem: Problem) -> Replies:
        """Refuse every waiting call with a problem, such as NOT_STEWARD."""
        return _refuse_all(self._waiting.remove_all(), problem)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline, or None if no call waits."""
        return self._waiting.next_deadline()

    def refuse_expired(self, now: float) -> Replies:
        """Refuse the calls whose deadline has passed."""
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
            share=max(request.share, MIN_SHARE),
            priority=request.priority,
            attained_tokens=max(0, request.attained_tokens),
            begun=request.begun,
            cost_tokens=uncached + request.max_tokens,
            enqueued_at=now,
            needs_headroom=not request.begun
            and not self._headroom.is_small(request.service),
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
        self._headroom.note_grant(request.service, request.prompt_tokens, uncached)
        self.load.set_granted(len(self._grants), now)
        return self._granted_reply(grant)

    def _granted_reply(self, grant: Grant) -> CallGranted:
        epoch = self.epoch if self.epoch is not None else Epoch(0)
        return CallGranted(grant.grant, self.engine, self.address, epoch)

    def _refuse_overloaded(self, keys: tuple[CallKey, ...]) -> Replies:
        if not keys:
            return ()
        wait = self.expected_wait(len(self._waiting))
        return _refuse_all(keys, refusals.overloaded(wait))

    def _refuse_expected_to_expire(self, now: float) -> Replies:
        """Refuse the calls that are not expected to be granted in time."""
        keys = self._waiting.expected_to_expire(self.expected_wait, now)
        for key in keys:
            self._waiting.remove(key)
        return self._refuse_overloaded(keys)

    def _refuse_all_if_closed(self, now: float) -> Replies:
        """Refuse all waiting calls if the engine accepts no work."""
        if not self._waiting or self.accepting(now):
            return ()
        return self.refuse_all_waiting(refusals.engine_closed(self.engine))

    def _free_unaccounted_grants(self, now: float) -> None:
        """Free grants that the engine's reports cannot account for."""
        max_running = self.load.max_running_since(now - UNACCOUNTED_GRANT_SECONDS)
        if max_running is None:
            return
        old = [
            grant
            for grant in self._grants.oldest_first()
            if grant.granted_at < now - UNACCOUNTED_GRANT_SECONDS
        ]
        for grant in old[: max(0, len(old) - max_running)]:
            self._grants.remove(grant.grant)
        self.load.set_granted(len(self._grants), now)

    def _forget_withdrawals(self, now: float) -> None:
        horizon = now - WITHDRAWAL_RETENTION_SECONDS
        while self._withdrawn:
            key = next(iter(self._withdrawn))
            if self._withdrawn[key] > horizon:
                break
            del self._withdrawn[key]


def _refuse_all(keys: tuple[CallKey, ...], problem: Problem) -> Replies:
    return tuple(CallReply(key, Refusal(problem)) for key in keys)


def _uncached_tokens(request: EnqueueCall) -> int:
    return max(0, request.prompt_tokens - request.cached_tokens)
