"""The daemons as processes: settings files, logs, signals."""

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import SystemRandom

from deploy.soak.link_proxy import LinkProxy
from deploy.soak.settings import (
    DRAIN_SECONDS,
    GRACE_SECONDS,
    HOST,
    PARTITIONS,
    RETENTION_SECONDS,
)
from deploy.soak.tenants import (
    OVER_SHARE,
    REVOKE_SECONDS,
    SLACK_CALLS,
    WINDOW_SECONDS,
)
from deploy.soak.zones import COLD_FACTOR, COLD_SLACK, REGION_OF
from notcharch.journal.interface import LogLimits

ROOT = Path(__file__).resolve().parents[2]
MODULE = "notcharch.platform"
MEMORY_MEGABYTES = 128
MILLISECONDS = 1000
TRACEBACK = "Traceback (most recent call last)"


LISTENED_PORTS = range(15_000, 32_000)
"""Below the ports that the kernel gives to outgoing connections: one of those could hold
the port of a daemon that is down, which could then not start again."""


_given_ports: set[int] = set()
"""Ports of all daemons, also of those that do not listen yet."""


def free_ports(count: int) -> list[int]:
    """Give ports that nobody uses now, and that were not given before."""
    ports: list[int] = []
    while len(ports) < count:
        port = SystemRandom().choice(LISTENED_PORTS)
        if port not in _given_ports and _is_free(port):
            _given_ports.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as opened:
        try:
            opened.bind((HOST, port))
        except OSError:
            return False
        return True


class SoakDaemon:
    """One daemon, and its way to the store."""

    def __init__(self, name: str, folder: Path, store: LinkProxy) -> None:
        """Write its settings file; nothing runs yet."""
        self.name = name
        self.store = store
        self.front, self.readiness, self._peers = free_ports(3)
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._settings.write_text(self._text())
        self._process: subprocess.Popen[bytes] | None = None
        self.is_stopped = False
        """Whether it was paused by a signal."""
        self.is_stopping = False
        """Whether it received a stop signal."""
        self.own_ends = 0
        """How often it ended by itself."""
        self.peak_megabytes = 0
        """The most memory that any of its processes had."""

    def _text(self) -> str:
        fields = {
            "node_name": self.name,
            "ip_address": HOST,
            "zone": "zone-a",
            "listen_addresses.front": f"{HOST}:{self.front}",
            "listen_addresses.readiness": f"{HOST}:{self.readiness}",
            "internal_port_range": f"{self._peers},{self._peers}",
            "platform.address": f"{HOST}:{self.store.port}",
            "platform.parts": PARTITIONS,
            "platform.record_bytes": LogLimits().record_bytes,
            "platform.call_bytes": LogLimits().call_bytes,
            # Switches on the reserve of limits and early refusals in outages.
            "contracts": "base,tenants,quota,pressure",
            "limits.memory_mb": MEMORY_MEGABYTES,
            "platform.retention_s": RETENTION_SECONDS * 5,
            "bounds.grace_period_s": GRACE_SECONDS,
            "bounds.drain_ms": int(DRAIN_SECONDS * MILLISECONDS),
            "bounds.strict_revocation": "true",
            "bounds.revoke_ms": int(REVOKE_SECONDS * MILLISECONDS),
            "bounds.quota_window_s": WINDOW_SECONDS,
            "bounds.quota_over": OVER_SHARE,
            "bounds.quota_slack": SLACK_CALLS,
            "bounds.cold_over": COLD_FACTOR,
            "bounds.cold_slack": COLD_SLACK,
            **{f"zones.{zone}": region for zone, region in REGION_OF.items()},
        }
        return "".join(f"{key}={value}\n" for key, value in fields.items())

    def start(self) -> None:
        """Start the process, if it doesn't run."""
        if self.is_running:
            return
        environment = os.environ | {"NOTCHARCH_NODE_FILE": str(self._settings)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", MODULE],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_stopped = self.is_stopping = False

    @property
    def is_running(self) -> bool:
        """Whether the process lives, paused or not."""
        return self._process is not None and self._process.poll() is None

    def measure_memory(self) -> None:
        """Note the peak of the memory of the process, if it runs."""
        if self._process is None or not self.is_running:
            return
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        peak = next((x for x in status.splitlines() if x.startswith("VmHWM")), None)
        if peak is not None:
            kilobytes = int(peak.split()[1])
            self.peak_megabytes = max(self.peak_megabytes, kilobytes // 1024)

    def logged_exceptions(self) -> int:
        """Return how many exceptions of the program its log tells of."""
        return self._log.read_text(errors="replace").count(TRACEBACK)

    def notice_own_end(self) -> bool:
        """Tell whether the process ended without being told to."""
        process = self._process
        if process is None or process.poll() is None or self.is_stopping:
            return False
        self.own_ends += 1
        return True

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self.is_stopping = True
        self._signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def terminate(self) -> None:
        """Tell it to stop."""
        self.is_stopping = True
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Let it stand still."""
        self.is_stopped = True
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self.is_stopped = False
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Tell it that its settings changed."""
        self._signal(signal.SIGHUP)
