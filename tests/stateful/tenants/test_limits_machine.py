"""Random schedules of faults against tenants' limits, the same ones in each run."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from notcharch.tenants.limit import GRANTED, TenantLimit
from notcharch.tenants.partition_limits import LimitOwnership, PartitionLimits
from notcharch.tenants.reserving_limit import ReservingLimit
from notcharch.tenants.return_queue import ReturnQueue
from tests.stateful.runs import RUN, assert_caught
from tests.stateful.tenants.limits_machine import CompetingLimitsMachine, LimitsMachine
from tests.unit.accounts import test_tenant_limits
from tests.unit.tenants import test_partition_limits, test_reserving_limit


@pytest.mark.parametrize("machine", [LimitsMachine, CompetingLimitsMachine])
def test_limits_hold(machine):
    run_state_machine_as_test(machine, settings=RUN)


def nothing_is_counted(monkeypatch):
    monkeypatch.setattr(TenantLimit, "decide", lambda *_, **__: GRANTED)


def a_successor_begins_with_a_full_bucket(monkeypatch):
    monkeypatch.setattr(
        PartitionLimits, "_initial_level", lambda self, supply, now: supply.capacity
    )


def an_owner_always_decides_alone(monkeypatch):
    monkeypatch.setattr(PartitionLimits, "ownership", lambda *_: LimitOwnership.ALONE)


def levels_are_not_handed_over(monkeypatch):
    monkeypatch.setattr(PartitionLimits, "replay_handover", lambda *_: None)


def a_reserving_limit_does_not_count_its_calls(monkeypatch):
    monkeypatch.setattr(ReservingLimit, "_admit", lambda *_: GRANTED)


def loops_have_claims(monkeypatch):
    monkeypatch.setattr(ReservingLimit, "_is_looping", lambda *_: False)


def refused_programs_keep_no_places(monkeypatch):
    monkeypatch.setattr(ReturnQueue, "before", lambda *_: [])


BREAKS = [
    (nothing_is_counted, test_tenant_limits.test_a_limit_holds_over_all_daemons),
    (
        a_successor_begins_with_a_full_bucket,
        lambda: test_partition_limits.test_a_successor_begins_with_little(
            test_partition_limits.LIMITS[2]
        ),
    ),
    (
        an_owner_always_decides_alone,
        test_tenant_limits.test_an_owner_that_the_log_service_refuses_shares_the_rate_with_its_successor,
    ),
    (
        levels_are_not_handed_over,
        test_tenant_limits.test_a_planned_move_goes_on_where_the_owner_stopped,
    ),
    (
        a_reserving_limit_does_not_count_its_calls,
        test_tenant_limits.test_a_limit_with_a_reserve_holds_over_all_daemons,
    ),
    (
        loops_have_claims,
        test_reserving_limit.test_a_looping_program_is_refused_before_others,
    ),
    (
        refused_programs_keep_no_places,
        test_reserving_limit.test_refused_programs_return_in_order_each_later,
    ),
]


@pytest.mark.parametrize(("break_it", "scenario"), BREAKS)
def test_each_deliberate_break_is_caught(break_it, scenario, monkeypatch):
    assert_caught(break_it, scenario, monkeypatch)
