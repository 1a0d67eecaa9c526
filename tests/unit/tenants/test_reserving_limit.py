"""The limit of a tenant whose callers compete: who is admitted, and who returns when."""

import pytest

from notcharch.tenants.limit import (
    GRANTED,
    Granted,
    OverLimit,
    RefusalCause,
    Supply,
)
from notcharch.tenants.program_sizes import DEFAULT_SIZE, ProgramSize, ProgramSizes
from notcharch.tenants.recent_calls import RecentCalls
from notcharch.tenants.reserving_limit import ReservingLimit
from tests.unit.tenants.tenant_load import (
    LIMIT,
    TOLERATED_CALLS,
    WINDOW_SECONDS,
    reserved_load,
    todays_load,
)

SUPPLY = Supply(rate=6.0, capacity=16.0, window_calls=41.0)
SEEDS = range(5)
LOOP_CALLS = 80


class Reserving:
    """A tenant's limit and a clock."""

    def __init__(self, level: float = 16.0, supply: Supply = SUPPLY) -> None:
        self.sizes = ProgramSizes()
        recent = RecentCalls(WINDOW_SECONDS)
        self.limit = ReservingLimit(level, 0.0, self.sizes, recent, WINDOW_SECONDS)
        self.supply = supply
        self.now = 0.0

    def request(self, program: str, *, knows_all: bool = True, max_wait: float = 0.0):
        return self.limit.decide(
            program,
            "k",
            self.supply,
            self.now,
            knows_all_programs=knows_all,
            max_wait_seconds=max_wait,
        )

    def begin_until_refused(self) -> int:
        return next(
            n for n in range(100) if isinstance(self.request(f"p{n}"), OverLimit)
        )

    def go_on(self, programs: int, until: float) -> None:
        """Let programs make their calls at the rate of their kind."""
        gap = DEFAULT_SIZE.seconds / DEFAULT_SIZE.calls
        while self.now + gap < until:
            self.now += gap
            for n in range(programs):
                self.request(f"p{n}", max_wait=0.6)
        self.now = until

    def loop(self, program: str = "loop") -> None:
        """Let a program make many calls without using the limit."""
        self.request(program)
        self.limit._programs[program].calls = LOOP_CALLS


def test_a_program_begins_only_if_its_need_fits_beside_the_reserve():
    """Otherwise programs are refused after calls that they have already made."""
    tenant = Reserving()
    begun = tenant.begin_until_refused()
    fitting = (16.0 + 6.0 * DEFAULT_SIZE.seconds) / DEFAULT_SIZE.calls
    assert begun == pytest.approx(fitting, abs=1.0)
    refused = tenant.request("late")
    assert refused.cause is RefusalCause.BEGINS
    assert refused.reserved_calls > 0
    assert tenant.request("p0") == GRANTED


def test_a_running_program_needs_less_the_further_it_is():
    """A reserve of whole sizes would keep out programs that fit."""
    tenant = Reserving()
    begun = tenant.begin_until_refused()
    tenant.now = 2.0
    for name in range(begun):
        running = tenant.limit._programs[f"p{name}"]
        running.calls, running.last = 7, tenant.now
    assert isinstance(tenant.request("another"), Granted)


def test_refused_programs_return_in_order_each_later():
    """Callers that return together are refused again, all but one."""
    tenant = Reserving()
    tenant.begin_until_refused()
    times = [tenant.request(f"late{n}").retry_after_seconds for n in range(8)]
    assert times == sorted(set(times))


def test_a_program_that_returns_when_told_precedes_one_that_is_new():
    """Without places, newcomers would take the room for which refused ones waited."""
    tenant = Reserving()
    begun = tenant.begin_until_refused()
    told = tenant.request("early").retry_after_seconds
    tenant.go_on(begun, told)
    assert isinstance(tenant.request("newcomer"), OverLimit)
    admitted = tenant.request("early", max_wait=0.6)
    assert isinstance(admitted, Granted)
    assert admitted.refused_seconds == pytest.approx(told)


def test_the_place_of_a_program_that_does_not_return_is_given_up():
    tenant = Reserving()
    tenant.begin_until_refused()
    tenant.request("absent")
    tenant.now = 20.0
    assert tenant.request("newcomer") == GRANTED
    assert tenant.limit._queue.before("") == []


def test_a_looping_program_is_refused_before_others():
    """On the quiet day loops took the calls of the programs beside them."""
    tenant = Reserving()
    tenant.loop()
    tenant.begin_until_refused()
    refused = tenant.request("loop", max_wait=0.6)
    assert isinstance(refused, OverLimit)
    assert refused.cause is RefusalCause.LOOPS
    assert refused.program_calls == LOOP_CALLS
    assert tenant.request("p0", max_wait=0.6) == GRANTED


def test_few_long_programs_among_many_short_ones_do_not_count_as_loops():
    """They are the ones that are late most often, and would be refused first."""
    sizes = ProgramSizes()
    for n in range(200):
        sizes.record("k", ProgramSize(14.0 if n % 5 == 0 else 3.0, 3.0))
    assert 14.0 < sizes.largest_usual_calls("k") < LOOP_CALLS


def test_a_looping_program_gets_what_nobody_else_needs():
    tenant = Reserving()
    tenant.loop()
    assert tenant.request("loop") == GRANTED


def test_calls_of_no_program_yield_to_the_reserve():
    tenant = Reserving()
    tenant.begin_until_refused()
    while tenant.request("") == GRANTED:
        pass
    assert tenant.request("").cause is RefusalCause.UNCLAIMED
    assert tenant.request("p0") == GRANTED


def test_a_program_alone_begins_however_large_its_kind_is():
    tenant = Reserving(level=1.0, supply=Supply(0.5, 2.0, 1000.0))
    assert tenant.request("p") == GRANTED
    assert isinstance(tenant.request("q"), OverLimit)


def test_programs_that_may_have_begun_at_a_former_owner_count_as_running():
    tenant = Reserving()
    assert all(tenant.request(f"p{n}", knows_all=False) == GRANTED for n in range(15))


def test_a_running_program_is_not_told_to_return_after_those_that_begin():
    """Its caller has invested calls; the queue of programs is not its queue."""
    tenant = Reserving(level=1.0)
    tenant.request("p")
    for n in range(5):
        tenant.request(f"late{n}")
    told = tenant.request("p").retry_after_seconds
    assert told <= 1.0 / SUPPLY.rate + 0.01


def test_sizes_are_learned_from_programs_that_were_refused_when_already_large():
    """Otherwise only small programs would be learned, and too many would begin."""
    tenant = Reserving()
    tenant.sizes.record("k", ProgramSize(4.0, 2.0))
    before = tenant.sizes.of("k").calls
    for _ in range(round(before) + 3):
        tenant.request("p")
    tenant.limit._programs["p"].was_refused = True
    tenant.now = 20.0
    tenant.request("q")
    assert tenant.sizes.of("k").calls > before


@pytest.mark.parametrize("loops", [0, 1])
def test_more_programs_begin_and_end_without_a_refusal_than_today(loops):
    before = [todays_load(seed, loops) for seed in SEEDS]
    loads = [reserved_load(seed, loops) for seed in SEEDS]
    whole_before = sum(load.count("is_whole") for load in before)
    whole = sum(load.count("is_whole") for load in loads)
    assert whole >= whole_before * (1.3 if loops else 1.0)


def test_first_calls_are_refused_less_often_beside_a_loop():
    before = sum(p.refused_first_calls for s in SEEDS for p in todays_load(s).ordinary)
    after = sum(p.refused_first_calls for s in SEEDS for p in reserved_load(s).ordinary)
    assert after < before * 0.8


def test_few_running_programs_fail_under_the_load():
    loads = [reserved_load(seed) for seed in SEEDS]
    failed = sum(p.has_failed and p.made > 0 for load in loads for p in load.ordinary)
    assert failed <= sum(load.count("is_whole") for load in loads) * 0.03


@pytest.mark.parametrize("seed", SEEDS)
def test_a_window_holds_no_more_than_the_limit_allows(seed):
    within = LIMIT.per_second * WINDOW_SECONDS + LIMIT.burst + TOLERATED_CALLS
    assert reserved_load(seed).max_in_a_window() <= within
