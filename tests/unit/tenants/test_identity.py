"""Finding the tenant of a request by its key."""

import pytest
from result import Err, Ok

from notcharch.tenants.identity import MAX_KEY_BYTES, IdentityFault, identify
from notcharch.tenants.interface import Tenant
from notcharch.tenants.keys import MAX_REMOVED_KEYS, index_keys
from notcharch.tenants.scope import scoped_name

HULE = Tenant("hule", priority=1)
VUPA = Tenant("vupa")


def keys():
    return index_keys([(HULE, ["k1", "k2"]), (VUPA, ["k3"])])


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
        ([b"k" * (MAX_KEY_BYTES + 1)], IdentityFault.UNREADABLE_KEY),
    ],
)
def test_anything_else_names_nobody(presented, fault):
    assert identify(presented, keys(), is_fresh=True) == Err(fault)


@pytest.mark.parametrize("presented", [b"k1", b"unknown"])
def test_no_verdict_on_any_key_while_the_newest_keys_are_not_known(presented):
    verdict = identify([presented], keys(), is_fresh=False)
    assert verdict == Err(IdentityFault.NO_FRESH_TABLE)


def test_a_removed_key_is_told_from_an_unknown_one():
    newer = index_keys([(HULE, ["k2"]), (VUPA, ["k3"])])
    newer.inherit_removed(keys())
    removed = identify([b"k1"], newer, is_fresh=True)
    assert removed == Err(IdentityFault.REMOVED_KEY)
    newest = index_keys([(HULE, ["k1"])])
    newest.inherit_removed(newer)
    assert identify([b"k1"], newest, is_fresh=True) == Ok(HULE)
    assert newest.was_removed("k3")
    assert not newest.was_removed("k1")


def test_few_removed_keys_are_remembered():
    former = index_keys(
        [(HULE, [f"k{number}" for number in range(MAX_REMOVED_KEYS + 5)])]
    )
    newer = index_keys([])
    newer.inherit_removed(former)
    assert not newer.was_removed("k0")
    assert newer.was_removed(f"k{MAX_REMOVED_KEYS + 4}")


def test_no_text_of_a_table_shows_a_key():
    held = keys()
    assert "k1" not in f"{held!r} {held} {HULE!r}"


def test_equal_names_of_two_tenants_are_distinct():
    assert scoped_name("a", "p") != scoped_name("b", "p")
    assert scoped_name("", "p") == "p"
    assert scoped_name("a", "") == ""
