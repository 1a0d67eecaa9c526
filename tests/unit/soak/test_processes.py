"""The processes of a daemon: their command, their ends, and what keeps them unready."""

import os
import signal
import sys
from pathlib import Path

import pytest

from deploy.soak.daemons import SoakDaemon
from deploy.soak.ends import EndKind, ProcessEnd
from deploy.soak.link_proxy import LinkFault
from deploy.soak.ports import HoldKind, UsedPorts
from deploy.soak.process import (
    SYSTEM,
    DaemonProcess,
    daemon_command,
    daemon_environment,
)
from deploy.soak.settings import GRACE_SECONDS
from deploy.soak.settings_file import SettingsFault


def test_daemons_run_with_the_command_of_the_platform():
    """The interpreter's options and the metrics port change how a daemon starts."""
    command = daemon_command(SYSTEM.read_text(), 1234)
    assert command[0] == sys.executable
    assert command[-2:] == ["--metrics-port", "1234"]
    assert "-S" in command and "-OO" in command


def test_a_daemon_finds_the_packages_without_the_site_module():
    environment = daemon_environment(Path("d0.conf"))
    assert environment["NOTCHARCH_NODE_FILE"] == "d0.conf"
    assert any(
        (Path(folder) / "twisted").is_dir()
        for folder in environment["PYTHONPATH"].split(":")
    )


class Process:
    """A process as a daemon sees it."""

    pid = 1
    is_paused = False
    is_stopping = False
    is_overdue = False
    overran = True

    def describe_overrun(self):
        return "lives"

    def __init__(self, **changes):
        self.status = None
        for name, value in changes.items():
            setattr(self, name, value)

    @property
    def is_running(self):
        return self.status is None

    def terminate(self):
        self.is_stopping = True

    def kill(self):
        self.status = -signal.SIGKILL

    def end(self):
        if self.status is None:
            return None
        is_killed = self.status == -signal.SIGKILL
        return ProcessEnd("d0", self.status, 1, is_killed=is_killed)


class Link:
    """A whole link to the store."""

    port = 1
    fault = LinkFault.NONE


@pytest.fixture
def daemon(tmp_path):
    daemon = SoakDaemon("d0", tmp_path, Link())
    daemon._process = Process()
    yield daemon
    daemon.release_ports()


def test_an_end_that_nobody_asked_for_is_noted_once(daemon):
    daemon._process.status = 0
    assert [end.kind for end in daemon.take_new_ends()] == [EndKind.OWN]
    assert daemon.take_new_ends() == []
    assert not daemon.is_running


def test_ends_of_former_processes_are_noted(daemon, monkeypatch):
    former = daemon._process
    monkeypatch.setattr(daemon, "_spawn", lambda: None)
    daemon.terminate()
    daemon.start_next()
    assert daemon._former == [former]
    assert "the former process drains" in daemon.causes(UsedPorts())
    former.status = 1
    assert [end.kind for end in daemon.take_new_ends()] == [EndKind.OWN]
    assert daemon._former == []


@pytest.mark.parametrize(("overran", "count"), [(True, 1), (False, 0)])
def test_a_process_that_outlives_its_grace_period_is_reported_and_killed(
    daemon, overran, count
):
    daemon._process.is_overdue, daemon._process.overran = True, overran
    ends = daemon.take_new_ends()
    assert [end.status for end in ends] == [-signal.SIGKILL]
    assert len(daemon.overruns) == count


def slept(seconds: float, *, is_paused: bool = False) -> DaemonProcess:
    """Return a process that was told to stop so long ago, and lives."""
    process = DaemonProcess.__new__(DaemonProcess)
    process._popen = Process()
    process._popen.poll = lambda: None
    process._popen.pid = os.getpid()
    process._popen.send_signal = lambda number: None
    process._began = 0.0
    process._stopped_at, process._is_killed = None, False
    process.is_paused, process._was_paused_in_stop = is_paused, False
    process._proc = lambda name: ""
    process._seconds = lambda: 10.0
    process.terminate()
    process._seconds = lambda: 10.0 + seconds
    return process


@pytest.mark.parametrize(
    ("seconds", "is_overdue"), [(GRACE_SECONDS - 0.1, False), (GRACE_SECONDS, True)]
)
def test_the_grace_period_counts_from_the_stop_signal(seconds, is_overdue):
    assert slept(seconds).is_overdue is is_overdue
    assert slept(seconds).overran


def test_an_overrun_tells_how_long_the_process_ran_and_waited():
    """A process that waited for a processor may be late through the machine."""
    assert " s and waited " in slept(GRACE_SECONDS).describe_overrun()


def test_a_paused_process_cannot_end_in_time():
    assert not slept(GRACE_SECONDS, is_paused=True).overran


def test_a_second_stop_signal_does_not_prolong_the_grace_period():
    process = slept(GRACE_SECONDS)
    process.terminate()
    assert process.is_overdue


def connected(*ports: int) -> UsedPorts:
    """Return ports that connections have."""
    return UsedPorts(connections=frozenset(ports))


def test_nothing_keeps_a_running_daemon_from_being_ready(daemon):
    assert daemon.causes(UsedPorts()) == []


@pytest.mark.parametrize("name", ["front", "readiness"])
def test_a_port_that_a_daemon_needs_keeps_it_from_being_ready(daemon, name):
    port = getattr(daemon, name)
    assert daemon.causes(connected(port)) == ["a port is held"]
    daemon.hold(port, HoldKind.BOUND)
    assert daemon.causes(UsedPorts()) == ["a port is held"]


def test_a_daemon_does_without_its_metrics_port_and_with_one_port_for_its_peers(daemon):
    assert daemon.causes(connected(daemon.metrics, *daemon.peers[1:])) == []
    assert daemon.causes(connected(*daemon.peers)) == ["a port is held"]


def test_a_daemon_is_told_of_the_range_that_it_shares(tmp_path):
    daemon = SoakDaemon("d1", tmp_path, Link(), peers=[20_000, 20_001, 20_002])
    assert "internal_port_range=20000,20002\n" in daemon.settings.path.read_text()


def test_a_range_is_held_if_what_others_leave_of_it_is_held(daemon):
    """Daemons of one machine may share it; their listeners alone leave ports enough."""
    first, *others = daemon.peers
    listeners = frozenset(others)
    assert daemon.causes(UsedPorts(listeners=frozenset(daemon.peers))) == []
    assert daemon.causes(UsedPorts(listeners=listeners)) == []
    held = UsedPorts(frozenset({first}), listeners)
    assert daemon.causes(held) == ["a port is held"]


@pytest.mark.parametrize(
    ("change", "cause"),
    [
        (lambda d: d.spoil_settings(SettingsFault.EMPTY, None, 1.0), "its settings"),
        (lambda d: setattr(d._process, "is_paused", True), "paused"),
        (lambda d: d.terminate(), "stopping"),
        (lambda d: setattr(d._process, "status", 0), "no process"),
        (lambda d: setattr(d, "_process", None), "no process"),
    ],
)
def test_what_keeps_a_daemon_from_being_ready(daemon, change, cause):
    change(daemon)
    assert daemon.causes(UsedPorts()) == [cause]


DEFAULT = "SigIgn:\t0000000000001000\nSigCgt:\t0000000000000000\nVmHWM:\t2048 kB\n"
HANDLED = DEFAULT.replace("SigCgt:\t0000000000000000", "SigCgt:\t0000000000000001")


def started(*seen: str) -> DaemonProcess:
    """Return a process that was looked at with each status."""
    process = slept(0.0)
    process._stopped_at = None
    process._reload_before_program_ms = None
    process._had_program = False
    process._proc = lambda name: DEFAULT
    for status in seen:
        process._proc = lambda name, status=status: status
        assert process.look() == 2
    return process


def test_a_reload_signal_meets_the_default_action_before_the_program():
    process = started()
    process.reload()
    assert process._reload_before_program_ms == 10_000


@pytest.mark.parametrize("is_stopping", [False, True])
def test_at_the_exit_of_the_interpreter_it_is_no_longer_before_the_program(is_stopping):
    """Python's finalization puts back the default action; the program had run."""
    process = started() if is_stopping else started(DEFAULT, HANDLED, DEFAULT)
    if is_stopping:
        process.terminate()
    process.reload()
    assert process._reload_before_program_ms is None
