"""Refusals without a reason are seen; those with one pass."""

from random import Random

import pytest

from deploy.soak.observations import Asked, Run
from deploy.soak.refusal_checks import false_budget_refusals, false_refusals
from deploy.soak.settings import BUDGET_TOKENS, MOST_EVENTS, MOST_TOKENS
from deploy.soak.tenants import LEARN_SECONDS, NEVER_HELD, Tenants


def refused(status, key, *, tenant="open-a", sent_at=100.0) -> Asked:
    asked = Asked("r", "/write/x", b"said", False, False, tenant=tenant, key=key)
    asked.status, asked.sent_at = status, sent_at
    return asked


def rules(asked, tenants, *, in_contact=True) -> list[str]:
    found = false_refusals([asked], tenants, in_contact=in_contact)
    return [violation.rule for violation in found]


@pytest.fixture
def tenants() -> Tenants:
    tenants = Tenants(Random(1))
    tenants.named("open-a").keys["new"] = 90.0
    tenants.named("open-a").removed["gone"] = 50.0
    return tenants


@pytest.mark.parametrize("in_contact", [True, False])
def test_a_key_that_was_in_force_from_the_start_is_not_refused(tenants, in_contact):
    key = next(iter(tenants.named("open-a").keys))
    assert rules(refused(401, key), tenants, in_contact=in_contact) == ["KEY"]


@pytest.mark.parametrize(
    ("in_contact", "sent_at", "found"),
    [
        (True, 90.0 + LEARN_SECONDS, ["KEY"]),
        (True, 89.9 + LEARN_SECONDS, []),
        (False, 99.0, []),
    ],
)
def test_a_new_key_is_known_to_daemons_in_contact(tenants, in_contact, sent_at, found):
    asked = refused(401, "new", sent_at=sent_at)
    assert rules(asked, tenants, in_contact=in_contact) == found


@pytest.mark.parametrize("key", [NEVER_HELD, "gone"])
def test_other_keys_are_rightly_refused(tenants, key):
    assert rules(refused(401, key), tenants) == []


@pytest.mark.parametrize(("tenant", "found"), [("open-a", ["QUOTA"]), ("limited", [])])
def test_only_a_limited_tenant_is_told_of_its_limit(tenants, tenant, found):
    assert rules(refused(429, "x", tenant=tenant), tenants) == found


def budget_rules(turns: int, *, status: int = 402) -> list[str]:
    """Refuse a program after some whole turns of the most tokens."""
    asked, runs, lengths = [], {}, {}
    for number in range(turns):
        id = f"t{number}"
        turn = Asked(id, "/kept/x", b"said", False, True, program="p", status=200)
        asked.append(turn)
        runs[id] = [Run("i", "/kept/x", b"said", -1)]
        lengths[id] = MOST_EVENTS
    asked.append(Asked("r", "/kept/x", b"", False, True, program="p", status=status))
    found = false_budget_refusals(asked, runs, lengths)
    return [violation.rule for violation in found]


FULL = BUDGET_TOKENS // MOST_TOKENS


@pytest.mark.parametrize(("turns", "found"), [(0, ["BUDGET"]), (FULL, [])])
def test_a_program_with_an_unspent_budget_is_not_refused(turns, found):
    assert budget_rules(turns) == found
    assert budget_rules(turns, status=200) == []
