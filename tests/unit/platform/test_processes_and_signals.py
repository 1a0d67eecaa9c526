"""Signals to daemons that run as processes; events say when the next one is sent."""

import json
import os
import signal
import subprocess
import sys
import sysconfig
import tomllib
from contextlib import contextmanager
from pathlib import Path

import pytest

from deploy.soak.daemons import free_ports
from notcharch.events.process import (
    ProcessStarted,
    ProcessStopped,
    ProcessStopping,
    SettingsAwaited,
    SettingsRead,
)

ROOT = Path(__file__).resolve().parents[3]
SYSTEM = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
RUN_WORDS = SYSTEM["roles"]["notcharch"]["run"].split(" ")[1:4]
RUN_LINES = {
    # Without -OO, for which the packages of the test environment are not compiled.
    "the platform's": [word for word in RUN_WORDS if word != "-OO"],
    "as a module": ["-m", "notcharch.platform"],
}
RUN = pytest.mark.parametrize("run", RUN_LINES.values(), ids=RUN_LINES)
HOST = "127.0.0.1"


def settings_text() -> str:
    front, readiness, peers, store = free_ports(4)
    return (
        f"node_name=a\nip_address={HOST}\nzone=z\n"
        f"listen_addresses.front={HOST}:{front}\n"
        f"listen_addresses.readiness={HOST}:{readiness}\n"
        f"internal_port_range={peers},{peers}\nplatform.address={HOST}:{store}\n"
        "bounds.grace_period_s=1\n"
    )


class Daemon:
    """A process and its log lines, read as far as they are needed."""

    def __init__(self, process, settings: Path) -> None:
        self.process = process
        self.settings = settings
        self.numbers: list[int] = []

    def send(self, *signals: int) -> None:
        for number in signals:
            self.process.send_signal(number)

    def wait_for(self, event) -> None:
        for line in self.process.stdout:
            self.numbers.append(json.loads(line).get("event_number"))
            if self.numbers[-1] == event.number:
                return
        pytest.fail(f"it ended without {event.__name__}: {self.numbers}")

    def end(self) -> int:
        lines = self.process.stdout.readlines()
        self.numbers += [json.loads(line).get("event_number") for line in lines]
        return self.process.wait()

    def count(self, event) -> int:
        return self.numbers.count(event.number)


@contextmanager
def daemon(tmp_path, run, text):
    settings = tmp_path / "settings.conf"
    settings.write_text(text)
    with subprocess.Popen(
        [sys.executable, *run],
        cwd=ROOT,
        env=os.environ
        | {
            "NOTCHARCH_NODE_FILE": str(settings),
            "PYTHONPATH": f"{ROOT}{os.pathsep}{sysconfig.get_path('purelib')}",
        },
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            yield Daemon(process, settings)
            assert process.stderr.read() == ""
        finally:
            process.kill()


@RUN
@pytest.mark.parametrize("stop", [signal.SIGTERM, signal.SIGINT])
def test_a_daemon_that_awaits_settings_ends_at_once_with_status_0(tmp_path, run, stop):
    with daemon(tmp_path, run, "") as waiting:
        waiting.wait_for(SettingsAwaited)
        waiting.send(signal.SIGHUP, stop, stop, signal.SIGHUP)
        assert waiting.end() == 0
        assert waiting.count(ProcessStopping) == 0


@RUN
def test_a_daemon_lives_through_each_signal_and_drains_once(tmp_path, run):
    with daemon(tmp_path, run, "") as running:
        running.wait_for(SettingsAwaited)
        running.settings.write_text(settings_text())
        running.send(signal.SIGHUP)
        running.wait_for(ProcessStarted)
        running.send(signal.SIGHUP)
        running.wait_for(SettingsRead)
        running.send(signal.SIGTERM)
        running.wait_for(ProcessStopping)
        running.send(signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
        running.wait_for(ProcessStopped)
        running.send(signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
        assert running.end() == 0
        assert running.count(ProcessStopping) == running.count(ProcessStopped) == 1
