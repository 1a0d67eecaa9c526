"""Random schedules of faults against tenants' limits, the same ones in each run."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from notcharch.tenants.limit import GRANTED, TenantLimit
from notcharch.tenants.partition_limits import LimitOwnership, PartitionLimits
from tests.stateful.runs import RUN, assert_caught
from tests.stateful.tenants.limits_machine import LimitsMachine
from tests.unit.accounts import test_tenant_limits
from tests.unit.tenants import test_partition_limits


def test_limits_hold():
    run_state_machine_as_test(LimitsMachine, settings=RUN)


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
]


@pytest.mark.parametrize(("break_it", "scenario"), BREAKS)
def test_each_deliberate_break_is_caught(break_it, scenario, monkeypatch):
    assert_caught(break_it, scenario, monkeypatch)
