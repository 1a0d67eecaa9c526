"""How many calls a cold engine gets, from all daemons together. Pure.

An engine that has just started, or has been emptied, is cold for some seconds, and bears
only so many calls a second from all daemons. Daemons don't ask each other: of all daemons
a few *feed* a cold engine, the same ones at every daemon that knows the same members, and
each sends it no more than its part. See docs/design/cold-engines.md for the ways weighed.
"""

import math
from collections import deque
from collections.abc import Collection, Sequence
from typing import Protocol

import msgspec
import xxhash

CONCURRENT_VIEWS = 2.0
"""While the group of daemons changes, two views of who they are may be in use. The bound is
divided by this, so the feeders of both together keep it."""
SUSPECTED_COLD_VIEWS = 1.0
"""Where a daemon that has just started only doubts that an engine is warm, the whole bound
is divided among all daemons. With half of it, 20 to 28 calls were refused in the second
after the restart of all 69 daemons of a played day; an engine is rarely cold just then."""
RATE_WINDOW_SECONDS = 1.3
"""A second, in which the bound counts, and the 0.3 s by which a call may leave later than it
was chosen, because its connection has to come up."""
STABLE_VIEW_SECONDS = 1.3
"""A daemon that has known its peers for less may know too few of them: it sends one call
where its part would be more."""


class ColdLimit(msgspec.Struct, frozen=True):
    """How long engines of a service are cold after a start, and what they bear then."""

    seconds: float = 0.0
    calls_per_second: float = 0.0

    @property
    def is_enabled(self) -> bool:
        """Whether engines of the service are ever cold."""
        return self.seconds > 0.0 and self.calls_per_second > 0.0


class ColdTolerance(msgspec.Struct, frozen=True):
    """How far the rate of cold engines may be exceeded in one second."""

    factor: float = 1.0
    calls: float = 0.0


class ColdPolicy(msgspec.Struct, frozen=True):
    """What feeding goes by."""

    tolerance: ColdTolerance = ColdTolerance()
    sends_to_cold: bool = True
    """Whether cold engines get any call at all."""


class DaemonView(Protocol):
    """What this daemon knows of the daemons that may send calls."""

    @property
    def local_daemon(self) -> str:
        """Our own name."""

    def members(self) -> Sequence[str]:
        """Give the names of all daemons, as far as is known."""

    def known_seconds(self) -> float:
        """Give for how long any members have been known; 0 if none are."""


class SenderQuota(msgspec.Struct, frozen=True):
    """How the calls to one cold engine are divided."""

    senders: int
    """So many daemons send it calls."""
    calls: int
    """Each so many within `RATE_WINDOW_SECONDS`."""


def sender_quota(
    limit: ColdLimit,
    tolerance: ColdTolerance,
    daemons: int,
    views: float = CONCURRENT_VIEWS,
) -> SenderQuota:
    """Divide what a cold engine bears in a second among some daemons."""
    bound = limit.calls_per_second * tolerance.factor + tolerance.calls
    budget = math.floor(bound / views)
    if daemons <= 0 or budget <= 0:
        return SenderQuota(0, 0)
    if daemons >= budget:
        return SenderQuota(budget, 1)
    return SenderQuota(daemons, budget // daemons)


def is_sender(local: str, engine: str, members: Collection[str], senders: int) -> bool:
    """Tell whether we are among the first daemons by a hash with an engine.

    A daemon that is no member yet, having just started, counts itself in.
    """
    if senders <= 0:
        return False
    rank = _rank(local, engine)
    before = sum(_rank(member, engine) < rank for member in members if member != local)
    return before < senders


def _rank(daemon: str, engine: str) -> int:
    return xxhash.xxh64_intdigest(f"{daemon}|{engine}".encode())


class WarmupState:
    """How long one engine is cold, as far as is known."""

    def __init__(self) -> None:
        """Begin warm."""
        self._reported_until = 0.0
        self._assumed_until = 0.0
        self._suspected_until = 0.0

    def record_report(self, cold_seconds: float, read_at: float) -> None:
        """Take the newest word of the engine itself: it was written before it was read."""
        self._reported_until = read_at + cold_seconds

    def assume_cold(self, until: float) -> None:
        """Count the engine as cold up to some clock seconds, whatever it said before."""
        self._assumed_until = max(self._assumed_until, until)

    def suspect_cold(self, until: float) -> None:
        """Count the engine as perhaps cold: its entry is older than we know."""
        self._suspected_until = max(self._suspected_until, until)

    @property
    def cold_until(self) -> float:
        """Give the clock seconds from which on it is certainly warm."""
        return max(self._reported_until, self._assumed_until, self._suspected_until)

    def is_only_suspected_cold(self, now: float) -> bool:
        """Tell whether nothing says that it is cold, but that its entry may be old."""
        return (
            max(self._reported_until, self._assumed_until)
            <= now
            < self._suspected_until
        )

    def is_cold(self, now: float) -> bool:
        """Tell whether it may be cold."""
        return now < self.cold_until


class ColdEngineLimiter:
    """Paces our own calls to cold engines."""

    def __init__(self, policy: ColdPolicy, view: DaemonView) -> None:
        """`view` tells which daemons share the bounds with us."""
        self._policy = policy
        self._view = view
        self._sent: dict[str, deque[float]] = {}
        """When each engine got its last calls from here, clock seconds."""
        self._quotas: dict[tuple[str, float], int] = {}
        """Our part of each engine's calls, by the views that the bound is divided for."""
        self._quota_members: Sequence[str] = ()
        """The members by whom the parts were worked out."""

    def sent(self, engine: str, limit: ColdLimit, now: float) -> None:
        """Note a call to an engine, cold or not: it may turn cold within the second."""
        if not limit.is_enabled:
            return
        times = self._sent.setdefault(engine, deque())
        times.append(now)
        while times and now - times[0] >= RATE_WINDOW_SECONDS:
            times.popleft()

    def forget(self, engine: str) -> None:
        """Forget an engine that is gone."""
        self._sent.pop(engine, None)
        for key in [key for key in self._quotas if key[0] == engine]:
            del self._quotas[key]

    def reset_quotas(self) -> None:
        """Work our parts out anew: what cold engines bear has changed."""
        self._quotas = {}

    def seconds_until_send(
        self,
        engine: str,
        limit: ColdLimit,
        now: float,
        *,
        is_only_suspected: bool = False,
    ) -> float | None:
        """Give the seconds until we may send a cold engine a call; None: not we.

        `is_only_suspected`: nothing says that the engine is cold, but its entry may be old.
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
        """Give how many calls within `RATE_WINDOW_SECONDS` are ours to send."""
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
        """Work out our part: a hash a member, so only once for each change of these."""
        members = self._view.members()
        quota = sender_quota(limit, self._policy.tolerance, len(members), views)
        if is_sender(self._view.local_daemon, engine, members, quota.senders):
            return quota.calls
        return 0
