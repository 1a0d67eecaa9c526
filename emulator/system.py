"""Starts all stand-ins in this process, behind HTTP."""

from typing import Any

import attrs
import msgspec
from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.web.resource import IResource, Resource

from emulator.engine.host import EngineHost
from emulator.faults import FaultBoard
from emulator.http.control_server import ControlServer
from emulator.http.engine_server import EngineServer
from emulator.http.journal_server import JournalServer
from emulator.http.listener import HttpListener, ListenerReactor
from emulator.http.service_server import ServiceServer
from emulator.models import RegionModels
from emulator.settings import EmulatorSettings, EngineSection
from notcharch.clients.ports import Machine, MachineState
from notcharch.values.identifiers import EngineName


class EmulatorAddresses(msgspec.Struct, frozen=True):
    """Where everything listens, `host:port`.

    `control` also serves the log, the machine list, the weight store and the tools.
    """

    control: str
    engines: dict[EngineName, str]


@attrs.frozen
class RunningEmulator:
    """The stand-ins while they run."""

    addresses: EmulatorAddresses
    models: RegionModels
    _listeners: tuple[HttpListener, ...]

    @property
    def faults(self) -> FaultBoard:
        """Order and clear faults without HTTP."""
        return self.models.faults

    def put_machine(self, machine: Machine) -> None:
        """Add or change a machine of the list, a daemon for example."""
        self.models.machines.put(machine)

    def remove_machine(self, name: str) -> None:
        """Report that a machine was removed."""
        machine = self.models.machines.find(name)
        if machine is not None:
            gone = msgspec.structs.replace(machine, state=MachineState.GONE)
            self.models.machines.put(gone)

    def stop(self) -> "Deferred[Any]":
        """Close all ports and connections."""
        return DeferredList([listener.stop() for listener in self._listeners])


def start_emulator(
    reactor: ListenerReactor, settings: EmulatorSettings
) -> "Deferred[RunningEmulator]":
    """Start all stand-ins; fails with CannotListenError when a port is taken."""
    return maybeDeferred(_start, reactor, settings)


def _start(reactor: ListenerReactor, settings: EmulatorSettings) -> RunningEmulator:
    general = settings.emulator
    models = RegionModels(reactor, settings, general.steps_per_report)
    listeners: list[HttpListener] = []
    try:
        services = HttpListener(
            reactor, general.host, general.control_port, _service_root(models)
        )
        listeners.append(services)
        control = services.listen()
        addresses = {
            EngineName(section.name): _start_engine(reactor, models, section, listeners)
            for section in settings.engines
        }
    except Exception:
        for listener in listeners:
            listener.stop()
        raise
    return RunningEmulator(
        EmulatorAddresses(control, addresses), models, tuple(listeners)
    )


def _start_engine(
    reactor: ListenerReactor,
    models: RegionModels,
    section: EngineSection,
    listeners: list[HttpListener],
) -> str:
    host: EngineHost = models.build_engine(section)
    resource = EngineServer(host, models.engines).app.resource()
    listener = HttpListener(
        reactor, models.settings.emulator.host, section.port, resource
    )
    listeners.append(listener)
    address = listener.listen()
    listener.follow(host.transport)
    models.place_engine(host, section, address)
    return address


def _service_root(models: RegionModels) -> IResource:
    """Put the sets of routes on one address."""
    return _ByPrefix(
        {
            (b"control",): ControlServer(models).app.resource(),
            (b"v1", b"journal"): JournalServer(models).app.resource(),
            (): ServiceServer(models).app.resource(),
        }
    )


class _ByPrefix(Resource):
    """Gives a request to the resource of the first prefix of its path that fits."""

    def __init__(self, resources: dict[tuple[bytes, ...], IResource]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._resources = resources

    def getChild(self, path: bytes, request: Any) -> IResource:  # noqa: N802 - Twisted's name
        """Choose, and give the segment back to the path."""
        request.postpath.insert(0, request.prepath.pop())
        whole = tuple(request.postpath)
        return next(
            resource
            for prefix, resource in self._resources.items()
            if whole[: len(prefix)] == prefix
        )
