"""Daemons with calls of streams, on a virtual clock, before engines of several versions."""

from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from emulator.peers.time import run_for
from notcharch.accounts.messages import account_codec
from notcharch.calls.call_lifecycle import CallLifecycle
from notcharch.calls.call_services import CallServices
from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import Engine, OpaqueCall, Route, ServiceShare
from notcharch.calls.open_admission import OpenAdmission
from notcharch.http.client import ResponseFailure
from notcharch.http.messages import RequestHead
from notcharch.scheduling.first_response_times import OverduePolicy, RouteResponseTimes
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.software_versions import SoftwareVersions
from notcharch.stream_origins.exchange import StreamOriginExchange
from notcharch.stream_origins.messages import STREAM_ORIGIN_MESSAGES
from notcharch.values.identifiers import DaemonName, Incarnation, Member, ZoneName
from tests.unit.calls.world import SERVICE, Dialect, Reply, Sender

READ_SECONDS = 0.4
"""Between two long polls of the list of engines."""
POLL_SECONDS = 1.5
CHECK_SECONDS = 0.05
"""How soon a long poll returns after a change."""
STORE_SECONDS = 0.004
ROUTE = Route(
    "r",
    "h",
    "/",
    (ServiceShare(SERVICE, 1.0),),
    is_repeatable=True,
    is_stream=True,
    is_resumable=True,
    max_engines=2,
    timeout_seconds=3.0,
)


def event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


class Daemon:
    """One process of a daemon."""

    def __init__(self, world: "OriginWorld", name: str, incarnation: int) -> None:
        self.world = world
        self.name = name
        self.route_since = world.clock.seconds()
        member = Member(DaemonName(name), Incarnation(incarnation))
        joined = world.fabric.join(member, ZoneName("z"))
        self.clock = joined.clock
        self.versions = SoftwareVersions(POLL_SECONDS)
        self.pool = EnginePool(
            self.clock, Nearness("z"), Random(incarnation), versions=self.versions
        )
        self.origins = StreamOriginExchange(
            self.clock,
            joined.network,
            self.versions,
            members=lambda: world.members,
            route_age=lambda _: self.clock.seconds() - self.route_since,
            confirm_list=self.confirm_list,
        )
        self.origins.start()
        self.pool.on_restart = self.origins.engine_restarted
        self.follows_store = True
        self.is_running = True
        self._known: dict[str, Engine] = {}
        self._requested_at = self.clock.seconds()
        self._apply()
        self.clock.callLater(READ_SECONDS, self._begin_poll)

    def _begin_poll(self) -> None:
        """Poll the list of engines, as long as this process runs."""
        self._requested_at = self.clock.seconds()
        self._poll()

    def _poll(self) -> None:
        """Return from the long poll if the list has changed, or its time is over."""
        if not self.is_running:
            return
        is_due = self.clock.seconds() >= self._requested_at + POLL_SECONDS
        if not self._reaches_store:
            self.clock.callLater(READ_SECONDS, self._begin_poll)
        elif is_due or self.world.engines != self._known:
            self._apply()
            self.clock.callLater(READ_SECONDS, self._begin_poll)
        else:
            self.clock.callLater(CHECK_SECONDS, self._poll)

    @property
    def _reaches_store(self) -> bool:
        return self.follows_store and self.world.is_store_up

    def _apply(self) -> None:
        if not self._reaches_store:
            return
        self._known = dict(self.world.engines)
        self.pool.replace(self._known.values())
        self.versions.confirmed(self._requested_at, self.clock.seconds())

    def confirm_list(self) -> "Deferred[None]":
        """Read the list once; an unreachable store never responds."""
        confirmed: Deferred[None] = Deferred()
        requested_at = self.clock.seconds()

        def respond() -> None:
            if self.world.engines == self._known:
                self.versions.confirmed(requested_at, self.clock.seconds())
            confirmed.callback(None)

        if self._reaches_store:
            self.world.store_reads += 1
            self.clock.callLater(STORE_SECONDS, respond)
        return confirmed

    def call(self, id: str, after: int = 0, first_attempt: str = "") -> "Stream":
        return Stream(self, id, after, first_attempt)


class Stream:
    """One attempt of a caller at a daemon."""

    def __init__(self, daemon: Daemon, id: str, after: int, first_attempt: str) -> None:
        self.reply = Reply()
        self.events = after
        self._sender = Sender()
        call = OpaqueCall(
            id,
            RequestHead(b"POST", b"/x", []),
            b"body",
            arrived=daemon.clock.seconds(),
            wait_seconds=3.0,
            program="p",
            last_event_id=str(after).encode() if after else None,
            first_attempt=first_attempt,
        )
        services = CallServices(
            clock=daemon.clock,
            pool=daemon.pool,
            sender=self._sender,
            dialect=Dialect(),
            admission=OpenAdmission(),
            waits=RouteResponseTimes(OverduePolicy()),
            origins=daemon.origins,
        )
        CallLifecycle(services, call, ROUTE, SERVICE, self.reply).start()

    @property
    def sent(self):
        return self._sender.sent

    @property
    def version(self) -> str:
        """The version of the engine that has the call; empty if none has."""
        return self.sent[-1].engine.version if self.sent else ""

    def send_events(self, count: int = 1) -> None:
        """Let the engine send events."""
        engine_run = self.sent[-1]
        if self.reply.head is None:
            engine_run.begin()
        for _ in range(count):
            self.events += 1
            engine_run.listener.data_received(event(self.events))

    def break_engine(self) -> None:
        self.sent[-1].listener.failed(ResponseFailure.RESET)


class OriginWorld:
    """Some daemons, a list of engines, and faults."""

    def __init__(self, daemons: int = 12, **versions: str) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        codec = account_codec(STREAM_ORIGIN_MESSAGES)
        self.fabric = MemoryFabric(self.clock, Random(1), encode=True, codec=codec)
        self.engines: dict[str, Engine] = {}
        self.is_store_up = True
        self.store_reads = 0
        """Reads beside the long polls."""
        for id, version in versions.items():
            self.add_engine(id, version)
        self.members = tuple(f"d{number:02}" for number in range(daemons))
        self.daemons = {name: Daemon(self, name, 1) for name in self.members}

    def add_engine(self, id: str, version: str, started_ms: int | None = None) -> None:
        self.engines[id] = Engine(
            id,
            SERVICE,
            "10.0.0.1",
            80,
            "z",
            4,
            version=version,
            started_ms=started_ms,
        )

    def run(self, seconds: float) -> None:
        run_for(self.clock, seconds)

    def daemon(self, number: int) -> Daemon:
        return self.daemons[self.members[number]]

    def kill(self, daemon: Daemon) -> None:
        daemon.is_running = False
        self.fabric.crash(DaemonName(daemon.name))

    def freeze(self, daemon: Daemon) -> None:
        self.fabric.pause(DaemonName(daemon.name))

    def replace(self, daemon: Daemon) -> None:
        """Start a new process in place of a daemon's."""
        daemon.is_running = False
        self.daemons[daemon.name] = Daemon(self, daemon.name, 2)

    def messages(self) -> int:
        kinds = {kind.__name__ for kind in STREAM_ORIGIN_MESSAGES}
        return sum(
            traffic.messages
            for (_, kind), traffic in self.fabric.traffic.items()
            if kind in kinds
        )
