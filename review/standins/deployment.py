"""A small deployment on loopback addresses: the store, engines and the real daemons.

Each daemon has a loopback address of its own, as the command of the deploy file names a
fixed port for its figures. Processes are ended by the ids of those that were started.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

from engines import Engine, Pace, Run
from http11 import Request, ask

STANDINS = Path(__file__).resolve().parent
ROOT = STANDINS.parents[1]
PACKAGES = "target/deps"
ZONES = ("hall-a", "hall-b", "hall-c")
HOST_NAME = "review.example"
METRICS_PORT = 9464
READY_SECONDS = 25.0
GRACE_SECONDS = 8.0
MOST_SECONDS = 110.0
"""A case runs for 120 s at most."""
HINOKUNI_SETTINGS: Mapping[str, object] = MappingProxyType(
    {
        "limits.memory_mb": 130,
        "limits.link_mbps": 600,
        "bounds.contact_ms": 4000,
        "bounds.acknowledge_ms": 6000,
        "bounds.drain_ms": 3000,
        "bounds.config_apply_ms": 3000,
        "bounds.outer_ms": 6000,
        "bounds.recovery_s": 15,
    }
)
"""Bounds of hinokuni-agents-grown, and limits of a machine of which it has 18."""
USUAL_PACE = Pace()
PASSED_VARIABLES = ("PATH", "HOME", "LANG", "JAVA_HOME")


class CannotRunError(Exception):
    """The case can't be played here."""


class Record:
    """The lines of `record.txt`, with seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        """Begin the file anew."""
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def free_port(host: str, port: int = 0) -> int:
    """Return a port of an address that nobody listens on."""
    with socket.socket() as opened:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((host, port))
        number: int = opened.getsockname()[1]
        return number


def free_hosts(count: int) -> list[str]:
    """Return loopback addresses on which the port of the figures is free."""
    hosts: list[str] = []
    for _ in range(200):
        host = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}.1"
        try:
            free_port(host, METRICS_PORT)
        except OSError:
            continue
        if host not in hosts:
            hosts.append(host)
        if len(hosts) == count:
            return hosts
    message = "no free loopback addresses"
    raise CannotRunError(message)


def deploy_command() -> list[str]:
    """Return the command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    command: str = deploy["roles"]["notcharch"]["run"]
    return command.split(" ")


class Daemon:
    """One daemon process."""

    def __init__(self, name: str, host: str, zone: str, folder: Path) -> None:
        """Choose its ports."""
        self.name = name
        self.host = host
        self.zone = zone
        self.front = (host, free_port(host))
        self.readiness = (host, free_port(host))
        self.control = (host, free_port(host))
        self._peers = free_port(host)
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(
        self, store: tuple[str, int], changes: Mapping[str, object]
    ) -> None:
        """Write the settings of a machine, those of a small deployment with changes."""
        fields: dict[str, object] = {
            "node_name": self.name,
            "role": "notcharch",
            "machine_class": "front",
            "serves": "front",
            "ip_address": self.host,
            "zone": self.zone,
            "region": "oslo",
            **{f"zones.{zone}": "oslo" for zone in ZONES},
            "listen_addresses.front": f"{self.host}:{self.front[1]}",
            "listen_addresses.readiness": f"{self.host}:{self.readiness[1]}",
            "listen_addresses.control": f"{self.host}:{self.control[1]}",
            "internal_port_range": f"{self._peers},{self._peers}",
            "bootstrap": "true",
            "limits.memory_mb": 330,
            "limits.file_descriptors": 8200,
            "limits.disk_mb": 0,
            "heartbeat_interval_ms": 1200,
            "contracts": "base,drain,config,cost,recover,agent,stream,engine,platform",
            "bounds.contact_ms": 3000,
            "bounds.acknowledge_ms": 4000,
            "bounds.drain_ms": 2000,
            "bounds.grace_period_s": int(GRACE_SECONDS),
            "bounds.loss_slack_ms": 200,
            "bounds.config_apply_ms": 2000,
            "bounds.rollback_slack_ms": 250,
            "bounds.outer_ms": 5000,
            "bounds.recovery_s": 12,
            "platform.address": f"{store[0]}:{store[1]}",
            "platform.form": "log",
            "platform.writes_per_s": 800,
            "platform.reads_per_s": 2000,
            "platform.parts": 12,
            "platform.append_ms": 2.0,
            "platform.record_bytes": 262144,
            "platform.call_bytes": 2097152,
            "platform.retention_s": 300,
            "platform.part_mb": 200,
            "platform.ttl_min_ms": 1000,
            **changes,
        }
        lines = [f"{key}={value}\n" for key, value in fields.items()]
        self._settings.write_text("".join(lines))

    def note_first_start(self) -> None:
        """Write that the whole system has been started before."""
        text = self._settings.read_text()
        self._settings.write_text(text.replace("bootstrap=true", "bootstrap=false"))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        passed = {name: os.environ.get(name, "") for name in PASSED_VARIABLES}
        environment = {name: value for name, value in passed.items() if value}
        environment["PYTHONPATH"] = PACKAGES
        environment["NOTCHARCH_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy_command(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def peak_memory_kb(self) -> int:
        """Return the most memory that the process has had; 0 if it has ended."""
        if self.process is None or self.process.poll() is not None:
            return 0
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1])

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        host = {"Host": f"{self.host}:{self.readiness[1]}"}
        answer = await ask(
            self.readiness, "GET", "/readiness", host, body=b"", seconds=1.0
        )
        return answer.status == 200


class Deployment:
    """The store, the engines and the daemons of one case."""

    def __init__(
        self,
        folder: Path,
        record: Record,
        *,
        daemons: int,
        body_of: Callable[[Request], bytes] = lambda _: b"done",
        settings: Mapping[str, object] = MappingProxyType({}),
        pace: Pace = USUAL_PACE,
    ) -> None:
        """Choose addresses; nothing runs yet.

        `body_of` gives the answers of tools; `settings` differ from the usual ones;
        `pace` is that of the engines.
        """
        self._record = record
        hosts = free_hosts(daemons + 1)
        self._host = hosts[0]
        self.store = (self._host, free_port(self._host))
        self.platform = (self._host, free_port(self._host))
        self._store_process: subprocess.Popen[bytes] | None = None
        self._store_log = folder / "store.log"
        self.daemons = [
            Daemon(f"front-{n}", host, ZONES[n % len(ZONES)], folder)
            for n, host in enumerate(hosts[1:])
        ]
        for daemon in self.daemons:
            daemon.write_settings(self.store, settings)
        self.runs: dict[str, list[Run]] = {}
        """What engines ran, by request."""
        self.engines = [
            Engine(
                f"i-{service}-{number}",
                service,
                zone,
                body_of=body_of,
                on_run=self._ran,
                pace=pace,
            )
            for service in ("models", "tools")
            for number, zone in enumerate(ZONES)
        ]

    def _ran(self, run: Run) -> None:
        self.runs.setdefault(run.request, []).append(run)
        self._record.line(f"run {run.request} at {run.engine}, {len(run.body)} B")

    async def start(self, routes: list[dict[str, Any]]) -> None:
        """Start everything, and wait until all daemons are ready."""
        if not (ROOT / PACKAGES / "installed.lock").exists():
            message = "the build of the deploy file is missing"
            raise CannotRunError(message)
        command = [sys.executable, str(STANDINS / "store.py"), self.store[0]]
        ports = [str(self.store[1]), str(self.platform[1])]
        with self._store_log.open("ab") as log:
            self._store_process = subprocess.Popen(
                [*command, *ports], stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        await self._wait(self._has_store, "the store")
        for engine in self.engines:
            await engine.start(self._host, self.platform)
        await self.configure(1, routes)
        for daemon in self.daemons:
            daemon.start()
        await self.wait_until_ready()

    async def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a version of the configuration, as the operator does."""
        whole = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": "models", "engine": {"tokens_per_event": 10}},
                {"name": "tools"},
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        target = "/write?topic=keyed.op&key=config"
        await ask(
            self.platform,
            "POST",
            target,
            {},
            body=json.dumps(whole).encode(),
            seconds=5.0,
        )

    async def _has_store(self) -> bool:
        return (
            await ask(self.platform, "GET", "/counts", {}, body=b"", seconds=1.0)
        ).is_whole

    async def counts(self) -> dict[str, Any]:
        """Return what the store counted."""
        answer = await ask(self.platform, "GET", "/counts", {}, body=b"", seconds=5.0)
        counts: dict[str, Any] = json.loads(answer.body)
        return counts

    async def wait_until_ready(self) -> None:
        """Wait until every daemon says that it is ready."""
        for daemon in self.daemons:
            await self._wait(daemon.is_ready, daemon.name)

    async def _wait(self, check: Callable[[], Any], what: str) -> None:
        until = time.monotonic() + READY_SECONDS
        while not await check():
            if time.monotonic() > until:
                message = f"{what} did not become ready"
                raise CannotRunError(message)
            await asyncio.sleep(0.1)

    def end(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            daemon.end()
        if self._store_process is not None:
            self._store_process.kill()
            self._store_process.wait()


def play(folder: Path, body: Callable[[Path, Record], Any]) -> int:
    """Play a case in a temporary folder; return its exit code.

    `body` returns True if the rule held. The logs of the processes go with the folder.
    """
    record = Record(folder / "record.txt")

    async def bounded(temporary: Path) -> Any:
        playing = asyncio.current_task()
        assert playing is not None
        # A case that is cancelled ends its processes on the way out.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, playing.cancel)
        async with asyncio.timeout(MOST_SECONDS):
            return await body(temporary, record)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_kept = asyncio.run(bounded(Path(temporary)))
        except (Exception, asyncio.CancelledError) as error:
            # Python's own status for an exception, 1, would say that the rule broke.
            record.line(f"could not run: {type(error).__name__} {error}")
            return 2
    record.line("the rule held" if is_kept else "the rule was broken")
    return 0 if is_kept else 1
