"""Any text of a settings file gives settings or findings, never an exception."""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok
from twisted.internet.testing import MemoryReactorClock

from notcharch.events.process import ProcessStarted
from notcharch.platform.process import Process
from notcharch.platform.settings import (
    FILE_VARIABLE,
    ProcessSettings,
    read_settings,
    read_settings_file,
)
from notcharch.platform.settings_file import MAX_FILE_BYTES, try_read
from notcharch.settings.mechanisms import ALL_MECHANISMS
from tests.unit.events.capture import captured, of
from tests.unit.platform.test_settings import TEXT

NUMBERS = (
    "platform.writes_per_s",
    "platform.reads_per_s",
    "platform.parts",
    "platform.record_bytes",
    "platform.call_bytes",
    "platform.part_mb",
    "platform.retention_s",
    "platform.ttl_min_ms",
    "bounds.grace_period_s",
    "bounds.drain_ms",
    "bounds.contact_ms",
    "bounds.quota_window_s",
    "bounds.quota_over",
    "bounds.quota_slack",
    "bounds.revoke_ms",
    "bounds.cold_over",
    "bounds.cold_slack",
    "heartbeat_interval_ms",
    "limits.memory_mb",
)
ADDRESSES = (
    "listen_addresses.front",
    "listen_addresses.readiness",
    "platform.address",
)
OTHERS = (
    "node_name",
    "ip_address",
    "zone",
    "internal_port_range",
    "contracts",
    "bounds.strict_revocation",
    "zones.a",
)
ODD_NUMBERS = (
    "nan", "inf", "-inf", "-1", "-0.001", "1e999", "1e308", "9" * 5000, "²", "0x10",
)  # fmt: skip
ODD_VALUES = (
    *ODD_NUMBERS, "", "0", "1", "0.5", "true", "pressure", "70000", "10.0.0.1:²",
    "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:" + "9" * 5000, ":80", "a..b:80",
    "\0:80", "7395,7380", "0,0", "1,65536", "²,³", "7380,", ",", "é" * 70 + ":80",
)  # fmt: skip


def has_no_exception(text: str) -> None:
    loaded = read_settings(text)
    if isinstance(loaded, Err):
        assert loaded.err_value
        assert all(loaded.err_value)
    else:
        starts_a_process(loaded.ok_value)


def starts_a_process(taken: ProcessSettings) -> None:
    """Start a process with settings that were taken, and let its first timers run."""
    reactor = MemoryReactorClock()
    process = Process(taken, reactor, None, ALL_MECHANISMS)
    with captured() as messages:
        process.start()
        reactor.pump([0.5] * 4)
    assert process.exit_status == 0
    assert not reactor.hasStopped
    assert len(of(messages, ProcessStarted)) == 1


@settings(derandomize=True, deadline=None)
@given(st.text())
def test_any_text_is_read(text):
    has_no_exception(text)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.dictionaries(
        st.sampled_from(NUMBERS + ADDRESSES + OTHERS),
        st.sampled_from(ODD_VALUES) | st.text() | st.floats().map(str),
        max_size=4,
    )
)
def test_any_value_of_a_known_field_is_read(values):
    has_no_exception(TEXT + "".join(f"{key}={x}\n" for key, x in values.items()))


@pytest.mark.parametrize("key", NUMBERS)
@pytest.mark.parametrize("value", ODD_NUMBERS)
def test_a_number_that_is_none_is_a_finding(key, value):
    text = (
        f"{TEXT}bounds.strict_revocation=true\nbounds.revoke_ms=5000\n{key}={value}\n"
    )
    [finding] = read_settings(text).err_value
    assert finding.startswith(f"{key}: ")


@pytest.mark.parametrize("key", ["platform.parts", "bounds.quota_window_s"])
def test_a_number_that_divides_is_not_zero(key):
    [finding] = read_settings(f"{TEXT}{key}=0\n").err_value
    assert finding.startswith(f"{key}: ")


@pytest.mark.parametrize("key", ADDRESSES)
@pytest.mark.parametrize("port", ["0", "65536", "-1", "²", "", "1e3", "9" * 5000])
def test_a_port_outside_of_its_range_is_a_finding(key, port):
    [finding] = read_settings(f"{TEXT}{key}=10.1.0.38:{port}\n").err_value
    assert finding.startswith(f"{key}: ")


@pytest.mark.parametrize(
    "ports", ["0,7395", "7380,65536", "7395,7380", "7380", "7380,", ",", "²,³"]
)
def test_an_empty_or_reversed_range_of_ports_is_a_finding(ports):
    [finding] = read_settings(f"{TEXT}internal_port_range={ports}\n").err_value
    assert finding.startswith("internal_port_range: ")


def test_a_range_of_one_port_and_the_limits_of_ports_are_taken():
    text = f"{TEXT}internal_port_range=1,1\nlisten_addresses.front=10.1.0.38:65535\n"
    taken = read_settings(text).ok_value
    assert taken.peer_ports == (1, 1)
    assert taken.front.port == 65_535


def make_file(path, kind):
    if kind == "not UTF-8":
        path.write_bytes(TEXT.encode() + b"\xff\xfe\n")
    elif kind == "directory":
        path.mkdir()
    elif kind == "named pipe":
        os.mkfifo(path)
    elif kind == "too large":
        path.write_bytes(b"\n" * (MAX_FILE_BYTES + 1))
    elif kind == "link to itself":
        path.symlink_to(path)


@pytest.mark.parametrize(
    "kind",
    ["missing", "not UTF-8", "directory", "named pipe", "too large", "link to itself"],
)
def test_a_file_that_can_not_be_read_gives_a_finding(tmp_path, monkeypatch, kind):
    """Guards against an exception, and a named pipe that blocks the process."""
    path = tmp_path / "settings"
    make_file(path, kind)
    monkeypatch.setenv(FILE_VARIABLE, str(path))
    [finding] = read_settings_file().err_value
    assert finding


def test_a_file_without_permission_gives_a_finding(tmp_path, monkeypatch):
    path = tmp_path / "settings"
    path.write_text(TEXT)

    def refuse(*_):
        raise PermissionError(13, "Permission denied", str(path))

    monkeypatch.setattr(os, "open", refuse)
    monkeypatch.setenv(FILE_VARIABLE, str(path))
    assert read_settings_file() == Err([f"{path}: Permission denied"])


def test_a_path_with_a_null_character_is_no_exception():
    assert isinstance(try_read("a\0b"), OSError)


def test_a_readable_file_is_read(tmp_path, monkeypatch):
    path = tmp_path / "settings"
    path.write_text(TEXT)
    monkeypatch.setenv(FILE_VARIABLE, str(path))
    assert read_settings_file() == Ok(TEXT)


@pytest.mark.parametrize("host", ["10.1.0.38", "store", "a-b.c_d.", "::1", "fd00::1:2"])
def test_the_usual_forms_of_hosts_are_taken(host):
    text = f"{TEXT}ip_address={host}\nplatform.address={host}:8142\n"
    taken = read_settings(text).ok_value
    assert taken.host == taken.store.address.host == host


@pytest.mark.parametrize("host", ["a..b", ".", "a" * 64, "é", "a b", "[::1]", "::.."])
def test_a_host_whose_lookup_raises_an_exception_is_a_finding(host):
    """Guards against an exception other than those that a listener waits for."""
    findings = read_settings(f"{TEXT}ip_address={host}\n").err_value
    assert [finding.partition(":")[0] for finding in findings] == ["ip_address"]
