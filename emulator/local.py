"""Daemons and stand-ins in one process on loopback, for trying the system."""

import errno
import hashlib
import os
import secrets
from typing import Any

import attrs
import msgspec
from result import Err
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.error import CannotListenError
from twisted.internet.task import deferLater

from emulator.settings import (
    EmulatorSettings,
    EngineSection,
    GeneralSection,
    default_rates,
)
from emulator.system import RunningEmulator, start_emulator
from notcharch.clients.ports import Machine, MachineKind, MachineState
from notcharch.daemon.life import LifeState
from notcharch.daemon.process import DaemonAddresses, DaemonProcess
from notcharch.errors.problem import ProblemError
from notcharch.settings.schema import (
    DaemonSection,
    OperatorKey,
    OperatorsSection,
    PlatformSection,
    Settings,
)
from notcharch.table.draft import TableDraft
from notcharch.table.interface import TenantKey
from notcharch.table.publisher import PublishRequest
from notcharch.values.identifiers import (
    PoolName,
    RegionName,
    TableVersion,
    TenantName,
    ZoneName,
)

HOST = "127.0.0.1"
REGION = "local"
TENANT = TenantName("tenant1")
MODEL_POOL = PoolName("model")
APPLICATION_POOL = PoolName("application")
ENGINES_PER_APPLICATION_ENGINE = 3
KEY_BYTES = 16
POLL_SECONDS = 0.05
READY_SECONDS = 30.0
PUBLISH_SECONDS = 15.0
STARTING_ROWS: tuple[dict[str, Any], ...] = (
    {"service": "assistant", "tenant": TENANT, "pool": MODEL_POOL, "share": 2.0},
    {
        "service": "chat",
        "tenant": TENANT,
        "pool": MODEL_POOL,
        "share": 1.0,
        "priority": 3,
    },
    {"service": "application", "tenant": TENANT, "pool": APPLICATION_POOL},
)
"""The rows of the table that a local system starts with."""


@attrs.frozen
class LocalOptions:
    """How large a local system is; `http_port` is the first daemon's, 0 draws one."""

    daemons: int = 3
    engines: int = 6
    zones: int = 3
    http_port: int = 0


class LocalReady(msgspec.Struct, frozen=True):
    """The ready line: addresses, and keys that are valid in this run only."""

    ready: bool
    daemons: tuple[str, ...]
    api_key: str
    operator_key: str
    services: tuple[str, ...]
    emulator: str


class LocalSystem:
    """A running local system."""

    def __init__(self, reactor: Any, options: LocalOptions) -> None:
        """Start nothing yet."""
        self._reactor = reactor
        self._options = options
        self._api_key = secrets.token_urlsafe(KEY_BYTES)
        self._operator_key = secrets.token_urlsafe(KEY_BYTES)
        self.emulator: RunningEmulator | None = None
        self.daemons: list[DaemonProcess] = []

    async def start(self) -> LocalReady:
        """Start everything, publish the first table, wait until it is in force."""
        emulator = await start_emulator(self._reactor, self._emulator_settings())
        self.emulator = emulator
        addresses = [
            await self._start_daemon(number, emulator)
            for number in range(self._options.daemons)
        ]
        await self._publish_table()
        await self._wait_until_live()
        return LocalReady(
            ready=True,
            daemons=tuple(f"http://{address.http}" for address in addresses),
            api_key=self._api_key,
            operator_key=self._operator_key,
            services=tuple(row["service"] for row in STARTING_ROWS),
            emulator=f"http://{emulator.addresses.control}",
        )

    def stop(self) -> "Deferred[Any]":
        """Stop the daemons without a drain, then the stand-ins."""
        stopping = [daemon.kill() for daemon in self.daemons]
        stopped = DeferredList(stopping, consumeErrors=True)
        if self.emulator is not None:
            emulator = self.emulator
            stopped.addBoth(lambda _: emulator.stop())
        return stopped

    def _zone(self, number: int) -> ZoneName:
        return ZoneName(f"zone{number % self._options.zones + 1}")

    def _emulator_settings(self) -> EmulatorSettings:
        return EmulatorSettings(
            emulator=GeneralSection(region=REGION),
            engines=tuple(self._engine(n) for n in range(self._options.engines)),
            model_engine=default_rates(MachineKind.MODEL_ENGINE),
            application_engine=default_rates(MachineKind.APPLICATION_ENGINE),
        )

    def _engine(self, number: int) -> EngineSection:
        is_last_of_group = (number + 1) % ENGINES_PER_APPLICATION_ENGINE == 0
        is_application = is_last_of_group and self._options.engines > 1
        pool = APPLICATION_POOL if is_application else MODEL_POOL
        kind = (
            MachineKind.APPLICATION_ENGINE
            if is_application
            else MachineKind.MODEL_ENGINE
        )
        return EngineSection(
            name=f"{pool}-{number + 1}",
            kind=kind,
            zone=self._zone(number),
            pools=(pool,),
        )

    async def _start_daemon(
        self, number: int, emulator: RunningEmulator
    ) -> DaemonAddresses:
        daemon = DaemonProcess(self._reactor, self._daemon_settings(number, emulator))
        self.daemons.append(daemon)
        started = daemon.start()
        if not started.called:
            # A daemon waits for a held port; who tries the system is told at once.
            held = OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
            raise CannotListenError(HOST, self._options.http_port, held)
        addresses = await started
        emulator.put_machine(
            Machine(
                name=f"daemon-{number + 1}",
                kind=MachineKind.DAEMON,
                region=RegionName(REGION),
                zone=self._zone(number),
                address=addresses.peer,
                state=MachineState.LIVE,
            )
        )
        return addresses

    def _daemon_settings(self, number: int, emulator: RunningEmulator) -> Settings:
        control = emulator.addresses.control
        digest = hashlib.sha256(self._operator_key.encode()).hexdigest()
        operator = OperatorKey("local", digest, "administrator")
        return Settings(
            daemon=DaemonSection(
                name=f"daemon-{number + 1}",
                region=REGION,
                zone=self._zone(number),
                host=HOST,
                http_port=self._options.http_port if number == 0 else 0,
                peer_port=0,
            ),
            platform=PlatformSection(
                log=control, machine_list=control, weight_store=control
            ),
            operators=OperatorsSection(keys=(operator,)),
        )

    async def _publish_table(self) -> None:
        core = self.daemons[0].core
        assert core is not None
        digest = hashlib.sha256(self._api_key.encode()).hexdigest()
        draft = TableDraft(
            rows=STARTING_ROWS,
            keys=(TenantKey(TENANT, digest),),
        )
        request = PublishRequest(draft, TableVersion(0), "local")
        published = await core.publisher.publish(request, PUBLISH_SECONDS)
        if isinstance(published, Err):
            raise ProblemError(published.err_value)

    async def _wait_until_live(self) -> None:
        give_up_at = self._reactor.seconds() + READY_SECONDS
        while self._reactor.seconds() < give_up_at:
            if all(daemon.state() is LifeState.LIVE for daemon in self.daemons):
                return
            await deferLater(self._reactor, POLL_SECONDS, lambda: None)
        raise TimeoutError(f"not every daemon was live after {READY_SECONDS} s")
