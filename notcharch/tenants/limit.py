"""One tenant's calls against its rate limit, as the one owner of its limit counts them. Pure.

A call is let in if a token bucket has a call left, and if the window before it holds fewer
calls than the limit lets in within one. The bucket fills faster than the limit's rate, by
the burst in each window, so what a tenant may send within a window it may send at any
pace; the bucket keeps it from sending all of it at once.

Only the order of calls is ours to choose. A program whose first calls were let in and whose
last ones are refused has cost everything and is worth nothing. So a program begins only if
it and the programs under way are expected to ask for no more calls a second than there
are; calls of programs under way take whatever is there.
"""

import math

import msgspec

from notcharch.tenants.interface import RateLimit
from notcharch.tenants.program_sizes import ProgramSize, ProgramSizes
from notcharch.tenants.recent_calls import RecentCalls

IDLE_SECONDS = 4.0
"""A program that asked for nothing for so long is over. Its pauses for tools are shorter."""
ACTIVE_SECONDS = 2.0
"""A program that asked for nothing for so long counts no more among those under way: most
are over by then, and its next calls are let in first all the same."""
MIN_RETRY_SECONDS = 0.1
"""Sooner than this a caller's next try would still meet the same moment."""
MAX_RETRY_SECONDS = 5.0
"""When room comes later than this, it isn't known well enough to say when."""


class Supply(msgspec.Struct, frozen=True):
    """What the owner of a limit may give out at present."""

    rate: float
    """Calls a second."""
    capacity: float
    """Calls that the bucket holds at most."""
    window_calls: float
    """Calls that may be let in within a window."""


class RunningProgram(msgspec.Struct):
    """A program under way."""

    kind: str
    """The route of its first call: programs of a kind ask for about as many calls."""
    began: float
    last: float
    calls: int = 0
    was_refused: bool = False


class Granted(msgspec.Struct, frozen=True):
    """The call may run, after a wait."""

    wait_seconds: float = 0.0


class OverLimit(msgspec.Struct, frozen=True):
    """The call must not run; there may be room in some seconds."""

    retry_after_seconds: float
    is_new_program: bool
    """Whether it would have begun a program."""
    level: float
    """Calls that could have been let in."""


Verdict = Granted | OverLimit
GRANTED = Granted()


class TenantLimit:
    """The bucket of one tenant, and its programs under way."""

    def __init__(
        self, level: float, now: float, sizes: ProgramSizes, recent: RecentCalls
    ) -> None:
        """Begin with so many calls in the bucket; `recent` counts those let in."""
        self.level = level
        self.recent = recent
        self._filled_at = now
        self._rate = math.inf
        """That of the last look."""
        self._sizes = sizes
        self._programs: dict[str, RunningProgram] = {}
        self._promised_until = 0.0
        """Clock seconds up to which room is promised to refused callers."""

    def fill(self, supply: Supply, now: float) -> None:
        """Add what has come since the last look, at the lower of the two rates."""
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
        """Let a call in, now or after a wait, or refuse it with the time to come back.

        `knows_all_programs`: whether programs that aren't known here have not begun yet; for a
        while after a change of owner they may have.
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
            return OverLimit(
                retry_after, is_new_program, self._available_calls(supply, now)
            )
        self.level -= 1.0
        self.recent.add(now + wait)
        if program:
            self._record_call(program, kind, now)
        return Granted(wait) if wait > 0.0 else GRANTED

    def _wait_seconds(self, supply: Supply, now: float) -> float:
        """Give the seconds until one more call may be let in."""
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
        """Give the time until there is room, after those that were refused before.

        Callers that came back all at once would be refused again, but for the first.
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
        """Give how many calls may be let in at once."""
        return min(self.level, supply.window_calls - self.recent.count(now))

    def _record_call(self, program: str, kind: str, now: float) -> None:
        running = self._programs.setdefault(program, RunningProgram(kind, now, now))
        running.last = now
        running.calls += 1

    def _shortfall(self, kind: str, supply: Supply, now: float) -> float:
        """Give how many calls too few there will be while another program runs.

        One program alone may always begin, however large it is.
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
            if not running.was_refused:
                size = ProgramSize(float(running.calls), running.last - running.began)
                self._sizes.record(running.kind, size)


def exclusive_supply(
    limit: RateLimit, window_seconds: float, tolerated_calls: float
) -> Supply:
    """Give what an owner that alone decides may give out by a limit."""
    capacity = max(limit.burst + tolerated_calls, 1.0)
    rate = limit.per_second + limit.burst / window_seconds
    return Supply(rate, capacity, limit.per_second * window_seconds + capacity)


def shared_supply(
    limit: RateLimit, window_seconds: float, tolerated_calls: float, rate_share: float
) -> Supply:
    """Give what an owner may give out while another one may decide as well."""
    exclusive = exclusive_supply(limit, window_seconds, tolerated_calls)
    return msgspec.structs.replace(exclusive, rate=limit.per_second * rate_share)
