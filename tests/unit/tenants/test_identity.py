"""From the keys of a request to its tenant."""

import pytest
from result import Err, Ok

from notcharch.tenants.identity import LONGEST_KEY, IdentityFault, identify
from notcharch.tenants.interface import Tenant
from notcharch.tenants.keys import MOST_REMEMBERED, keys_of
from notcharch.tenants.scope import scoped_name

HULE = Tenant("hule", priority=1)
VUPA = Tenant("vupa")


def keys():
    return keys_of([(HULE, ["k1", "k2"]), (VUPA, ["k3"])])


@pytest.mark.parametrize(
    ("presented", "tenant"), [(b"k1", HULE), (b"k2", HULE), (b" k3 ", VUPA)]
)
def test_a_key_names_its_tenant(presented, tenant):
    assert identify([presented], keys(), is_fresh=True) == Ok(tenant)


@pytest.mark.parametrize(
    ("presented", "fault"),
    [
        ([], IdentityFault.NO_KEY),
        ([b""], IdentityFault.NO_KEY),
        ([b"   "], IdentityFault.NO_KEY),
        ([b"k1", b"k1"], IdentityFault.SEVERAL_KEYS),
        ([b"k1", b"k3"], IdentityFault.SEVERAL_KEYS),
        ([b"k1,k3"], IdentityFault.UNKNOWN_KEY),
        ([b"K1"], IdentityFault.UNKNOWN_KEY),
        ([b"hule"], IdentityFault.UNKNOWN_KEY),
        ([b"k1\xc3\xa9"], IdentityFault.UNREADABLE_KEY),
        ([b"k" * (LONGEST_KEY + 1)], IdentityFault.UNREADABLE_KEY),
    ],
)
def test_anything_else_names_nobody(presented, fault):
    assert identify(presented, keys(), is_fresh=True) == Err(fault)


@pytest.mark.parametrize("presented", [b"k1", b"unknown"])
def test_no_verdict_on_any_key_while_the_newest_keys_are_not_known(presented):
    verdict = identify([presented], keys(), is_fresh=False)
    assert verdict == Err(IdentityFault.NO_FRESH_TABLE)


def test_a_removed_key_is_told_from_an_unknown_one():
    newer = keys_of([(HULE, ["k2"]), (VUPA, ["k3"])])
    newer.succeed(keys())
    removed = identify([b"k1"], newer, is_fresh=True)
    assert removed == Err(IdentityFault.REMOVED_KEY)
    newest = keys_of([(HULE, ["k1"])])
    newest.succeed(newer)
    assert identify([b"k1"], newest, is_fresh=True) == Ok(HULE)
    assert newest.was_removed("k3")
    assert not newest.was_removed("k1")


def test_few_removed_keys_are_remembered():
    former = keys_of([(HULE, [f"k{number}" for number in range(MOST_REMEMBERED + 5)])])
    newer = keys_of([])
    newer.succeed(former)
    assert not newer.was_removed("k0")
    assert newer.was_removed(f"k{MOST_REMEMBERED + 4}")


def test_no_text_of_a_table_shows_a_key():
    held = keys()
    assert "k1" not in f"{held!r} {held} {HULE!r}"


def test_names_of_tenants_that_call_alike_are_two():
    assert scoped_name("a", "p") != scoped_name("b", "p")
    assert scoped_name("", "p") == "p"
    assert scoped_name("a", "") == ""
