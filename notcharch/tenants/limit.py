"""Applies the rate limit of one tenant at the owner of the limit. Pure.

A call is admitted if a token bucket has a call available, and if the sliding window
holds fewer calls than the limit allows. The bucket refills faster than the limit's
rate, by the burst in each window, so that the window's calls may come at any rate; the
bucket only prevents them from coming all at once.

A program that is refused after its first calls has wasted their cost. So a new program
is admitted only if it and the running programs are expected to stay within the rate,
while calls of running programs use any available capacity.
"""

import enum
import math

import msgspec

from notcharch.tenants.interface import RateLimit
from notcharch.tenants.program_sizes import ProgramSize, ProgramSizes
from notcharch.tenants.recent_calls import RecentCalls

IDLE_SECONDS = 4.0
"""A program without calls for this time has ended; pauses for tools are shorter."""
ACTIVE_SECONDS = 2.0
"""A program without calls for this time isn't expected to use capacity: it has most
likely ended, and if not, its next calls still take precedence."""
MIN_RETRY_SECONDS = 0.1
"""Lower bound of the retry time given to a refused caller."""
MAX_RETRY_SECONDS = 5.0
"""Upper bound of the retry time, because later capacity can't be predicted."""


class Supply(msgspec.Struct, frozen=True):
    """What the owner of a limit may currently admit."""

    rate: float
    """Admitted calls per second."""
    capacity: float
    """Maximum number of calls in the bucket."""
    window_calls: float
    """Maximum number of calls in a window."""


class RunningProgram(msgspec.Struct):
    """A program that has made calls and hasn't ended."""

    kind: str
    """The route of its first call; programs of a kind make similar numbers of calls."""
    began: float
    last: float
    calls: int = 0
    was_refused: bool = False


class Granted(msgspec.Struct, frozen=True):
    """The call may run after a wait."""

    wait_seconds: float = 0.0
    refused_seconds: float = 0.0
    """Time since the first refusal of the program that begins with this call."""


class RefusalCause(enum.Enum):
    """Why a limit refused a call."""

    NO_ROOM = "no room"
    BEGINS = "begins"
    LOOPS = "loops"
    """Its program has made far more calls than its kind does."""
    UNCLAIMED = "unclaimed"
    """It belongs to no program, and the calls available are reserved for programs."""


class OverLimit(msgspec.Struct, frozen=True):
    """The call must not run; capacity is expected after `retry_after_seconds`."""

    retry_after_seconds: float
    is_new_program: bool
    """True if the call would have started a program."""
    level: float
    """Number of calls that were available."""
    cause: RefusalCause = RefusalCause.NO_ROOM
    reserved_calls: float = 0.0
    """Calls reserved for running programs."""
    program_calls: int = 0
    """Calls that the program has made."""


Verdict = Granted | OverLimit
GRANTED = Granted()


class TenantLimit:
    """The token bucket of one tenant, and its running programs."""

    def __init__(
        self, level: float, now: float, sizes: ProgramSizes, recent: RecentCalls
    ) -> None:
        """Start with a bucket level; `recent` counts the admitted calls."""
        self.level = level
        self.recent = recent
        self._filled_at = now
        self._rate = math.inf
        """Rate at the last refill."""
        self._sizes = sizes
        self._programs: dict[str, RunningProgram] = {}
        self._promised_until = 0.0
        """Clock time up to which capacity is promised to refused callers."""

    def fill(self, supply: Supply, now: float) -> None:
        """Refill the bucket since the last refill, at the lower of the two rates."""
        gained = (now - self._filled_at) * min(self._rate, supply.rate)
        self._rate = supply.rate
        self.level = min(supply.capacity, self.level + max(gained, 0.0))
        self._filled_at = now

    def decide(
        self,
        program: str,
        kind: str,
        supply: Supply,
        now: float,
        *,
        knows_all_programs: bool,
        max_wait_seconds: float = 0.0,
    ) -> Verdict:
        """Admit a call, now or after a wait, or refuse it with a retry time.

        `knows_all_programs`: whether an unknown program is certainly new. For a while
        after a change of owner it may have been started at the former owner.
        """
        self.fill(supply, now)
        self._forget_ended(now)
        running = self._programs.get(program) if program else None
        is_new_program = bool(program) and running is None and knows_all_programs
        shortfall = self._shortfall(kind, supply, now) if is_new_program else 0.0
        wait = math.inf if shortfall > 0.0 else self._wait_seconds(supply, now)
        shortfall = max(shortfall, 1.0 - self._available_calls(supply, now))
        if wait > max_wait_seconds:
            if running is not None:
                running.last = now
                running.was_refused = True
            needed = self._sizes.of(kind).calls if is_new_program else 1.0
            retry_after = self._retry_after(shortfall, needed, supply, now)
            cause = RefusalCause.BEGINS if is_new_program else RefusalCause.NO_ROOM
            return OverLimit(
                retry_after, is_new_program, self._available_calls(supply, now), cause
            )
        self.level -= 1.0
        self.recent.add(now + wait)
        if program:
            self._record_call(program, kind, now)
        return Granted(wait) if wait > 0.0 else GRANTED

    def _wait_seconds(self, supply: Supply, now: float) -> float:
        """Return the seconds until one more call may be admitted."""
        short = max(1.0 - self.level, 0.0)
        if short and supply.rate <= 0.0:
            return math.inf
        filled_in = short / supply.rate if short else 0.0
        return max(
            filled_in, self.recent.seconds_until_at_most(supply.window_calls - 1.0, now)
        )

    def _retry_after(
        self, shortfall: float, needed: float, supply: Supply, now: float
    ) -> float:
        """Return the time until capacity is available after earlier refused callers.

        If all refused callers returned at once, all but the first would be refused
        again.
        """
        if supply.rate <= 0.0:
            return MAX_RETRY_SECONDS
        available_at = now + shortfall / supply.rate
        promised_at = self._promised_until + needed / supply.rate
        seconds = max(available_at, promised_at) - now
        seconds = min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        self._promised_until = now + seconds
        return seconds

    def _available_calls(self, supply: Supply, now: float) -> float:
        """Return how many calls may be admitted at once."""
        return min(self.level, supply.window_calls - self.recent.count(now))

    def _record_call(self, program: str, kind: str, now: float) -> None:
        running = self._programs.setdefault(program, RunningProgram(kind, now, now))
        running.last = now
        running.calls += 1

    def _shortfall(self, kind: str, supply: Supply, now: float) -> float:
        """Return how many calls would be missing if one more program ran.

        A program may always start if no other is running, however large it is.
        """
        active = [
            running.kind
            for running in self._programs.values()
            if now - running.last < ACTIVE_SECONDS
        ]
        if not active:
            return 0.0
        size = self._sizes.of(kind)
        calls_per_second = size.calls_per_second + sum(
            self._sizes.of(other).calls_per_second for other in active
        )
        return (calls_per_second - supply.rate) * size.seconds - self._available_calls(
            supply, now
        )

    def _forget_ended(self, now: float) -> None:
        ended = [
            (name, running)
            for name, running in self._programs.items()
            if now - running.last > IDLE_SECONDS
        ]
        for name, running in ended:
            del self._programs[name]
            self._record_ended(running)

    def _record_ended(self, running: RunningProgram) -> None:
        if not running.was_refused:
            size = ProgramSize(float(running.calls), running.last - running.began)
            self._sizes.record(running.kind, size)


def exclusive_supply(
    limit: RateLimit, window_seconds: float, tolerated_calls: float
) -> Supply:
    """Return the supply of a limit for an owner that decides alone."""
    capacity = max(limit.burst + tolerated_calls, 1.0)
    rate = limit.per_second + limit.burst / window_seconds
    return Supply(rate, capacity, limit.per_second * window_seconds + capacity)


def shared_supply(
    limit: RateLimit, window_seconds: float, tolerated_calls: float, rate_share: float
) -> Supply:
    """Return the supply of a limit while another owner may decide as well."""
    exclusive = exclusive_supply(limit, window_seconds, tolerated_calls)
    return msgspec.structs.replace(exclusive, rate=limit.per_second * rate_share)
