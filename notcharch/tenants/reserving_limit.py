"""A tenant's limit that reserves calls for its running programs. Pure.

It is used where callers compete for too little capacity. A program that is refused after
its first calls has wasted them, so calls are reserved for what running programs still
need by their kind's observed size:

- Calls of running programs use any capacity, and may wait for capacity that comes soon.
- A program begins only if its whole need fits beside the reserve and beside the refused
  programs that return earlier.
- Programs that have made far more calls than their kind makes, and calls of no program,
  get what is left beside the reserve.

The bucket and the window are those of `TenantLimit`; this module only refuses calls that
they would admit, so the limit holds in the same way.
"""

import msgspec

from notcharch.tenants.claims import claim, whole_need
from notcharch.tenants.limit import (
    GRANTED,
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    Granted,
    OverLimit,
    RefusalCause,
    RunningProgram,
    Supply,
    TenantLimit,
    Verdict,
)
from notcharch.tenants.needs import MIN_SECONDS, Need, Room
from notcharch.tenants.program_sizes import ProgramSize, ProgramSizes
from notcharch.tenants.recent_calls import RecentCalls
from notcharch.tenants.return_queue import ReturnQueue

ONE_CALL = Need(1.0, MIN_SECONDS)
RETRY_STEP_SECONDS = 0.1
"""Precision of retry times, and the distance of those at the upper bound; a call takes
longer, and a finer search costs the owner more."""
MAX_QUEUED_RETRY_SECONDS = 8.0
"""Upper bound of the retry times that keep callers in order, beyond
`MAX_RETRY_SECONDS`: callers with less time than that give up at once."""


class Asked(msgspec.Struct, frozen=True):
    """A call to be decided."""

    program: str
    kind: str
    supply: Supply
    now: float
    max_wait_seconds: float


class ReservingLimit(TenantLimit):
    """The token bucket of one tenant, and the claims of its running programs."""

    def __init__(
        self,
        level: float,
        now: float,
        sizes: ProgramSizes,
        recent: RecentCalls,
        window_seconds: float,
    ) -> None:
        """Start with a bucket level; `recent` counts the admitted calls."""
        super().__init__(level, now, sizes, recent)
        self._window_seconds = window_seconds
        self._queue = ReturnQueue()
        self._next_call_at = 0.0
        """Clock time up to which calls are promised to refused running programs."""

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
        """Admit a call, now or after a wait, or refuse it with a retry time."""
        self.fill(supply, now)
        self._forget_ended(now)
        self._queue.forget_absent(now)
        asked = Asked(program, kind, supply, now, max_wait_seconds)
        running = self._programs.get(program) if program else None
        if not program:
            return self._decide_unclaimed(asked, RefusalCause.UNCLAIMED, [ONE_CALL])
        if running is None and knows_all_programs:
            return self._decide_first_call(asked)
        if running is not None and self._is_looping(running):
            # A looping program also leaves room for one that begins.
            newcomer = whole_need(self._sizes.of(running.kind))
            return self._decide_unclaimed(
                msgspec.structs.replace(asked, max_wait_seconds=0.0),
                RefusalCause.LOOPS,
                [ONE_CALL, newcomer],
            )
        return self._decide_running(asked, running)

    # Kinds of calls

    def _decide_running(self, asked: Asked, running: RunningProgram | None) -> Verdict:
        """Decide a call of a running program, which uses any capacity."""
        wait = self._wait_seconds(asked.supply, asked.now)
        if wait <= asked.max_wait_seconds:
            return self._admit(asked, wait)
        at = asked.now + min(wait, MAX_RETRY_SECONDS)
        if asked.supply.rate > 0.0:
            at = max(at, self._next_call_at + 1.0 / asked.supply.rate)
        at = min(at, asked.now + MAX_RETRY_SECONDS)
        self._next_call_at = at
        return self._refuse(asked, RefusalCause.NO_ROOM, at)

    def _decide_first_call(self, asked: Asked) -> Verdict:
        """Decide the first call of a program, which needs room for the others as well."""
        reserve = self._reserve(asked)
        need = whole_need(self._sizes.of(asked.kind))
        wait = self._wait_seconds(asked.supply, asked.now)
        allowed = self._allowed_shortfall(asked)
        has_room = (
            not reserve or self._room(asked).shortfall([*reserve, need]) <= allowed
        )
        if has_room and wait <= asked.max_wait_seconds:
            place = self._queue.admit(asked.program)
            refused_for = 0.0 if place is None else asked.now - place.first_refused_at
            return self._admit(asked, wait, refused_for)
        at = self._return_time(asked, reserve, [need], wait)
        self._queue.refuse(asked.program, asked.kind, asked.now, at)
        return self._refuse(asked, RefusalCause.BEGINS, at, reserve)

    def _allowed_shortfall(self, asked: Asked) -> float:
        """Return how many calls may be missing for a program that begins.

        One that returns when told may begin if the others' calls need to wait no longer
        than they can: a caller has one or two tries, and the time was only expected.
        """
        if self._queue.is_due(asked.program, asked.now):
            return asked.supply.rate * asked.max_wait_seconds
        return 0.0

    def _decide_unclaimed(
        self, asked: Asked, cause: RefusalCause, needs: list[Need]
    ) -> Verdict:
        """Decide a call without a claim, which gets what is left beside the reserve."""
        reserve = self._reserve(asked)
        wait = self._wait_seconds(asked.supply, asked.now)
        has_room = not reserve or self._room(asked).shortfall([*reserve, *needs]) <= 0.0
        if has_room and wait <= asked.max_wait_seconds:
            return self._admit(asked, wait)
        at = self._return_time(asked, reserve, needs, wait)
        return self._refuse(asked, cause, at, reserve)

    # Verdicts

    def _admit(self, asked: Asked, wait: float, refused_for: float = 0.0) -> Granted:
        self.level -= 1.0
        self.recent.add(asked.now + wait)
        if asked.program:
            self._record_call(asked.program, asked.kind, asked.now)
        return Granted(wait, refused_for) if wait or refused_for else GRANTED

    def _refuse(
        self,
        asked: Asked,
        cause: RefusalCause,
        at: float,
        reserve: list[Need] | None = None,
    ) -> OverLimit:
        running = self._programs.get(asked.program)
        if running is not None:
            running.last = asked.now
            running.was_refused = True
        return OverLimit(
            max(at - asked.now, MIN_RETRY_SECONDS),
            cause is RefusalCause.BEGINS,
            self._available_calls(asked.supply, asked.now),
            cause,
            sum(need.calls for need in reserve or ()),
            0 if running is None else running.calls,
        )

    # The reserve

    def _is_looping(self, running: RunningProgram) -> bool:
        """Return whether a program has made far more calls than its kind makes.

        If that is wrong, its calls only yield to those of the others.
        """
        return running.calls >= self._sizes.largest_usual_calls(running.kind)

    def _reserve(self, asked: Asked) -> list[Need]:
        """Return what other running programs, and those that return earlier, need."""
        now = asked.now
        claims = (
            claim(running.calls, now - running.last, self._sizes.of(running.kind))
            for name, running in self._programs.items()
            if name != asked.program and not self._is_looping(running)
        )
        returning = (
            whole_need(self._sizes.of(place.kind), max(place.at - now, 0.0))
            for place in self._queue.before(asked.program)
        )
        return [need for need in claims if need is not None] + list(returning)

    def _room(self, asked: Asked) -> Room:
        supply = asked.supply
        return Room(
            self.level,
            supply.rate,
            supply.capacity,
            supply.window_calls - self.recent.count(asked.now),
            self.recent.leaving(asked.now),
            self._window_seconds,
        )

    def _return_time(
        self, asked: Asked, reserve: list[Need], needs: list[Need], wait: float
    ) -> float:
        """Return when room is expected, after the programs that return earlier."""
        soonest = self._seconds_until_room(asked, reserve, needs)
        soonest = max(min(wait, MAX_RETRY_SECONDS), soonest, MIN_RETRY_SECONDS)
        places = self._queue.before(asked.program)
        last = max((place.at for place in places), default=0.0)
        at = max(asked.now + soonest, last + RETRY_STEP_SECONDS)
        return min(at, asked.now + MAX_QUEUED_RETRY_SECONDS)

    def _seconds_until_room(
        self, asked: Asked, reserve: list[Need], needs: list[Need]
    ) -> float:
        """Return the delay after which `needs` fit beside what is left of the reserve."""
        room = self._room(asked)
        low, high = 0.0, MAX_RETRY_SECONDS
        while high - low > RETRY_STEP_SECONDS:
            delay = (low + high) / 2
            left = [need.after(delay) for need in reserve]
            if room.after(delay, reserve).shortfall([*left, *needs]) <= 0.0:
                high = delay
            else:
                low = delay
        return high

    # Sizes

    def _record_ended(self, running: RunningProgram) -> None:
        """Record a size, no larger than that of a program which begins to loop.

        A refused program that was larger than the mean also counts. Otherwise the mean
        would only be learned from programs that are small enough not to be refused.
        """
        mean = self._sizes.of(running.kind)
        if running.was_refused and running.calls <= mean.calls:
            return
        seconds = running.last - running.began
        calls = float(running.calls)
        largest = self._sizes.largest_usual_calls(running.kind)
        if calls > largest:
            seconds *= largest / calls
            calls = largest
        self._sizes.record(running.kind, ProgramSize(calls, seconds))
