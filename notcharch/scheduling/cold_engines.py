"""Limits the calls that all daemons together send to a cold engine. Pure.

An engine that has just started, or was emptied, is cold for some seconds and can take
only a limited rate of calls. Daemons share this limit without coordination: rendezvous
hashing selects a few senders for each cold engine, the same ones at every daemon with
the same view of the members, and each sender has a quota. docs/design/cold-engines.md
compares the alternatives.
"""

import math
from collections import deque
from collections.abc import Collection, Sequence
from typing import Protocol

import msgspec
import xxhash

CONCURRENT_VIEWS = 2.0
"""Number of member views that may be in use while the members change. The limit is
divided by it, so that the senders of both views together stay within the limit."""
SUSPECTED_COLD_VIEWS = 1.0
"""Divides the limit of an engine that a recently started daemon only suspects to be
cold, which it rarely is: a smaller quota would refuse calls after a restart of all
daemons. Half of the limit refused 20 to 28 calls in the second after 69 daemons
restarted."""
RATE_WINDOW_SECONDS = 1.3
"""One second, for which the limit is defined, and 0.3 s for connecting after the
choice."""
STABLE_VIEW_SECONDS = 1.3
"""A daemon that has known its peers for less time may not know all of them, and limits
its quota to one call."""


class ColdLimit(msgspec.Struct, frozen=True):
    """How long engines of a service stay cold, and the rate of calls they take then."""

    seconds: float = 0.0
    calls_per_second: float = 0.0

    @property
    def is_enabled(self) -> bool:
        """Whether engines of the service are ever cold."""
        return self.seconds > 0.0 and self.calls_per_second > 0.0


class ColdTolerance(msgspec.Struct, frozen=True):
    """How far the rate of a cold engine may be exceeded in one second."""

    factor: float = 1.0
    calls: float = 0.0


class ColdPolicy(msgspec.Struct, frozen=True):
    """How calls to cold engines are limited."""

    tolerance: ColdTolerance = ColdTolerance()
    sends_to_cold: bool = True
    """If false, cold engines receive no calls."""


class DaemonView(Protocol):
    """The members as this daemon knows them."""

    @property
    def local_daemon(self) -> str:
        """The name of this daemon."""

    def members(self) -> Sequence[str]:
        """Return the names of all known daemons."""

    def known_seconds(self) -> float:
        """Return for how many seconds any members have been known; 0 if none are."""


class SenderQuota(msgspec.Struct, frozen=True):
    """How the calls to one cold engine are divided."""

    senders: int
    """The number of daemons that send calls to it."""
    calls: int
    """The number of calls that each sends within `RATE_WINDOW_SECONDS`."""


def sender_quota(
    limit: ColdLimit,
    tolerance: ColdTolerance,
    daemons: int,
    views: float = CONCURRENT_VIEWS,
) -> SenderQuota:
    """Divide the limit of a cold engine among a number of daemons."""
    bound = limit.calls_per_second * tolerance.factor + tolerance.calls
    budget = math.floor(bound / views)
    if daemons <= 0 or budget <= 0:
        return SenderQuota(0, 0)
    if daemons >= budget:
        return SenderQuota(budget, 1)
    return SenderQuota(daemons, budget // daemons)


def is_sender(local: str, engine: str, members: Collection[str], senders: int) -> bool:
    """Return whether the local daemon is among the first by its hash with an engine.

    A daemon that isn't a member yet, because it has just started, counts itself.
    """
    if senders <= 0:
        return False
    rank = _rank(local, engine)
    before = sum(_rank(member, engine) < rank for member in members if member != local)
    return before < senders


def _rank(daemon: str, engine: str) -> int:
    return xxhash.xxh64_intdigest(f"{daemon}|{engine}".encode())


class WarmupState:
    """Until when one engine is cold."""

    def __init__(self) -> None:
        """Start warm."""
        self._reported_until = 0.0
        self._assumed_until = 0.0
        self._suspected_until = 0.0

    def record_report(self, cold_seconds: float, read_at: float) -> None:
        """Record the engine's own report, which was written before it was read."""
        self._reported_until = read_at + cold_seconds

    def assume_cold(self, until: float) -> None:
        """Treat the engine as cold until a clock time, regardless of its reports."""
        self._assumed_until = max(self._assumed_until, until)

    def suspect_cold(self, until: float) -> None:
        """Treat the engine as possibly cold, because its entry may be outdated."""
        self._suspected_until = max(self._suspected_until, until)

    @property
    def cold_until(self) -> float:
        """Return the clock time at which the engine is certainly warm."""
        return max(self._reported_until, self._assumed_until, self._suspected_until)

    def is_only_suspected_cold(self, now: float) -> bool:
        """Return whether it counts as cold only because its entry may be outdated."""
        return (
            max(self._reported_until, self._assumed_until)
            <= now
            < self._suspected_until
        )

    def is_cold(self, now: float) -> bool:
        """Return whether the engine may be cold."""
        return now < self.cold_until


class ColdEngineLimiter:
    """Limits the local daemon's calls to cold engines."""

    def __init__(self, policy: ColdPolicy, view: DaemonView) -> None:
        """`view` provides the daemons that share the limits."""
        self._policy = policy
        self._view = view
        self._sent: dict[str, deque[float]] = {}
        """Clock times of the last local calls to each engine."""
        self._quotas: dict[tuple[str, float], int] = {}
        """Local quota by engine and by the number of views that divide the limit."""
        self._quota_members: Sequence[str] = ()
        """The members for which the quotas were computed."""

    def sent(self, engine: str, limit: ColdLimit, now: float) -> None:
        """Record a call, also to a warm engine: it may turn cold within the second."""
        if not limit.is_enabled:
            return
        times = self._sent.setdefault(engine, deque())
        times.append(now)
        while times and now - times[0] >= RATE_WINDOW_SECONDS:
            times.popleft()

    def forget(self, engine: str) -> None:
        """Drop an engine that was removed."""
        self._sent.pop(engine, None)
        for key in [key for key in self._quotas if key[0] == engine]:
            del self._quotas[key]

    def reset_quotas(self) -> None:
        """Recompute the quotas after a change of the limits."""
        self._quotas = {}

    def seconds_until_send(
        self,
        engine: str,
        limit: ColdLimit,
        now: float,
        *,
        is_only_suspected: bool = False,
    ) -> float | None:
        """Return the seconds until a call may be sent, None if this is no sender.

        `is_only_suspected`: the engine counts as cold only because its entry may be
        outdated.
        """
        calls = self._local_quota(
            engine,
            limit,
            SUSPECTED_COLD_VIEWS if is_only_suspected else CONCURRENT_VIEWS,
        )
        if calls <= 0:
            return None
        times = [
            at for at in self._sent.get(engine, ()) if now - at < RATE_WINDOW_SECONDS
        ]
        if len(times) < calls:
            return 0.0
        return times[-calls] + RATE_WINDOW_SECONDS - now

    def _local_quota(self, engine: str, limit: ColdLimit, views: float) -> int:
        """Return how many calls may be sent within `RATE_WINDOW_SECONDS`."""
        view = self._view
        members = view.members()
        if not self._policy.sends_to_cold or not members:
            return 0
        if members is not self._quota_members:
            self._quotas, self._quota_members = {}, members
        quota = self._quotas.get((engine, views))
        if quota is None:
            quota = self._quotas[engine, views] = self._compute_quota(
                engine, limit, views
            )
        return quota if view.known_seconds() >= STABLE_VIEW_SECONDS else min(quota, 1)

    def _compute_quota(self, engine: str, limit: ColdLimit, views: float) -> int:
        """Compute the local quota, with one hash for each member."""
        members = self._view.members()
        quota = sender_quota(limit, self._policy.tolerance, len(members), views)
        if is_sender(self._view.local_daemon, engine, members, quota.senders):
            return quota.calls
        return 0
