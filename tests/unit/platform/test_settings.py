"""Tests of parsing the platform's settings file, valid and invalid."""

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from notcharch.accounts.admission import max_body_bytes
from notcharch.http.buffered_bytes import total_limit
from notcharch.http.peer_buffers import PeerBuffers
from notcharch.http.requester import Requester
from notcharch.journal.interface import LogLimits
from notcharch.platform.settings import (
    BYTES_PER_MEGABYTE,
    Address,
    read_settings,
    retention_warnings,
)
from notcharch.platform.store import PlatformStore
from notcharch.scheduling.cold_engines import ColdTolerance

USUAL_HEADER_BYTES = 16_384

TEXT = """
node_name=front-hall-a-1
ip_address=10.1.0.38
zone=hall-a
listen_addresses.front=10.1.0.38:8149
listen_addresses.readiness=10.1.0.38:8141
internal_port_range=7380,7395
platform.address=10.200.1.7:8142
platform.parts=12
platform.ttl_min_ms=1000
bounds.grace_period_s=8
something.unknown=1,2,3
"""


def test_settings_are_read():
    settings = read_settings(TEXT).ok_value
    assert settings.machine == "front-hall-a-1"
    assert settings.front == Address("10.1.0.38", 8149)
    assert settings.peer_ports == (7380, 7395)
    assert settings.store.partitions == 12
    assert settings.store.min_lease_seconds == 1.0
    assert settings.grace_seconds == 8.0


def test_all_errors_are_reported_together():
    invalid = TEXT.replace("10.1.0.38:8149", "nowhere").replace("platform.parts=12", "")
    invalid = invalid.replace("bounds.grace_period_s=8", "bounds.grace_period_s=soon")
    invalid = invalid.replace("zone=hall-a", "")
    errors = read_settings(invalid).err_value
    assert [error.partition(":")[0] for error in errors] == [
        "zone",
        "listen_addresses.front",
        "bounds.grace_period_s",
    ]


def test_regions_of_zones_and_the_tolerance_of_cold_engines_are_read():
    text = TEXT + "zones.a=north\nzones.b=north\nzones.c=south\nzones.d=\n"
    settings = read_settings(text + "bounds.cold_over=1.5\nbounds.cold_slack=5\n")
    assert settings.ok_value.regions == {"a": "north", "b": "north", "c": "south"}
    assert settings.ok_value.cold_tolerance == ColdTolerance(1.5, 5.0)
    assert read_settings(TEXT).ok_value.cold_tolerance == ColdTolerance()


def test_competing_callers_and_the_memory_limit_are_read():
    plain = read_settings(TEXT).unwrap()
    assert not plain.has_competing_callers
    competing = f"{TEXT}\ncontracts=base,tenants,pressure\nlimits.memory_mb=128\n"
    settings = read_settings(competing).unwrap()
    assert settings.has_competing_callers
    assert settings.memory_bytes == 128 * 1024 * 1024


def test_the_limits_of_the_store_are_read():
    """Guards against limits that are read and used nowhere."""
    told = "platform.record_bytes=65536\nplatform.call_bytes=131072\n"
    store = read_settings(TEXT + told).unwrap().store
    assert store.log_limits == LogLimits(65_536, 131_072)
    requester = Requester(MemoryReactorClock(), "10.0.0.1", 1)
    limits = PlatformStore(requester, Clock(), store.log_limits).limits
    assert limits.max_record_bytes == 65_536


@pytest.mark.parametrize(
    "told", ["", "platform.record_bytes=\n", "platform.record_bytes=0\n"]
)
def test_limits_of_the_store_that_are_not_told_are_the_usual_ones(told):
    assert read_settings(TEXT + told).unwrap().store.log_limits == LogLimits()


@pytest.mark.parametrize(
    ("memory_megabytes", "partition_megabytes", "megabytes"),
    [(0, 200, 8), (260, 200, 16.25), (260, 40, 10), (130, 200, 8.125)],
)
def test_a_body_with_the_turns_before_it_can_be_sent_and_kept(
    memory_megabytes, partition_megabytes, megabytes
):
    """Guards against a body that is cut on its way to each engine."""
    buffer_bytes = total_limit(memory_megabytes * BYTES_PER_MEGABYTE)
    buffers = PeerBuffers(buffer_bytes)
    found = max_body_bytes(buffer_bytes, partition_megabytes * BYTES_PER_MEGABYTE)
    assert found <= megabytes * BYTES_PER_MEGABYTE
    assert found >= (megabytes - 0.1) * BYTES_PER_MEGABYTE
    connection = Connection()
    buffers.changed(connection, found + USUAL_HEADER_BYTES)
    assert not connection.is_cut


class Connection:
    """A connection that buffers bytes."""

    is_cut = False

    def cut(self, _: int) -> None:
        self.is_cut = True


@pytest.mark.parametrize(
    ("retention", "recovery", "warnings"),
    [
        ("20", "12", 0),
        ("300", "12", 0),
        ("12", "12", 1),
        ("20", "15", 1),
        ("12", "5", 0),
    ],
)
def test_a_retention_that_cannot_keep_the_promises_is_told(
    retention, recovery, warnings
):
    text = TEXT + f"platform.retention_s={retention}\nbounds.recovery_s={recovery}\n"
    found = retention_warnings(read_settings(text).ok_value)
    assert len(found) == warnings
    assert all(finding.startswith("platform.retention_s:") for finding in found)


def test_a_retention_of_nothing_is_an_error():
    errors = read_settings(TEXT + "platform.retention_s=0\n").err_value
    assert errors == ["platform.retention_s: must be above 0"]
