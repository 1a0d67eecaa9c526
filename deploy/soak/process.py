"""One process of a daemon: its command, the signals that it got, and its end."""

import os
import shlex
import signal
import subprocess
import sys
import sysconfig
import time
import tomllib
from pathlib import Path

from deploy.soak.ends import ProcessEnd, has_default_action
from deploy.soak.processor_waits import read_used, read_waited
from deploy.soak.settings import GRACE_SECONDS

ROOT = Path(__file__).resolve().parents[2]
SYSTEM = ROOT / "deploy" / "system.toml"
ROLE = "notcharch"
METRICS_OPTION = "--metrics-port"
MILLISECONDS = 1000


def daemon_command(system: str, metrics_port: int) -> list[str]:
    """Return the platform's command of a daemon, with a metrics port of its own.

    All daemons of a soak share one address, as several daemons share the ports of a
    machine, so the port has to differ.
    """
    words = shlex.split(tomllib.loads(system)["roles"][ROLE]["run"])
    place = words.index(METRICS_OPTION) + 1
    return [sys.executable, *words[1:place], str(metrics_port), *words[place + 1 :]]


def daemon_environment(settings: Path) -> dict[str, str]:
    """Return the environment; `-S` leaves out the installed packages, so it has them."""
    paths = (str(ROOT), sysconfig.get_path("purelib"), sysconfig.get_path("platlib"))
    return os.environ | {
        "NOTCHARCH_NODE_FILE": str(settings),
        "PYTHONPATH": os.pathsep.join(dict.fromkeys(paths)),
    }


class DaemonProcess:
    """A process of a daemon, from its spawn to its end."""

    def __init__(
        self, daemon: str, metrics_port: int, settings: Path, log: Path
    ) -> None:
        """Spawn it."""
        self._daemon = daemon
        command = daemon_command(SYSTEM.read_text(), metrics_port)
        self._began = time.monotonic()
        with log.open("ab") as output:
            self._popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=daemon_environment(settings),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._stopped_at: float | None = None
        self._at_stop = (0.0, 0.0)
        """Processor time used, and waited for, at the time of SIGTERM."""
        self._had_program = False
        """Whether SIGHUP was seen not to end it."""
        self._stop_met_default = False
        self._is_killed = False
        self._reload_before_program_ms: int | None = None
        self.is_paused = False
        self._was_paused_in_stop = False

    @property
    def pid(self) -> int:
        """The id of the process."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process lives, paused or not."""
        return self._popen.poll() is None

    @property
    def is_stopping(self) -> bool:
        """Whether it was told to end."""
        return self._stopped_at is not None or self._is_killed

    def _seconds(self) -> float:
        return time.monotonic() - self._began

    def _proc(self, name: str) -> str:
        try:
            return Path(f"/proc/{self.pid}/{name}").read_text()
        except OSError:
            return ""

    def _has_default_action(self, number: signal.Signals) -> bool:
        return self.is_running and has_default_action(self._proc("status"), number)

    def look(self) -> int:
        """Look whether its program runs; return the peak of its memory in megabytes."""
        status = self._proc("status")
        if status and not has_default_action(status, signal.SIGHUP):
            self._had_program = True
        for line in status.splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) // 1024
        return 0

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self._popen.send_signal(number)

    def terminate(self) -> None:
        """Tell it to stop."""
        if self.is_running and self._stopped_at is None:
            self._stop_met_default = self._has_default_action(signal.SIGTERM)
            self._stopped_at = self._seconds()
            self._at_stop = (read_used(self.pid), read_waited(self.pid))
        self._was_paused_in_stop |= self.is_paused
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """End it at once."""
        self._is_killed = True
        self._signal(signal.SIGKILL)
        self._popen.wait()

    def pause(self) -> None:
        """Let it stand still."""
        self.is_paused = True
        self._was_paused_in_stop |= self.is_stopping
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self.is_paused = False
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Tell it that its settings changed."""
        is_before_program = not (self._had_program or self.is_stopping)
        if is_before_program and self._has_default_action(signal.SIGHUP):
            self._reload_before_program_ms = round(self._seconds() * MILLISECONDS)
        self._signal(signal.SIGHUP)

    @property
    def is_overdue(self) -> bool:
        """Whether it lives at the end of its grace period after SIGTERM."""
        if self._stopped_at is None or not self.is_running:
            return False
        return self._seconds() - self._stopped_at >= GRACE_SECONDS

    def describe_overrun(self) -> str:
        """Tell what an overdue process did since SIGTERM."""
        used = read_used(self.pid) - self._at_stop[0]
        waited = read_waited(self.pid) - self._at_stop[1]
        state = self._proc("stat").rpartition(")")[2].split()[:1]
        return (
            f"process {self.pid} lives {GRACE_SECONDS} s later, state {state}; since "
            f"SIGTERM it ran {used:.2f} s and waited {waited:.2f} s for a processor"
        )

    @property
    def overran(self) -> bool:
        """Whether an overdue process had all of its grace period to itself."""
        return not self._was_paused_in_stop

    def end(self) -> ProcessEnd | None:
        """Return how it ended; None while it lives."""
        status = self._popen.poll()
        if status is None:
            return None
        return ProcessEnd(
            daemon=self._daemon,
            status=status,
            lived_ms=round(self._seconds() * MILLISECONDS),
            stop_after=self._stopped_at,
            stop_met_default=self._stop_met_default,
            is_killed=self._is_killed,
            reloaded_before_program_ms=self._reload_before_program_ms,
        )
