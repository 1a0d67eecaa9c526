"""Tests that callers can't gain access or control by headers, over a connection."""

import msgspec
import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from notcharch.calls.call_services import CallServices
from notcharch.calls.caller_check import CallerCheck
from notcharch.calls.open_admission import OpenAdmission
from notcharch.calls.routing import Router
from notcharch.http.server import ServerFactory
from notcharch.platform.headers import PlatformDialect
from notcharch.platform.ingress import Ingress
from notcharch.scheduling.first_response_times import OverduePolicy, RouteResponseTimes
from notcharch.tenants.freshness import TableFreshness
from tests.unit.calls.world import Sender, engine_pool
from tests.unit.events.capture import captured
from tests.unit.platform.decoding import decode_table

KEY = "jvz48wuakn2ftimaj3nr"
OTHER_KEY = "26tta828m82thhkmgjqn"
TABLE = {
    "version": 7,
    "routes": [
        {
            "name": name,
            "host": "h.example",
            "path_prefix": f"/{name}/",
            "kind": "idempotent",
            "service": "s",
            "public": name == "open",
        }
        for name in ("closed", "open")
    ],
    "services": [{"name": "s"}],
    "limits": {},
    "tenants": [
        {"name": "hule", "api_keys": [KEY], "priority": 1, "rate_per_s": 0},
        {"name": "vupa", "api_keys": [OTHER_KEY]},
    ],
}


class Caller:
    """A caller's connection to a daemon with a table."""

    def __init__(self, **changes) -> None:
        clock = Clock()
        self.sender = Sender()
        services = CallServices(
            clock=clock,
            pool=engine_pool(clock, ("a",)),
            sender=self.sender,
            dialect=PlatformDialect(),
            admission=OpenAdmission(),
            waits=RouteResponseTimes(OverduePolicy()),
        )
        self.ingress = ingress = Ingress(
            services, CallerCheck(clock, TableFreshness(None))
        )
        ingress.router = Router(decode_table(msgspec.json.encode(TABLE | changes)))
        self.connection = ServerFactory(ingress, clock).buildProtocol(None)
        self.transport = StringTransport()
        self.transport.setTcpNoDelay = lambda _: None
        self.connection.makeConnection(self.transport)

    def send(self, *headers: str, path: str = "/closed/x", end: str = "") -> None:
        lines = [f"GET {path} HTTP/1.1", "Host: h.example"]
        lines += ["X-Notcharch-Request-Id: 9c41", *headers]
        self.connection.dataReceived("\r\n".join([*lines, "", end]).encode("latin-1"))

    @property
    def status(self) -> int:
        """The status of the response; 0 before it was received."""
        data = self.transport.value()
        return int(data.split()[1]) if data else 0

    @property
    def at_engine(self):
        """The headers that the engine received, by lower-case name."""
        (sent,) = self.sender.sent
        names = [name.lower() for name, _ in sent.head.headers]
        assert len(names) == len(set(names))
        return {name.lower(): value for name, value in sent.head.headers}


def test_a_key_becomes_its_tenant():
    caller = Caller()
    caller.send(f"X-Api-Key: {KEY}")
    assert caller.at_engine[b"x-notcharch-tenant"] == b"hule"


@pytest.mark.parametrize(
    "headers",
    [
        [f"X-Api-Key: {KEY}"],
        [f"x-aPI-kEY: {KEY}"],
        [f"X-Api-Key: {KEY}", "X-Notcharch-Tenant: vupa"],
        ["x-notcharch-TENANT: vupa", f"X-Api-Key: {KEY}", "X-Notcharch-Tenant: x"],
        [f"X-Api-Key: {KEY}", "Connection: X-Notcharch-Tenant, X-Api-Key"],
    ],
)
def test_no_engine_sees_a_key_or_a_tenant_of_the_callers_choice(headers):
    caller = Caller()
    caller.send(*headers)
    assert caller.at_engine[b"x-notcharch-tenant"] == b"hule"
    assert b"x-api-key" not in caller.at_engine
    assert KEY.encode() not in b"".join(caller.at_engine.values())


@pytest.mark.parametrize(
    "name",
    [
        "X-Notcharch-Hold",
        "x-notcharch-hold",
        "X-Notcharch-Pin-Ms",
        "X-Notcharch-Kv-Backup",
        "Kv-From",
        "KV-FETCH",
        "X-Notcharch-Expect-Version",
        "X-Notcharch-Request-Urgency",
    ],
)
@pytest.mark.parametrize("path", ["/closed/x", "/open/x"])
def test_headers_that_control_an_engine_are_not_forwarded(name, path):
    caller = Caller()
    caller.send(f"X-Api-Key: {KEY}", f"{name}: 1", f"{name}: 2", path=path)
    assert name.lower().encode() not in caller.at_engine


def test_the_expected_engine_is_the_chosen_one():
    caller = Caller()
    caller.send(f"X-Api-Key: {KEY}", "X-Notcharch-Expect-Instance: i-other")
    assert caller.at_engine[b"x-notcharch-expect-instance"] == b"a"


@pytest.mark.parametrize(
    "headers",
    [
        [],
        ["X-Api-Key:"],
        ["X-Api-Key: no-such-key"],
        [f"X-Api-Key: {KEY}", f"X-Api-Key: {KEY}"],
        [f"X-Api-Key: {KEY}", "x-api-key: no-such-key"],
        [f"X-Api-Key: {KEY}, {OTHER_KEY}"],
        [f"X-Api-Key: {KEY}\xe9"],
        ["X-Api-Key: " + "k" * 4000],
        [f"Authorization: Bearer {KEY}"],
        [f"Cookie: X-Api-Key={KEY}"],
        ["X-Notcharch-Tenant: hule"],
    ],
)
def test_without_one_valid_key_nothing_runs(headers):
    caller = Caller()
    with captured() as messages:
        caller.send(*headers)
    assert caller.status == 401
    assert not caller.sender.sent
    written = msgspec.json.encode(messages, enc_hook=str)
    assert KEY.encode() not in written + caller.transport.value()


def test_a_key_in_a_trailer_is_ignored():
    caller = Caller()
    body = f"2\r\nhi\r\n0\r\nX-Api-Key: {KEY}\r\n\r\n"
    caller.send("Transfer-Encoding: chunked", end=body)
    assert caller.status == 401


def test_a_trailer_is_not_passed_on():
    caller = Caller()
    body = "2\r\nhi\r\n0\r\nX-Notcharch-Tenant: vupa\r\n\r\n"
    caller.send(f"X-Api-Key: {KEY}", "Transfer-Encoding: chunked", end=body)
    assert caller.at_engine[b"x-notcharch-tenant"] == b"hule"
    assert caller.sender.sent[0].body == b"hi"


@pytest.mark.parametrize(
    "header",
    [
        "X-Notcharch-Request-Id: 2",
        "X-Notcharch-Program-Id: a\x1fb",
        "X-Notcharch-Session-Id: a\x7fb",
        "X-Notcharch-Previous-Turn: a\x1fb",
    ],
)
def test_malformed_names_are_refused(header):
    caller = Caller()
    caller.send(f"X-Api-Key: {KEY}", header)
    assert caller.status == 400
    assert not caller.sender.sent


@pytest.mark.parametrize(
    "name", ["X-Notcharch-Program-Id", "X-Notcharch-Token-Budget", "Last-Event-Id"]
)
def test_a_repeated_singleton_header_is_refused(name):
    caller = Caller()
    caller.send(f"X-Api-Key: {KEY}", f"{name}: 1", f"{name}: 2")
    assert caller.status == 400


def test_a_public_route_needs_no_key():
    caller = Caller()
    caller.send("X-Notcharch-Tenant: hule", path="/open/x")
    assert b"x-notcharch-tenant" not in caller.at_engine


def test_without_tenants_no_key_is_needed_and_none_is_passed_on():
    caller = Caller(tenants=None)
    caller.send(f"X-Api-Key: {KEY}", "X-Notcharch-Tenant: hule")
    assert b"x-notcharch-tenant" not in caller.at_engine
    assert b"x-api-key" not in caller.at_engine


def test_a_table_with_an_empty_list_of_tenants_refuses_all_callers():
    caller = Caller(tenants=[])
    caller.send(f"X-Api-Key: {KEY}")
    assert caller.status == 401


@pytest.mark.parametrize(("lacks_routes", "status"), [(False, 404), (True, 503)])
def test_a_path_is_not_denied_whose_route_may_be_one_that_cannot_be_read(
    lacks_routes, status
):
    caller = Caller()
    router = caller.ingress.router
    table = msgspec.structs.replace(router.table, lacks_routes=lacks_routes)
    caller.ingress.router = Router(table)
    caller.send(path="/nowhere/x")
    assert caller.status == status
