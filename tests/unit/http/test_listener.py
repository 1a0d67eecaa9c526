"""A port that can't be opened is tried again until it is free or no longer wanted."""

import errno
from random import Random

import pytest
from prometheus_client import REGISTRY
from twisted.internet.defer import succeed
from twisted.internet.error import CannotListenError
from twisted.internet.task import Clock

from notcharch.events.process import PortOpened, PortTaken
from notcharch.http import listener
from notcharch.http.listener import (
    FIRST_DELAY_SECONDS,
    MAX_DELAY_SECONDS,
    REPORT_INTERVAL_SECONDS,
    ListenAddress,
    Listener,
    is_report_due,
    retry_delay,
)

STEP_SECONDS = 0.05


def held(port: int) -> CannotListenError:
    reason = OSError(errno.EADDRINUSE, "Address already in use")
    return CannotListenError("", port, reason)


class ScriptedOpener:
    """Fails with `errors[port]`; else opens."""

    def __init__(self, errors: dict[int, Exception]) -> None:
        self.errors = errors
        self.attempts = 0
        self.open_ports: set[int] = set()

    def open(self, _host, port):
        self.attempts += 1
        if port in self.errors:
            raise self.errors[port]
        self.open_ports.add(port)

    def close(self):
        self.open_ports.clear()
        return succeed(None)


class World:
    """One listener on virtual time."""

    def __init__(self, errors, ports=(80,), max_seconds=MAX_DELAY_SECONDS) -> None:
        self.clock = Clock()
        self.opener = ScriptedOpener(errors)
        self.opened = 0
        self.errors = []
        address = ListenAddress("test", "10.0.0.1", ports, max_seconds)
        self.listener = Listener(
            self.clock,
            Random(1),
            address,
            self.opener,
            on_open=self.on_open,
            on_error=self.errors.append,
        )

    def on_open(self) -> None:
        assert self.listener.is_open
        self.opened += 1

    def run(self, seconds: float) -> None:
        self.clock.pump([STEP_SECONDS] * round(seconds / STEP_SECONDS))


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(listener, "emit", found.append)
    return lambda event: [line for line in found if isinstance(line, event)]


def metric(name: str) -> float:
    return REGISTRY.get_sample_value(name, {"port": "test"}) or 0.0


def test_delays_double_up_to_their_bound_with_jitter():
    """Guards against attempts in a loop, and against attempts that become too rare."""
    random = Random(1)
    for failures in range(1, 40):
        ceiling = min(FIRST_DELAY_SECONDS * 2 ** (failures - 1), MAX_DELAY_SECONDS)
        delays = {retry_delay(failures, MAX_DELAY_SECONDS, random) for _ in range(20)}
        assert len(delays) > 1
        assert all(ceiling / 2 <= delay <= ceiling for delay in delays)


def test_a_held_port_is_reported_at_once_and_then_seldom():
    assert is_report_due(None, 0.0)
    assert not is_report_due(0.0, REPORT_INTERVAL_SECONDS - 0.1)
    assert is_report_due(0.0, REPORT_INTERVAL_SECONDS)


def test_a_free_port_is_opened_at_once():
    world = World({})
    world.listener.start()
    assert world.opened == 1
    assert world.opener.open_ports == {80}


@pytest.mark.parametrize(
    "error",
    [
        held(80),
        CannotListenError("", 80, OSError(errno.EADDRNOTAVAIL, "not assigned")),
        OSError(errno.EMFILE, "Too many open files"),
        OSError(errno.EADDRINUSE, "in use, as `listen` says it"),
        PermissionError(errno.EACCES, "Permission denied"),
    ],
)
def test_a_port_is_opened_soon_after_its_cause_is_gone(error, lines):
    """Guards against an end, or a listener that gave up, for any cause."""
    world = World({80: error})
    failures_before = metric("notcharch_process_listen_failures_total")
    world.listener.start()
    world.run(60)
    assert not world.opened
    assert not world.errors
    assert metric("notcharch_process_ports_waiting") == 1
    world.opener.errors.clear()
    world.run(MAX_DELAY_SECONDS + STEP_SECONDS)
    assert world.opened == 1
    assert metric("notcharch_process_ports_waiting") == 0
    failed = metric("notcharch_process_listen_failures_total") - failures_before
    assert failed == world.opener.attempts - 1
    taken, opened = lines(PortTaken), lines(PortOpened)
    assert 6 <= len(taken) <= 7
    assert taken[0].failures == 1
    assert (taken[0].purpose, taken[0].port) == ("test", 80)
    assert [line.failures for line in opened] == [failed]
    assert 60 <= opened[0].seconds <= 60 + MAX_DELAY_SECONDS + STEP_SECONDS


def test_the_next_free_port_of_a_range_is_taken_at_once():
    world = World({80: held(80), 81: held(81)}, (80, 81, 82, 83))
    world.listener.start()
    assert world.opener.open_ports == {82}


def test_a_range_without_a_free_port_is_waited_for():
    ports = (80, 81, 82)
    world = World({port: held(port) for port in ports}, ports)
    world.listener.start()
    world.run(5)
    assert not world.opened
    del world.opener.errors[82]
    world.run(MAX_DELAY_SECONDS + STEP_SECONDS)
    assert world.opener.open_ports == {82}


def test_a_stop_ends_the_wait():
    """Guards against a port that is opened after the stop, and a timer that stays."""
    world = World({80: held(80)})
    world.listener.start()
    world.run(3)
    attempts = world.opener.attempts
    world.listener.stop()
    assert not world.clock.getDelayedCalls()
    world.opener.errors.clear()
    world.run(10)
    assert world.opener.attempts == attempts
    assert not world.opened
    assert metric("notcharch_process_ports_waiting") == 0


def test_a_stop_before_the_start_opens_nothing():
    world = World({})
    world.listener.stop()
    world.listener.start()
    assert not world.opener.attempts


def test_a_stop_closes_an_open_port_once():
    world = World({})
    world.listener.start()
    assert world.listener.stop().called
    assert not world.opener.open_ports
    assert world.listener.stop().called


@pytest.mark.parametrize("is_late", [False, True])
def test_a_defect_is_reported_and_not_retried(is_late):
    """Guards against an exception of a later attempt that only the reactor's log gets."""
    world = World({80: held(80)} if is_late else {80: TypeError("a defect")})
    world.listener.start()
    world.opener.errors[80] = TypeError("a defect")
    world.run(3)
    assert [failure.type for failure in world.errors] == [TypeError]
    assert not world.clock.getDelayedCalls()


def test_a_defect_of_what_follows_the_opening_is_reported():
    world = World({})
    world.listener._on_open = lambda: 1 / 0
    world.listener.start()
    assert [failure.type for failure in world.errors] == [ZeroDivisionError]
