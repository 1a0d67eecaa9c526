"""Tests of decoding the operator's configuration and the engines' entries."""

import msgspec
import pytest

from notcharch.calls.interface import ServiceShare
from notcharch.platform.configuration import parse_drained_zones
from notcharch.scheduling.cold_engines import ColdLimit
from tests.unit.platform.decoding import decode_engine, decode_table

ROUTE = {
    "name": "r",
    "host": "h.example",
    "path_prefix": "/p/",
    "kind": "streaming",
    "timeout_ms": 3000,
    "target_latency_ms": 200,
    "priority": 1,
    "service": "s",
    "retry_attempts": 2,
    "retains_transcripts": True,
    "retention_s": 60.0,
    "sticky_sessions": True,
    "resumable": False,
    "target_gap_ms": 300,
}
SERVICE = {
    "name": "s",
    "health_path": "/health",
    "connection_limit": 160,
    "engine": {"slots": 12, "tokens_per_event": 25, "models": [{"name": "m"}]},
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def table(**changes):
    entry = {"version": 7, "routes": [ROUTE | changes], "services": [SERVICE]}
    return decode_table(msgspec.json.encode(entry | {"limits": LIMITS}))


def test_a_route_is_decoded():
    route = table().routes[0]
    assert route.shares == (ServiceShare("s", 1.0),)
    assert (route.is_stream, route.is_repeatable, route.stores_turns) == (1, 0, 1)
    assert (route.timeout_seconds, route.max_engines) == (3.0, 2)


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        ("idempotent", False, True),
        ("non_idempotent", False, False),
        ("streaming", False, False),
        ("streaming", True, True),
        ("something new", False, False),
    ],
)
def test_the_kind_determines_whether_calls_are_repeatable(kind, resumable, repeatable):
    route = table(kind=kind, resumable=resumable).routes[0]
    assert route.is_repeatable is repeatable


def test_a_split_is_decoded():
    split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    route = table(traffic_split=split, service="").routes[0]
    assert route.shares == (ServiceShare("s", 90), ServiceShare("t", 10))


def test_services_and_limits_are_decoded():
    translated = table()
    assert translated.version == 7
    assert translated.services["s"].tokens_per_event == 25
    assert translated.limits.idle_seconds == 15.0


@pytest.mark.parametrize(("fields", "path"), [(SERVICE, "/health"), ({}, "")])
def test_where_engines_tell_their_ids_is_decoded(fields, path):
    entry = {"version": 7, "routes": [ROUTE], "services": [{"name": "s"} | fields]}
    read = decode_table(msgspec.json.encode(entry | {"limits": LIMITS}))
    assert read.services["s"].health_path == path


def test_an_engine_is_decoded():
    entry = {
        "service": "s",
        "address": "10.128.0.9:8080",
        "zone": "z",
        "slots": 12,
        "state": "draining",
        "call_sequence": 4,
    }
    engine = decode_engine("i-1", msgspec.json.encode(entry))
    assert (engine.id, engine.host, engine.port) == ("i-1", "10.128.0.9", 8080)
    assert (engine.slots, engine.is_draining) == (12, True)


@pytest.mark.parametrize(
    ("fields", "version", "started_ms"),
    [
        ({"version": "v1.2", "born": 1_700_000_000_000}, "v1.2", 1_700_000_000_000),
        ({"version": "v1.2"}, "v1.2", None),
        ({}, "", None),
    ],
)
def test_the_version_and_the_start_of_an_engine_are_decoded(
    fields, version, started_ms
):
    entry = {"service": "s", "address": "10.0.0.1:80"} | fields
    engine = decode_engine("i", msgspec.json.encode(entry))
    assert (engine.version, engine.started_ms) == (version, started_ms)


@pytest.mark.parametrize("fields", [{"version": 2}, {"born": "now"}, {"born": 1.5}])
def test_an_entry_with_an_unreadable_version_or_start_names_no_engine(fields):
    entry = {"service": "s", "address": "10.0.0.1:80"} | fields
    with pytest.raises(msgspec.DecodeError):
        decode_engine("i", msgspec.json.encode(entry))


def test_an_invalid_configuration_is_an_error():
    with pytest.raises(msgspec.DecodeError):
        decode_table(b'{"version": "x"}')


def test_the_limit_of_cold_engines_is_decoded():
    cold = {"cold_start_s": 3.0, "cold_per_s": 25.0}
    entry = {"version": 7, "routes": [ROUTE], "services": [SERVICE | cold]}
    read = decode_table(msgspec.json.encode(entry | {"limits": LIMITS}))
    assert read.services["s"].cold == ColdLimit(3.0, 25.0)
    assert not table().services["s"].cold.is_enabled


@pytest.mark.parametrize(
    ("value", "regions"),
    [(["a", "b"], frozenset("ab")), ([], None), (None, None)],
)
def test_allowed_regions_are_decoded(value, regions):
    tenants = [{"name": "t", "api_keys": ["k"], "allowed_regions": value}]
    entry = {"version": 7, "routes": [ROUTE | {"allowed_regions": value}]}
    entry |= {"services": [SERVICE], "limits": LIMITS, "tenants": tenants}
    read = decode_table(msgspec.json.encode(entry))
    assert read.routes[0].regions == regions
    assert read.keys.tenant("t").regions == regions


def test_drained_zones_are_keys_of_the_operator():
    keys = ["config", "evacuate/z-1", "evacuate/z-2", "other/evacuate/z-3"]
    assert parse_drained_zones(keys) == {"z-1", "z-2"}


@pytest.mark.parametrize(("value", "seconds"), [(1500, 1.5), (0, 0.0), (-3, 0.0)])
def test_the_remaining_cold_time_is_decoded_and_never_negative(value, seconds):
    entry = {"service": "s", "address": "10.0.0.1:80", "cold_remaining_ms": value}
    assert decode_engine("i", msgspec.json.encode(entry)).cold_seconds == seconds
