"""Daemons on a virtual clock before engines that end under some requests."""

import itertools
from random import Random

import attrs
from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from emulator.peers.time import run_for
from notcharch.accounts.messages import account_codec
from notcharch.calls.call_lifecycle import CallLifecycle
from notcharch.calls.call_services import CallServices
from notcharch.calls.engine_sender import EngineSender
from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import OpaqueCall, Route, ServiceShare
from notcharch.calls.open_admission import OpenAdmission
from notcharch.http.messages import RequestHead
from notcharch.platform.headers import PlatformDialect
from notcharch.quarantine.counters import COUNTERS
from notcharch.quarantine.examination import EngineExamination
from notcharch.quarantine.identity import identity_of
from notcharch.quarantine.messages import QUARANTINE_MESSAGES
from notcharch.quarantine.service import QuarantineService
from notcharch.scheduling.first_response_times import OverduePolicy, RouteResponseTimes
from notcharch.scheduling.holder_ring import HolderRing
from notcharch.scheduling.nearness import Nearness
from notcharch.tenants.interface import Tenant
from notcharch.values.identifiers import DaemonName, Incarnation, Member, ZoneName
from tests.unit.calls.world import SERVICE, Reply
from tests.unit.quarantine.engines import DaemonReactor, MortalNetwork

LIST_SECONDS = 0.4
"""Between two reads of the list of engines."""
RETRY_SECONDS = 0.15
"""Between two tries of a caller."""
WAIT_SECONDS = 3.0
SERVED = ("finished", "whole")


def route(
    name: str = "r", *, is_repeatable: bool = False, max_engines: int = 1, **changes
) -> Route:
    return Route(
        name,
        "h",
        "/",
        (ServiceShare(SERVICE, 1.0),),
        is_repeatable=is_repeatable,
        max_engines=max_engines,
        timeout_seconds=WAIT_SECONDS,
        **changes,
    )


PLAIN = route()
REPEATABLE = route(is_repeatable=True, max_engines=3)
STREAM = route(is_stream=True)
RESUMABLE = route(is_stream=True, is_resumable=True, max_engines=2)


@attrs.define
class Request:
    """What a caller sends in each of its tries."""

    body: bytes
    route: Route = PLAIN
    method: bytes = b"POST"
    path: bytes = b"/x"
    host: bytes = b"h"
    tenant: str = ""
    previous_turn: str = ""

    def call(self, id: str, after: int = 0, arrived: float = 0.0) -> OpaqueCall:
        """Return one try of the request."""
        head = RequestHead(
            self.method,
            self.target,
            [(b"Host", self.host), (b"X-Notcharch-Request-Id", id.encode())],
        )
        return OpaqueCall(
            id,
            head,
            self.body,
            arrived=arrived,
            wait_seconds=WAIT_SECONDS,
            last_event_id=str(after).encode() if after else None,
            previous_turn=self.previous_turn,
            tenant=Tenant(self.tenant) if self.tenant else None,
        )

    @property
    def target(self) -> bytes:
        return b"/stream" + self.path if self.route.is_stream else self.path


class Daemon:
    """One process of a daemon."""

    def __init__(self, world: "World", name: str, incarnation: int) -> None:
        self.world = world
        self.name = name
        member = Member(DaemonName(name), Incarnation(incarnation))
        joined = world.fabric.join(member, ZoneName("z"))
        self.clock = joined.clock
        self.is_running = True
        self.is_frozen = False
        self.reactor = DaemonReactor(self.clock, world.network)
        self.pool = EnginePool(self.clock, Nearness("z"), Random(incarnation))
        self.sender = EngineSender(self.reactor, "")
        dialect = PlatformDialect()
        self.quarantine = QuarantineService(
            self.clock,
            joined.network,
            self.pool,
            EngineExamination(
                self.clock,
                self.sender,
                dialect,
                health_path=lambda _: world.health_path,
            ),
            Random(incarnation),
            members=lambda: world.members,
        )
        self.quarantine.start()
        self.services = CallServices(
            clock=self.clock,
            pool=self.pool,
            sender=self.sender,
            dialect=dialect,
            admission=OpenAdmission(),
            waits=RouteResponseTimes(OverduePolicy()),
            quarantine=self.quarantine,
        )
        self._read_list()

    def _read_list(self) -> None:
        if self.is_running:
            self.pool.replace(self.world.network.entries())
            self.clock.callLater(LIST_SECONDS, self._read_list)

    def send(self, request: Request, after: int = 0) -> "Try":
        return Try(self, request, after)


class Try:
    """One try of a caller at a daemon."""

    def __init__(self, daemon: Daemon, request: Request, after: int) -> None:
        self.reply = Reply()
        self.daemon = daemon
        id = f"t{next(daemon.world.numbers)}"
        call = self.call = request.call(id, after, daemon.clock.seconds())
        CallLifecycle(daemon.services, call, request.route, SERVICE, self.reply).start()

    @property
    def is_over(self) -> bool:
        return bool(self.reply.end) or not self.daemon.is_running

    @property
    def is_served(self) -> bool:
        return self.reply.end in SERVED

    @property
    def status(self) -> int:
        refusal = self.reply.refusal
        return 0 if refusal is None else refusal.status


class World:
    """Some daemons, engines that restart, and callers that try again."""

    def __init__(self, daemons: int = 5, engines: int = 6, seed: int = 1) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.random = Random(seed)
        self.numbers = itertools.count(1)
        self.health_path = "/health"
        self.network = MortalNetwork(self.clock, engines)
        codec = account_codec(QUARANTINE_MESSAGES)
        self.fabric = MemoryFabric(self.clock, Random(seed), encode=True, codec=codec)
        self.members = tuple(f"d{number:02}" for number in range(daemons))
        self.daemons = {name: Daemon(self, name, 1) for name in self.members}
        self.run(0.1)

    def run(self, seconds: float) -> None:
        run_for(self.clock, seconds)

    def daemon(self, number: int) -> Daemon:
        return self.daemons[self.members[number]]

    def kill(self, daemon: Daemon) -> None:
        """End a process; the connections to its callers and engines end with it."""
        daemon.is_running = False
        self.fabric.crash(DaemonName(daemon.name))
        for connection in daemon.reactor.connections:
            connection.is_aborted = True

    def replace(self, daemon: Daemon) -> Daemon:
        """Start a new process in place of a daemon's."""
        self.kill(daemon)
        new = self.daemons[daemon.name] = Daemon(self, daemon.name, 2)
        return new

    def freeze(self, daemon: Daemon) -> None:
        daemon.is_frozen = True
        self.fabric.pause(DaemonName(daemon.name))

    def wake(self, daemon: Daemon) -> None:
        daemon.is_frozen = False
        self.fabric.resume(DaemonName(daemon.name))

    def cut(self, daemon: Daemon) -> None:
        """Cut a daemon off from all others; it reaches engines and callers."""
        others = [DaemonName(name) for name in self.members if name != daemon.name]
        self.fabric.cut([DaemonName(daemon.name)], others)

    def counters(self, request: Request) -> list[Daemon]:
        """Return the daemons that count the ends under a request."""
        ring = HolderRing(self.members)
        names = ring.after(identity_of(request.call("")), COUNTERS)
        return [self.daemons[name] for name in names]

    def bystander(self, request: Request) -> Daemon:
        """Return a running daemon that is no counter of a request."""
        counters = self.counters(request)
        return next(
            daemon
            for daemon in self.daemons.values()
            if daemon.is_running and daemon not in counters
        )

    def messages(self) -> int:
        """Return the number of this package's messages that were sent."""
        kinds = {kind.__name__ for kind in QUARANTINE_MESSAGES}
        return sum(
            traffic.messages
            for (_, kind), traffic in self.fabric.traffic.items()
            if kind in kinds
        )

    def any_daemon(self) -> Daemon:
        running = [daemon for daemon in self.daemons.values() if daemon.is_running]
        return self.random.choice(running)

    def finish(self, attempt: Try) -> Try:
        """Run until a try is over; `WAIT_SECONDS` bounds it."""
        for _ in range(int((WAIT_SECONDS + 1.0) / 0.01)):
            if attempt.is_over:
                break
            self.run(0.01)
        return attempt

    def ask(self, request: Request, tries: int = 8) -> list[Try]:
        """Send a request up to `tries` times, each at another daemon, until it is served."""
        made: list[Try] = []
        for _ in range(tries):
            made.append(self.finish(self.any_daemon().send(request)))
            if made[-1].is_served:
                break
            self.run(RETRY_SECONDS)
        return made
