"""Signals before, while and after a daemon has settings and a process."""

import errno
import os
import select
import signal
import subprocess
import sys
from functools import partial
from types import SimpleNamespace
from unittest import mock

import pytest

from notcharch.events.process import (
    ProcessStarted,
    ProcessStopped,
    ProcessStopping,
    SettingsAwaited,
    SettingsNeedRestart,
    SettingsRead,
)
from notcharch.platform import daemon_run
from notcharch.platform import run as run_module
from notcharch.platform.command import main
from notcharch.platform.process import Process
from notcharch.platform.run import run
from notcharch.platform.settings import FILE_VARIABLE
from notcharch.platform.signals import (
    HANDLED_SIGNALS,
    end_at_stop_signals,
    pass_signals_to,
)
from notcharch.settings.mechanisms import ALL_MECHANISMS
from tests.unit.events.capture import captured, of
from tests.unit.platform.signal_scene import KeptHandlers, SignalReactor
from tests.unit.platform.test_settings import TEXT

LONG_SECONDS = 10.0
TERM = partial(signal.raise_signal, signal.SIGTERM)
INTERRUPT = partial(signal.raise_signal, signal.SIGINT)
RELOAD = partial(signal.raise_signal, signal.SIGHUP)
STOPS = pytest.mark.parametrize("stop", [TERM, INTERRUPT], ids=["TERM", "INT"])


class Scene:
    """A run of a daemon with a settings file; `text` None is a missing file."""

    def __init__(self, tmp_path, monkeypatch, text) -> None:
        self.path = tmp_path / "settings.conf"
        if text is not None:
            self.path.write_text(text)
        monkeypatch.setenv(FILE_VARIABLE, str(self.path))
        monkeypatch.setattr(os, "set_blocking", lambda *_: None)
        no_output = SimpleNamespace(add_destinations=lambda *_: None)
        monkeypatch.setattr(run_module, "eliot", no_output)
        self.reactor = None
        self.status = None

    def run(self, *steps, before_run=(), earlier=None) -> None:
        self.reactor = SignalReactor(before_run, steps)
        content = FileNotFoundError(2, "missing") if earlier is None else earlier
        with KeptHandlers():
            self.status = run(content, None, ALL_MECHANISMS, self.reactor)
            self.handlers = [signal.getsignal(x) for x in HANDLED_SIGNALS]

    def wait(self) -> None:
        self.reactor.pass_seconds(LONG_SECONDS)

    def write(self, text) -> None:
        self.path.write_text(text)


@pytest.fixture
def scene(tmp_path, monkeypatch):
    return partial(Scene, tmp_path, monkeypatch)


def ended_at_once(scene) -> bool:
    return (scene.status, scene.reactor.stops) == (0, 1)


@STOPS
@pytest.mark.parametrize("earlier", [b"", TEXT.encode()])
@pytest.mark.parametrize("text", [None, "", "zone=z\n", TEXT])
def test_a_stop_before_the_reactor_runs_ends_it_at_once(scene, stop, text, earlier):
    """Guards against ports that are opened, and a drain, of a stopped daemon."""
    daemon = scene(text)
    daemon.run(daemon.wait, before_run=[stop], earlier=earlier)
    assert ended_at_once(daemon)
    assert daemon.reactor.seconds() < LONG_SECONDS
    assert daemon.reactor.tcpServers == []


@STOPS
@pytest.mark.parametrize("text", [None, "", "zone=z\n"])
def test_a_stop_while_settings_are_awaited_ends_it_at_once(scene, stop, text):
    daemon = scene(text)
    daemon.run(daemon.wait, stop)
    assert ended_at_once(daemon)
    assert daemon.reactor.getDelayedCalls() == []


@pytest.mark.parametrize(
    "signals",
    [
        (TERM, TERM),
        (TERM, RELOAD),
        (RELOAD, TERM, RELOAD, TERM, INTERRUPT),
        (RELOAD, RELOAD, INTERRUPT, TERM),
    ],
)
def test_signals_after_the_stop_change_nothing(scene, signals):
    """Guards against a second stop of the reactor, which raises an exception."""
    daemon = scene("")
    daemon.run(*signals, daemon.wait)
    assert ended_at_once(daemon)
    assert daemon.reactor.getDelayedCalls() == []


def test_a_reload_signal_before_the_reactor_runs_delays_nothing_and_ends_nothing(scene):
    daemon = scene(TEXT)
    with captured() as messages:
        daemon.run(before_run=[RELOAD], earlier=TEXT.encode())
    assert len(of(messages, ProcessStarted)) == 1


def test_a_reload_signal_while_settings_are_awaited_reads_them(scene):
    daemon = scene("")
    with captured() as messages:
        daemon.run(
            daemon.wait,
            lambda: daemon.write(TEXT),
            RELOAD,
            lambda: daemon.reactor.pass_seconds(0.15),
        )
    [awaited] = of(messages, SettingsAwaited)
    assert "node_name: missing" in awaited["findings"]
    [read] = of(messages, SettingsRead)
    assert read["findings"] == []
    assert len(of(messages, ProcessStarted)) == 1


def test_a_file_that_is_the_same_after_the_imports_starts_at_once(scene):
    daemon = scene(TEXT)
    with captured() as messages:
        daemon.run(earlier=TEXT.encode())
    assert daemon.reactor.seconds() == 0.0
    assert len(of(messages, ProcessStarted)) == 1
    assert of(messages, SettingsAwaited) == []


class RecordedProcess:
    """A process that receives a signal during its construction or its start."""

    in_construction = ()
    in_start = ()
    calls: list[str]

    def __init__(self, *_: object) -> None:
        self.exit_status = 3
        type(self).calls = []
        self._receive(self.in_construction)

    def _receive(self, signals) -> None:
        for send in signals:
            send()

    def start(self) -> None:
        self._receive(self.in_start)
        self.calls.append("start")

    def on_stop_signal(self) -> None:
        self.calls.append("stop")

    def on_reload_signal(self) -> None:
        self.calls.append("reload")


@pytest.mark.parametrize("moment", ["in_construction", "in_start"])
@pytest.mark.parametrize(
    ("signals", "calls"),
    [
        ((TERM,), ["start", "stop"]),
        ((RELOAD,), ["start", "reload"]),
        ((RELOAD, INTERRUPT), ["start", "reload", "stop"]),
    ],
)
def test_a_signal_between_settings_and_start_is_handled_after_it(
    scene, monkeypatch, moment, signals, calls
):
    """Guards against a process that is told to stop before it has started."""
    monkeypatch.setattr(RecordedProcess, moment, signals)
    monkeypatch.setattr(daemon_run, "Process", RecordedProcess)
    daemon = scene(TEXT)
    daemon.run(earlier=TEXT.encode())
    assert RecordedProcess.calls == calls


def test_the_status_is_that_of_the_process(scene, monkeypatch):
    monkeypatch.setattr(daemon_run, "Process", RecordedProcess)
    daemon = scene(TEXT)
    daemon.run(earlier=TEXT.encode())
    assert daemon.status == 3


def test_a_process_that_can_not_be_created_ends_with_a_status_and_a_line(
    scene, monkeypatch, capsys
):
    def fail(*_: object) -> None:
        raise RuntimeError("fault")

    monkeypatch.setattr(daemon_run, "Process", fail)
    daemon = scene(TEXT)
    daemon.run(TERM, RELOAD, earlier=TEXT.encode())
    assert daemon.status == 1
    assert daemon.reactor.stops == 1
    assert "fault" in capsys.readouterr().err


@pytest.mark.parametrize(
    "signals",
    [(TERM,), (TERM, TERM), (TERM, RELOAD), (RELOAD, TERM, RELOAD, INTERRUPT, TERM)],
)
def test_a_running_process_drains_once(scene, signals):
    daemon = scene(TEXT)
    with captured() as messages:
        daemon.run(*signals, daemon.wait, earlier=TEXT.encode())
    assert ended_at_once(daemon)
    assert len(of(messages, ProcessStopping)) == 1
    assert len(of(messages, ProcessStopped)) == 1


def test_signals_are_ignored_while_the_interpreter_ends(scene):
    """Guards against a status other than 0: the interpreter restores default actions."""
    daemon = scene("")
    daemon.run(TERM)
    assert daemon.handlers == [signal.SIG_IGN] * len(HANDLED_SIGNALS)


def test_a_reload_signal_during_the_drain_reads_nothing(scene):
    daemon = scene(TEXT)
    with captured() as messages:
        daemon.run(
            TERM,
            lambda: daemon.write("zone=z\n"),
            RELOAD,
            daemon.wait,
            earlier=TEXT.encode(),
        )
    assert len(of(messages, SettingsRead)) == 1


def changed(text, *, port="8142", zone="hall-a"):
    return text.replace("7:8142", f"7:{port}").replace("zone=hall-a", f"zone={zone}")


@pytest.mark.parametrize("invalid", [None, "", "zone=z\n", TEXT.replace("8149", "0")])
def test_a_reload_of_an_invalid_file_changes_nothing_until_it_is_valid(
    scene, invalid, monkeypatch
):
    addresses = []
    daemon = scene(TEXT)

    def spoil() -> None:
        if invalid is None:
            daemon.path.unlink()
        else:
            daemon.write(invalid)

    def note_address(process, settings) -> None:
        settle(process, settings)
        addresses.append(process._requester._address)

    settle = Process._settings_settled
    monkeypatch.setattr(Process, "_settings_settled", note_address)
    with captured() as messages:
        daemon.run(
            spoil,
            RELOAD,
            daemon.wait,
            lambda: addresses.append("valid"),
            lambda: daemon.write(changed(TEXT, port="8143")),
            lambda: daemon.reactor.pass_seconds(1.5),
            earlier=TEXT.encode(),
        )
    assert addresses == ["valid", ("10.200.1.7", 8143)]
    read = of(messages, SettingsRead)
    assert [bool(event["findings"]) for event in read] == [False, True, False]
    assert [event["is_changed"] for event in read] == [False, False, True]
    assert of(messages, SettingsNeedRestart) == []


def test_a_reload_names_what_needs_a_restart(scene):
    daemon = scene(TEXT)
    text = changed(TEXT, zone="hall-b") + "platform.parts=24\n"
    with captured() as messages:
        daemon.run(
            lambda: daemon.write(text),
            RELOAD,
            daemon.wait,
            RELOAD,
            daemon.wait,
            earlier=TEXT.encode(),
        )
    events = of(messages, SettingsNeedRestart)
    assert [event["fields"] for event in events] == [["zone", "platform.parts"]] * 2


def test_wrong_arguments_and_findings_of_a_check_end_the_process(tmp_path):
    """Only what can't change during a process's life ends it."""
    path = tmp_path / "settings.conf"
    path.write_text("")
    file = {FILE_VARIABLE: str(path)}
    for arguments, environment in (
        ([], {}),
        (["--check"], file),
        (["--check"], {}),
        (["--metrics-port", "0"], file),
        (["--metrics-port", "65536"], file),
        (["--no-such-option"], file),
    ):
        ended = subprocess.run(
            [sys.executable, "-m", "notcharch.platform", *arguments],
            env={x: y for x, y in os.environ.items() if x != FILE_VARIABLE}
            | environment,
            capture_output=True,
            check=False,
        )
        assert ended.returncode == 2
        assert ended.stderr.strip()
        assert b"Traceback" not in ended.stderr


def test_a_signal_wakes_up_a_reactor_that_waits_for_input():
    """Guards against a handler that runs only when a timer ends the wait.

    That is so for a signal that comes just before the wait, or to another thread.
    """
    reactor = SignalReactor((), ())
    with KeptHandlers():
        waker = pass_signals_to(reactor, lambda: None, lambda: None)
        assert waker in reactor.readers
        RELOAD()
        assert select.select([waker], [], [], 0)[0] == [waker]
        waker.doRead()
        assert select.select([waker], [], [], 0)[0] == []
        waker.doRead()
        waker.close()


def test_a_defect_in_the_set_up_of_the_log_is_not_swallowed(scene, monkeypatch):
    """Guards against a daemon that runs without its log; the interpreter ends with 1."""
    prepared = scene(TEXT)
    broken = SimpleNamespace(add_destinations=mock.Mock(side_effect=RuntimeError))
    monkeypatch.setattr(run_module, "eliot", broken)
    with pytest.raises(RuntimeError):
        prepared.run()


def test_a_closed_standard_output_is_done_without(scene, monkeypatch):
    """Guards against a daemon that ends because nobody reads its log."""
    prepared = scene(TEXT)
    closed = mock.Mock(side_effect=OSError(errno.EBADF, "Bad file descriptor"))
    monkeypatch.setattr(os, "set_blocking", closed)
    prepared.run(TERM)
    assert closed.called
    assert prepared.status == 0


def test_the_command_runs_a_daemon_with_the_settings_read_before_the_imports(
    scene, monkeypatch
):
    daemon = scene(TEXT)
    reactor = SignalReactor((), [TERM, lambda: reactor.pass_seconds(LONG_SECONDS)])
    monkeypatch.setattr(run_module, "system_reactor", lambda: reactor)
    monkeypatch.setattr(sys, "argv", ["notcharch.platform"])
    with KeptHandlers(), captured() as messages:
        assert main() == 0
    assert daemon.path.exists()
    assert reactor.stops == 1
    [started] = of(messages, ProcessStarted)
    [read] = of(messages, SettingsRead)
    assert messages.index(read) < messages.index(started)


@STOPS
def test_a_stop_during_the_imports_ends_it_with_status_0(monkeypatch, stop):
    """Guards against the default actions: another status, or a traceback."""
    statuses = []
    monkeypatch.setattr(os, "_exit", statuses.append)
    with KeptHandlers():
        end_at_stop_signals()
        stop()
    assert statuses == [0]
