"""The bound on engines that end under a request, as the soak judges it."""

import pytest

from deploy.soak.deadly import (
    COUNTERS,
    MAX_ENGINES_ENDED,
    DaemonOutage,
    DeadlyEnds,
    DeadlyKind,
    RequestKey,
    Try,
    deadly_kind,
)
from deploy.soak.observations import Asked
from deploy.soak.oracle import Oracle

KEY = RequestKey("a", "/plain/x", b"x " + DeadlyKind.BEFORE_HEAD.value)
OTHER = RequestKey("b", "/plain/x", KEY.body)


def ended(count: int, key: RequestKey = KEY) -> DeadlyEnds:
    ends = DeadlyEnds()
    for number in range(count):
        ends.engine_ended(key, f"e{number}")
    return ends


def tries(*daemons: str, key: RequestKey = KEY) -> list[Try]:
    return [Try(key, name, 10.0 + n, 10.9 + n) for n, name in enumerate(daemons)]


@pytest.mark.parametrize("count", [3, 4])
def test_more_ends_than_the_bound_are_found(count):
    found = ended(count).judge(tries("d0", "d1", "d2", "d3"))
    assert bool(found) == (count > MAX_ENGINES_ENDED)


def test_ends_of_another_tenants_request_are_its_own():
    ends = ended(2)
    ends.engine_ended(OTHER, "e8")
    ends.engine_ended(OTHER, "e9")
    assert ends.judge([*tries("d0", "d1"), *tries("d0", "d1", key=OTHER)]) == []


@pytest.mark.parametrize(("daemon", "at"), [("d9", 10.5), ("d0", 30.0), ("d0", 1.0)])
def test_an_outage_elsewhere_or_at_another_time_excuses_nothing(daemon, at):
    ends = ended(4)
    ends.outages.append(DaemonOutage(daemon, at, loses_memory=False))
    assert ends.judge(tries("d0", "d1"))


def test_each_try_at_a_disturbed_daemon_excuses_one():
    ends = ended(5)
    ends.outages.append(DaemonOutage("d0", 9.0, loses_memory=False))
    assert ends.judge(tries("d0", "d0", "d1")) == []
    assert ends.judge(tries("d0", "d1", "d1"))


def test_a_try_whose_caller_left_excuses_one():
    left = Try(KEY, "d0", 10.0, 10.9, has_left=True)
    assert ended(4).judge([left, *tries("d1", "d2")]) == []
    assert ended(5).judge([left, *tries("d1", "d2")])


def test_all_counters_lost_excuse_as_many_again():
    ends = ended(2 * MAX_ENGINES_ENDED)
    ends.outages += [
        DaemonOutage(f"c{number}", 10.5, loses_memory=True)
        for number in range(COUNTERS)
    ]
    assert ends.judge(tries("d0", "d1")) == []
    ends.engine_ended(KEY, "more")
    assert ends.judge(tries("d0", "d1"))


def test_the_oracle_reports_too_many_ends():
    oracle = Oracle()
    for number in range(4):
        name = f"t{number}"
        oracle.asked[name] = Asked(
            name, KEY.path, KEY.body, False, True, tenant=KEY.tenant, daemon="d0"
        )
        oracle.deadly.engine_ended(oracle.asked[name].request_key, f"e{number}")
    assert [found.rule for found in oracle.violations()] == ["BUDGET"]


def test_only_the_last_input_of_a_chain_is_deadly():
    assert deadly_kind(KEY.body) is DeadlyKind.BEFORE_HEAD
    assert deadly_kind(KEY.body + b"t1:0:v1\nand on\n") is None
