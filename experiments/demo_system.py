"""The demo's system: the stand-ins and three daemons as separate processes."""

import hashlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, FirstError, gatherResults
from twisted.internet.task import deferLater
from twisted.web.client import Agent
from twisted.web.http_headers import Headers

from emulator.http.control_server import EmulatorSnapshot
from experiments.child_process import ChildError, ChildProcess
from experiments.workloads import Kind
from notcharch.clients.ports import Machine, MachineKind, MachineState
from notcharch.table.interface import ServiceRow, TenantKey
from notcharch.values.identifiers import (
    PoolName,
    RegionName,
    ServiceName,
    TenantName,
    ZoneName,
)

REGION = RegionName("region1")
ZONES = ("zone1", "zone2", "zone3")
OPERATOR_KEY = "demo-operator"
CALLER_KEY = "demo-caller"
TENANT = TenantName("demo")
POOL = PoolName("model")
START_SECONDS = 25.0
POLL_SECONDS = 0.2


class EmulatorReady(msgspec.Struct, frozen=True):
    """The ready line of the emulator."""

    control: str


class DaemonReady(msgspec.Struct, frozen=True):
    """The ready line of a daemon."""

    http: str
    peer: str


class DemoSystem:
    """Starts everything on loopback and stops every process by its id."""

    def __init__(
        self, reactor: Any, folder: Path, report: Callable[[str], None]
    ) -> None:
        """Keep settings and logs in `folder`; `report` gets progress lines."""
        self._reactor = reactor
        self._folder = folder
        self._report = report
        self._children: list[ChildProcess] = []
        self._http = HTTPClient(Agent(reactor, connectTimeout=2.0))
        self._control = ""
        self.addresses: tuple[str, ...] = ()

    async def start(self) -> None:
        """Start the stand-ins and the daemons, and publish the table."""
        emulator = self._child("emulator")
        line = await emulator.start("emulator")
        self._control = msgspec.json.decode(line, type=EmulatorReady).control
        self._report(f"stand-ins listen at {self._control}")
        starts = [Deferred.fromCoroutine(self._start_daemon(zone)) for zone in ZONES]
        try:
            started = await gatherResults(starts, consumeErrors=True)
        except FirstError as error:
            raise ChildError(error.subFailure.getErrorMessage()) from error
        self.addresses = tuple(started)
        self._report(f"daemons listen at {', '.join(self.addresses)}")
        await self._publish()

    async def stop(self) -> None:
        """Stop the daemons, then the stand-ins."""
        for group in (self._children[1:], self._children[:1]):
            await gatherResults([child.stop() for child in group])

    async def snapshot(self) -> EmulatorSnapshot:
        """Read the counters of the stand-ins."""
        response = await self._http.get(f"http://{self._control}/control/state")
        return msgspec.json.decode(await response.content(), type=EmulatorSnapshot)

    def _child(self, name: str) -> ChildProcess:
        child = ChildProcess(self._reactor, name, self._folder / f"{name}.log")
        self._children.append(child)
        return child

    async def _start_daemon(self, zone: str) -> str:
        name = f"daemon-{zone}"
        path = self._folder / f"{name}.toml"
        path.write_text(_settings(name, zone, self._control))
        line = await self._child(name).start("daemon", "--config", str(path))
        ready = msgspec.json.decode(line, type=DaemonReady)
        machine = Machine(
            name,
            MachineKind.DAEMON,
            REGION,
            ZoneName(zone),
            ready.peer,
            MachineState.LIVE,
        )
        await self._http.post(
            f"http://{self._control}/control/machines",
            data=msgspec.json.encode(machine),
        )
        return ready.http

    async def _publish(self) -> None:
        """Publish until it is in force at every daemon."""
        body = msgspec.json.encode(
            {
                "base_version": 0,
                "rows": [_row(kind) for kind in Kind],
                "keys": [TenantKey(TENANT, _digest(CALLER_KEY))],
                "id": "demo-1",
            }
        )
        give_up_at = self._reactor.seconds() + START_SECONDS
        while True:
            problem = await self._try_to_publish(body)
            if problem is None:
                self._report("the table is in force at every daemon")
                return
            if self._reactor.seconds() > give_up_at:
                raise ChildError(f"the table was not published: {problem}")
            await deferLater(self._reactor, POLL_SECONDS)

    async def _try_to_publish(self, body: bytes) -> str | None:
        url = f"http://{self.addresses[0]}/admin/v1/table/publish?wait=in_force"
        headers = Headers({"Authorization": [f"Bearer {OPERATOR_KEY}"]})
        response = await self._http.post(url, headers=headers, data=body)
        data: bytes = await response.content()
        return None if response.code == 200 else data.decode(errors="replace")


def _settings(name: str, zone: str, control: str) -> str:
    return f"""
[daemon]
name = "{name}"
region = "{REGION}"
zone = "{zone}"
host = "127.0.0.1"
http_port = 0
peer_port = 0
drain_seconds = 10.0

[platform]
log = "{control}"
machine_list = "{control}"
weight_store = "{control}"

[[operators.keys]]
name = "demo"
key_sha256 = "{_digest(OPERATOR_KEY)}"
role = "administrator"
"""


def _row(kind: Kind) -> ServiceRow:
    is_chat = kind is Kind.CHAT
    return ServiceRow(
        ServiceName(kind.value),
        TENANT,
        POOL,
        share=2.0 if is_chat else 1.0,
        priority=3 if is_chat else 5,
        budget_tokens=2_000_000,
        concurrency=64,
    )


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
