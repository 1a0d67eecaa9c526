"""Configurations of which some parts can't be read."""

import msgspec
import pytest

from notcharch.events import process
from notcharch.platform.tables import CONFIGURATION_KEY
from notcharch.tenants.freshness import TableFreshness
from tests.unit.events.capture import captured, of
from tests.unit.platform.tables_world import World

NESTED = b"[" * 60_000 + b"]" * 60_000
HOST = "h"


def route(name: str, service: str = "s") -> bytes:
    entry = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "service": service}
    return msgspec.json.encode(entry)


def table(number: int, *routes: bytes, **members: bytes) -> bytes:
    fields = {
        "version": b"%d" % number,
        "routes": b"[%b]" % b",".join(routes),
        "services": b'[{"name":"s","connection_limit":7}]',
        "limits": b"{}",
    } | members
    return b"{%b}" % b",".join(b'"%b":%b' % (k.encode(), v) for k, v in fields.items())


class Tables(World):
    """A world whose configuration is written as text."""

    def put(self, value: bytes) -> None:
        self.put_operator_key(CONFIGURATION_KEY, value)
        self.run(0.5)

    @property
    def router(self):
        return self.tables._ingress.router

    def service_of(self, name: str) -> str | None:
        found = self.router.find(HOST, f"/{name}/x")
        return None if found is None else found.shares[0].service


BAD_ROUTES = [
    b"null",
    b"5",
    NESTED,
    b'{"name":"b"}',
    route("b", "t")[:-1] + b',"priority":1e400}',
    route("b", "t")[:-1] + b',"timeout_ms":"3"}',
]


@pytest.mark.parametrize("bad", BAD_ROUTES, ids=lambda v: repr(v)[:40])
def test_a_route_that_cannot_be_read_costs_that_route_alone(bad):
    world = Tables()
    world.put(table(1, route("a")))
    with captured() as messages:
        world.put(table(2, route("a", "t"), bad, route("c")))
    assert world.router.table.version == 2
    assert (world.service_of("a"), world.service_of("c")) == ("t", "s")
    assert world.service_of("b") is None
    assert world.router.table.lacks_routes
    assert len(of(messages, process.PartSkipped)) == 1


def test_a_route_that_cannot_be_read_any_more_is_as_before():
    world = Tables()
    world.put(table(1, route("a"), route("b")))
    for version in (2, 3):
        bad = route("b", "t")[:-1] + b',"priority":1e400}'
        world.put(table(version, route("a", "t"), bad))
        assert (world.service_of("a"), world.service_of("b")) == ("t", "s")
    assert not world.router.table.lacks_routes
    world.put(table(4, route("a"), route("b", "t")))
    assert world.service_of("b") == "t"


@pytest.mark.parametrize("value", [NESTED, b"NaN", b"01"], ids=lambda v: repr(v)[:20])
def test_unknown_members_that_cannot_be_read_cost_nothing(value):
    world = Tables()
    odd = route("a")[:-1] + b',"more":' + value + b"}"
    world.put(table(1, odd, more=value))
    assert world.service_of("a") == "s"
    assert not world.router.table.lacks_routes


def test_a_service_that_cannot_be_read_is_as_before():
    world = Tables()
    world.put(table(1, route("a")))
    bad = b'[{"name":"s","connection_limit":1e400},{"name":"t","connection_limit":5}]'
    world.put(table(2, route("a"), services=bad))
    limits = {s.name: s.connection_limit for s in world.router.table.services.values()}
    assert limits == {"s": 7, "t": 5}


@pytest.mark.parametrize(
    "members",
    [
        {"version": b"1e400"},
        {"limits": b"5"},
        {"routes": b"5"},
        {"services": b"[{}"},
        {"tenants": b"5"},
    ],
    ids=lambda v: next(iter(v)),
)
def test_a_table_without_its_essential_parts_is_not_taken(members):
    world = Tables()
    world.put(table(1, route("a")))
    world.put(table(2, route("a", "t"), **members))
    assert world.router.table.version == 1
    world.put(table(3, route("a", "t")))
    assert world.service_of("a") == "t"


@pytest.mark.parametrize("size", range(0, len(table(2, route("a", "t"))), 7))
def test_a_cut_table_is_not_taken(size):
    world = Tables()
    world.put(table(1, route("a")))
    world.put(table(2, route("a", "t"))[:size])
    assert world.router.table.version == 1


def test_a_tenant_that_cannot_be_read_keeps_no_key_and_denies_none():
    """Its keys may have been taken away, or others added."""
    tenants = b'[{"name":"x","api_keys":["k1"]},{"name":"y","api_keys":["k2"]%b}]'
    world = Tables(TableFreshness(None))
    world.put(table(1, route("a"), tenants=tenants % b""))
    assert world.router.table.keys.holder("k2").name == "y"
    world.put(table(2, route("a"), tenants=tenants % b',"priority":1e400'))
    assert world.router.table.keys.holder("k1").name == "x"
    assert world.router.table.keys.holder("k2") is None
    assert world.router.table.lacks_keys


def test_drained_zones_are_taken_beside_a_table_that_cannot_be_read():
    world = Tables()
    world.put(b"null")
    world.put_operator_key("evacuate/z1", b"{}")
    world.run(0.5)
    assert world.drained == {"z1"}
