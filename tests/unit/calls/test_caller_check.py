"""Refusals of callers without a valid key, and their log events."""

import msgspec
import pytest
from twisted.internet.task import Clock

from notcharch.calls.caller_check import CallerCheck
from notcharch.calls.interface import (
    KEY_NOT_KNOWN,
    KEYS_STALE,
    NOT_IDENTIFIED,
    OpaqueCall,
)
from notcharch.calls.routing import RouteTable
from notcharch.events import calls, tenants
from notcharch.http.exchange import ServerLimits
from notcharch.http.messages import RequestHead
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.interface import Tenant
from notcharch.tenants.keys import index_keys
from tests.unit.calls.world import World
from tests.unit.events.capture import captured, of

HULE = Tenant("hule")
WAIT_SECONDS = 3.0


class Checked:
    """A check against a table with one key, which was confirmed some time ago."""

    def __init__(self, table_age: float | None, *, has_tenants: bool = True) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        freshness = TableFreshness(5.0)
        freshness.put_in_force(7)
        if table_age is not None:
            freshness.confirm(7, 100.0 - table_age)
        keys = index_keys([(HULE, ["k1"])]) if has_tenants else None
        self.table = RouteTable(7, (), {}, ServerLimits(), keys)
        self.check = CallerCheck(self.clock, freshness)
        self.route = World().route
        head = RequestHead(b"GET", b"/", [])
        self.call = OpaqueCall("1", head, b"", 100.0, WAIT_SECONDS)

    def refusal(self, *presented: bytes):
        return self.check.refusal(self.call, presented, self.route, self.table)


def test_a_call_with_a_key_gets_its_tenant():
    checked = Checked(1.0)
    assert checked.refusal(b"k1") is None
    assert checked.call.tenant == HULE


def test_without_tenants_nothing_is_asked():
    checked = Checked(None, has_tenants=False)
    assert checked.refusal() is None
    assert checked.check.can_check_keys(checked.table)


@pytest.mark.parametrize("presented", [(), (b"unknown",), (b"k1", b"k1")])
def test_a_fresh_table_says_who_has_no_key(presented):
    checked = Checked(1.0)
    with captured() as messages:
        assert checked.refusal(*presented) == NOT_IDENTIFIED
    logged = of(messages, calls.CallerNotIdentified)[0]
    assert (logged["table_version"], logged["proof_age_seconds"]) == (7, 1.0)


@pytest.mark.parametrize(("age", "seconds"), [(None, 0.5), (5.5, WAIT_SECONDS * 0.32)])
def test_a_table_that_is_not_fresh_says_when_to_come_back(age, seconds):
    checked = Checked(age)
    refusal = checked.refusal(b"k1")
    assert (refusal.status, refusal.reason) == (503, KEYS_STALE.reason)
    assert refusal.retry_after_seconds == pytest.approx(seconds)
    assert checked.call.tenant is None


def test_that_keys_cannot_be_judged_is_told_once_and_that_they_can_again():
    checked = Checked(6.0)
    with captured() as messages:
        for is_sure in (True, False, False, True, True):
            checked.check.report_change(is_sure)
    logged = of(messages, tenants.KeysUnsure)
    assert [message["is_sure"] for message in logged] == [False, True]


@pytest.mark.parametrize("presented", [(), (b"unknown",), (b"k1", b"k1")])
def test_a_key_is_not_denied_that_may_be_one_that_cannot_be_read(presented):
    checked = Checked(1.0)
    checked.table = msgspec.structs.replace(checked.table, lacks_keys=True)
    refusal = checked.refusal(*presented)
    assert refusal == (KEY_NOT_KNOWN if presented == (b"unknown",) else NOT_IDENTIFIED)
    assert checked.refusal(b"k1") is None
