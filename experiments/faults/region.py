"""The processes of a run: the stand-ins and six daemons, each in its own process.

A daemon keeps its name and its ports over a restart, as it would on a machine; the
first start draws them.
"""

import hashlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, FirstError, gatherResults
from twisted.internet.task import deferLater
from twisted.web.client import Agent
from twisted.web.http_headers import Headers

from emulator.faults import Fault
from emulator.http.control_server import EmulatorSnapshot
from experiments.child_process import ChildError, ChildProcess
from experiments.demo_system import DaemonReady, EmulatorReady
from experiments.faults.facts import CutCause
from experiments.faults.programs import rows
from notcharch.clients.ports import Machine, MachineKind, MachineState
from notcharch.table.interface import TenantKey
from notcharch.values.identifiers import RegionName, TenantName, ZoneName

REGION = RegionName("region1")
ZONES = ("zone1", "zone2", "zone3")
DAEMONS_PER_ZONE = 2
TENANT = TenantName("tenant1")
CALLER_KEY = "faults-caller"
OPERATOR_KEY = "faults-operator"
START_SECONDS = 40.0
POLL_SECONDS = 0.3
STOP_SECONDS = 45.0
DRAIN_SECONDS = 20.0


@attrs.define
class RunningDaemon:
    """A daemon over all its processes; times are the reactor's seconds."""

    name: str
    zone: str
    child: ChildProcess
    http: str = ""
    peer: str = ""
    lives: int = 0
    killed_at: float = -1.0
    stopped_at: float = -1.0
    resumed_at: float = -1.0
    is_paused: bool = False
    is_killed: bool = False
    is_stopping: bool = False

    def cause_of_cut(self, begun_at: float) -> CutCause:
        """Name the newest fault of this daemon since a request began."""
        if self.is_killed or self.killed_at >= begun_at:
            return CutCause.KILL
        if self.is_paused or self.resumed_at >= begun_at:
            return CutCause.PAUSE
        if self.is_stopping or self.stopped_at >= begun_at:
            return CutCause.PLANNED_STOP
        return CutCause.NONE


class FaultRegion:
    """Starts, kills, pauses and stops the processes, each by its own id."""

    def __init__(
        self, reactor: Any, folder: Path, report: Callable[[str], None]
    ) -> None:
        """Keep settings and logs in `folder`; `report` gets progress lines."""
        self._reactor = reactor
        self._folder = folder
        self._report = report
        self._http = HTTPClient(Agent(reactor, connectTimeout=2.0))
        self._control = ""
        self._emulator: ChildProcess | None = None
        self.daemons: dict[str, RunningDaemon] = {}
        self.addresses: dict[str, str] = {}

    async def start(self) -> None:
        """Start everything and publish the table."""
        self._emulator = ChildProcess(
            self._reactor, "emulator", self._folder / "emulator.log"
        )
        line = await self._emulator.start("emulator")
        self._control = msgspec.json.decode(line, type=EmulatorReady).control
        names = [
            (f"{zone}-{letter}", zone)
            for zone in ZONES
            for letter in "abcdef"[:DAEMONS_PER_ZONE]
        ]
        for name, zone in names:
            self.daemons[name] = RunningDaemon(name, zone, self._child(name))
        starts = [Deferred.fromCoroutine(self.start_daemon(name)) for name, _ in names]
        try:
            await gatherResults(starts, consumeErrors=True)
        except FirstError as error:
            raise ChildError(error.subFailure.getErrorMessage()) from error
        for daemon in self.daemons.values():
            await self._list_machine(daemon)
        await self._publish()
        self._report(f"{len(names)} daemons run; the table is in force")

    async def start_daemon(self, name: str) -> None:
        """Start a process of a daemon, at its ports if it has had one before."""
        daemon = self.daemons[name]
        if daemon.lives:
            daemon.child = self._child(name)
        daemon.lives += 1
        path = self._folder / f"{name}.toml"
        path.write_text(_settings(daemon, self._control))
        line = await daemon.child.start("daemon", "--config", str(path))
        ready = msgspec.json.decode(line, type=DaemonReady)
        daemon.http, daemon.peer = ready.http, ready.peer
        self.addresses[name] = ready.http

    async def kill(self, name: str) -> None:
        """End a daemon's process at once."""
        daemon = self.daemons[name]
        daemon.is_killed = True
        daemon.child.signal("KILL")
        await daemon.child.when_ended()
        daemon.is_killed = False
        daemon.killed_at = self._reactor.seconds()

    def pause(self, name: str) -> None:
        """Stop a daemon's process in the middle of whatever it does."""
        daemon = self.daemons[name]
        daemon.is_paused = True
        daemon.child.signal("STOP")

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        daemon = self.daemons[name]
        daemon.is_paused = False
        daemon.resumed_at = self._reactor.seconds()
        daemon.child.signal("CONT")

    async def stop_planned(self, name: str) -> float:
        """Ask a daemon to end; gives the seconds that it took."""
        daemon = self.daemons[name]
        begun_at = self._reactor.seconds()
        daemon.is_stopping = True
        daemon.child.signal("TERM")
        too_late = self._reactor.callLater(STOP_SECONDS, daemon.child.signal, "KILL")
        await daemon.child.when_ended()
        if too_late.active():
            too_late.cancel()
        daemon.is_stopping = False
        daemon.stopped_at = self._reactor.seconds()
        return float(self._reactor.seconds() - begun_at)

    async def order(self, *faults: Fault) -> None:
        """Order faults of the stand-ins."""
        for fault in faults:
            await self._control_request("POST", "faults", msgspec.json.encode(fault))

    async def clear(self) -> None:
        """End all active faults of the stand-ins."""
        await self._control_request("DELETE", "faults", None)

    async def snapshot(self) -> EmulatorSnapshot:
        """Read the truth of the stand-ins."""
        data = await self._control_request("GET", "state", None)
        return msgspec.json.decode(data, type=EmulatorSnapshot)

    async def stop(self) -> None:
        """Stop the daemons, then the stand-ins."""
        for daemon in self.daemons.values():
            if daemon.is_paused:
                self.resume(daemon.name)
        await gatherResults([daemon.child.stop() for daemon in self.daemons.values()])
        if self._emulator is not None:
            await self._emulator.stop()

    def cause_of_cut(self, name: str, begun_at: float) -> CutCause:
        """Name the fault of a daemon that cut a request begun at a time."""
        return self.daemons[name].cause_of_cut(begun_at)

    def _child(self, name: str) -> ChildProcess:
        return ChildProcess(self._reactor, name, self._folder / f"{name}.log")

    async def _list_machine(self, daemon: RunningDaemon) -> None:
        machine = Machine(
            daemon.name,
            MachineKind.DAEMON,
            REGION,
            ZoneName(daemon.zone),
            daemon.peer,
            MachineState.LIVE,
        )
        await self._control_request("POST", "machines", msgspec.json.encode(machine))

    async def _control_request(self, method: str, name: str, body: bytes | None) -> Any:
        response = await self._http.request(
            method, f"http://{self._control}/control/{name}", data=body
        )
        data = await response.content()
        if response.code != 200:
            raise ChildError(f"the stand-ins refused {method} {name}: {data!r}")
        return data

    async def _publish(self) -> None:
        """Publish until the table is in force at every daemon."""
        digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        body = msgspec.json.encode(
            {
                "base_version": 0,
                "rows": rows(TENANT),
                "keys": [TenantKey(TENANT, digest)],
                "id": "faults-1",
            }
        )
        give_up_at = self._reactor.seconds() + START_SECONDS
        address = next(iter(self.addresses.values()))
        url = f"http://{address}/admin/v1/table/publish?wait=in_force"
        headers = Headers({"Authorization": [f"Bearer {OPERATOR_KEY}"]})
        while True:
            response = await self._http.post(url, headers=headers, data=body)
            data = await response.content()
            if response.code == 200:
                return
            if self._reactor.seconds() > give_up_at:
                raise ChildError(f"the table was not published: {data!r}")
            await deferLater(self._reactor, POLL_SECONDS)


def _settings(daemon: RunningDaemon, control: str) -> str:
    digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
    return f"""
[daemon]
name = "{daemon.name}"
region = "{REGION}"
zone = "{daemon.zone}"
host = "127.0.0.1"
http_port = {_port(daemon.http)}
peer_port = {_port(daemon.peer)}
drain_seconds = {DRAIN_SECONDS}

[platform]
log = "{control}"
machine_list = "{control}"
weight_store = "{control}"

[[operators.keys]]
name = "faults"
key_sha256 = "{digest}"
role = "administrator"
"""


def _port(address: str) -> int:
    return int(address.rpartition(":")[2]) if address else 0
