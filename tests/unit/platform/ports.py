"""A daemon's process on a reactor whose ports other processes may hold."""

import errno
import io
import sys
from contextlib import ExitStack
from unittest import mock

import msgspec
from twisted.internet.error import CannotListenError
from twisted.internet.testing import MemoryReactorClock

from notcharch.calls.routing import Router
from notcharch.platform import process as process_module
from notcharch.platform import reported_life
from notcharch.platform.components import Components
from notcharch.platform.planned_stop import ProcessStop
from notcharch.platform.process import Process
from notcharch.platform.settings import read_settings
from notcharch.settings.mechanisms import ALL_MECHANISMS
from tests.unit.platform.decoding import decode_table
from tests.unit.platform.test_settings import TEXT

FRONT, READINESS, METRICS, STORE = 8149, 8141, 9464, 8142
PEERS = range(7380, 7396)
STEP_SECONDS = 0.1
TABLE = {"version": 1, "routes": [], "services": [], "limits": {}}
BEGIN_STOP = ProcessStop.begin


class FakePort:
    """An open port; it is free again once it is closed."""

    def __init__(self, reactor: "PortsReactor", port: int) -> None:
        self._reactor = reactor
        self._port = port

    def stopListening(self):  # noqa: N802
        self._reactor.opened.pop(self._port, None)

    def getHost(self):  # noqa: N802
        return mock.Mock(port=self._port)


class PortsReactor(MemoryReactorClock):
    """Some ports are held by other processes; each port has one holder."""

    def __init__(self, held=()) -> None:
        super().__init__()
        self.held = set(held)
        self.has_descriptors = True
        """Whether sockets can be created at all."""
        self.opened = {}
        self.openings = 0
        """How many ports were opened up to now."""
        self.stops = 0

    def listenTCP(self, port, factory, backlog=50, interface=""):  # noqa: N802
        if not self.has_descriptors:
            raise OSError(errno.EMFILE, "Too many open files")
        if port in self.held or port in self.opened:
            reason = OSError(errno.EADDRINUSE, "Address already in use")
            raise CannotListenError(interface, port, reason)
        self.opened[port] = factory
        self.openings += 1
        return FakePort(self, port)

    def stop(self) -> None:
        assert not self.hasStopped, "the reactor is stopped twice"
        super().stop()

    def run_for(self, seconds: float) -> None:
        """Advance the clock unless the process has ended."""
        for _ in range(round(seconds / STEP_SECONDS)):
            if not self.hasStopped:
                self.advance(STEP_SECONDS)

    def follows_store(self) -> bool:
        return STORE in {port for _, port, *_ in self.tcpClients}


class ProcessWorld:
    """One process, whose tables are loaded as the test says."""

    def __init__(
        self, held=(), metrics_port=METRICS, mechanisms=ALL_MECHANISMS
    ) -> None:
        self.reactor = PortsReactor(held)
        self.has_tables = False
        self.stderr = io.StringIO()
        self.events = []
        self._patches = ExitStack()
        for patch in (
            mock.patch.object(process_module, "emit", self.events.append),
            mock.patch.object(reported_life, "emit", self.events.append),
            mock.patch.object(sys, "stderr", self.stderr),
            mock.patch.object(
                Components, "can_serve", property(lambda _: self.has_tables)
            ),
            mock.patch.object(ProcessStop, "begin", self._begin_stop),
        ):
            self._patches.enter_context(patch)
        settings = read_settings(TEXT).ok_value
        self.process = Process(settings, self.reactor, metrics_port, mechanisms)

    def _begin_stop(self, *arguments) -> None:
        """Begin a stop with the table that the test says is loaded."""
        components = self.process._components
        if self.has_tables:
            table = decode_table(msgspec.json.encode(TABLE))
            components.ingress.router = Router(table)
        BEGIN_STOP(components.stop, *arguments)

    def close(self) -> None:
        """Undo the patches."""
        self._patches.close()

    @property
    def state(self) -> str:
        return self.process.readiness().state

    def logged(self, event):
        return [one for one in self.events if isinstance(one, event)]

    def start(self) -> "ProcessWorld":
        self.process.start()
        return self

    def run(self, seconds: float) -> None:
        self.reactor.run_for(seconds)
