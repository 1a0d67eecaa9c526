"""Some daemons that keep accounts, on one virtual clock with one log service."""

from random import Random

from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from emulator.services.partitioned_log import PartitionedLog
from notcharch.accounts.messages import account_codec
from notcharch.accounts.service import (
    GROUP,
    TOPIC,
    AccountSettings,
    AccountsService,
)
from notcharch.calls.interface import OpaqueCall, Refusal, Route, ServiceShare
from notcharch.http.messages import RequestHead
from notcharch.journal.owner_names import parse_owner_name
from notcharch.journal.partitioning import partitioning_for_topics
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.settings.mechanisms import ALL_MECHANISMS, Mechanism
from notcharch.tenants.interface import Tenant
from notcharch.tenants.partition_limits import Tolerance
from notcharch.values.identifiers import DaemonName, Incarnation, Member, ZoneName
from tests.unit.accounts.log_of_one import LogOfOne

LOGS = tuple((f"accounts-{topic}", part) for topic in (0, 1) for part in (0, 1))
"""The partitions of accounts: two topics of two."""
TOPICS, PARTITIONS = 2, 2
RETENTION_SECONDS = 300.0
STEP_SECONDS = 0.02
EVENT_TOKENS = 10
TOLERANCE = Tolerance(window_seconds=5.0, over_share=0.1, calls=20.0)


def route(*, stores_turns: bool = False) -> Route:
    return Route(
        name="r",
        host="h",
        path_prefix="/p/",
        shares=(ServiceShare("s", 1.0),),
        is_repeatable=False,
        is_stream=True,
        stores_turns=stores_turns,
    )


class Listener:
    """What a caller's side hears of one call."""

    def __init__(self) -> None:
        self.ticket = None
        self.body = None
        self.refusal: Refusal | None = None
        self.is_durable = False
        self.awaits_admission = True
        self.is_caller_waiting = True

    @property
    def is_decided(self) -> bool:
        return self.ticket is not None or self.refusal is not None

    def admitted(self, ticket, body) -> None:
        self.ticket = ticket
        self.body = body

    def refused(self, refusal) -> None:
        self.refusal = refusal

    def durable(self) -> None:
        self.is_durable = True

    def not_durable(self) -> None:
        raise AssertionError("nobody says so here")


class World:
    """Daemons that start, crash and come back."""

    def __init__(
        self,
        daemons: int = 3,
        seed: int = 1,
        mechanisms: frozenset[Mechanism] = ALL_MECHANISMS,
        regions: tuple[str, ...] = (),
    ) -> None:
        """Daemons take turns in the regions, if there are any."""
        self.mechanisms = mechanisms
        self.regions = regions
        self.asked: list[Listener] = []
        self.tenants: dict[str, Tenant] = {}
        """The tenants of the table in force, at all daemons."""
        self.clock = Clock()
        self.random = Random(seed)
        self.log = PartitionedLog(self.clock, self.random, PARTITIONS)
        self.partitioning = partitioning_for_topics(TOPIC, TOPICS, PARTITIONS)
        self.fabric = MemoryFabric(
            self.clock, Random(seed), encode=True, codec=account_codec()
        )
        self.names = [DaemonName(f"d{number}") for number in range(daemons)]
        self.services: dict[DaemonName, AccountsService] = {}
        self.suspicions = {name: SharedSuspicions() for name in self.names}
        self.logs = {name: LogOfOne(self.log, self.clock) for name in self.names}
        self.incarnations = dict.fromkeys(self.names, 0)
        self._calls = 0
        for name in self.names:
            self.start(name)
        self.run(1.0)

    @property
    def partitions(self):
        """Give the log's partitions of accounts."""
        return [self.log.partition(topic, part) for topic, part in LOGS]

    def start(self, name: DaemonName) -> None:
        self.incarnations[name] += 1
        member = Member(name, Incarnation(self.incarnations[name]))
        daemon = self.fabric.join(member, ZoneName("z"))
        service = AccountsService(
            AccountSettings(
                f"{name}:1",
                PARTITIONS,
                1.0,
                RETENTION_SECONDS,
                topics=TOPICS,
                tolerance=TOLERANCE,
                mechanisms=self.mechanisms,
                region=self.region_of(name),
                regions=self.regions,
            ),
            self.logs[name],
            daemon.clock,
            daemon.network,
            Random(self.incarnations[name]),
            suspicions=self.suspicions[name],
            tenant=self.tenants.get,
            wall=lambda: self.clock.seconds() + 1e9,
        )
        self.services[name] = service
        service.start()

    def region_of(self, name: DaemonName) -> str:
        """Give where a daemon is."""
        place = self.names.index(name)
        return self.regions[place % len(self.regions)] if self.regions else ""

    def refuse(self, name: DaemonName, *, is_refused: bool = True) -> None:
        """Let the log service turn a daemon away."""
        self.logs[name].is_refused = is_refused

    def owner(self, program: str) -> DaemonName:
        """Give the daemon that the group deals a program's partition to."""
        place = self.partitioning.log_partition(self.partitioning.of_program(program))
        owners = self.log.groups.owners(GROUP)
        member = next(row.member for row in owners if row.partition == place)
        return parse_owner_name(member).daemon

    def limiter(self, tenant: str) -> DaemonName:
        """Give the daemon that the group deals the count of a tenant's calls to."""
        place = self.partitioning.log_partition(self.partitioning.of_tenant(tenant))
        owners = self.log.groups.owners(GROUP)
        member = next(row.member for row in owners if row.partition == place)
        return parse_owner_name(member).daemon

    def program_of(self, name: DaemonName) -> str:
        """Give a program whose partition a daemon owns."""
        names = (f"p{number}" for number in range(100))
        return next(program for program in names if self.owner(program) == name)

    def crash(self, name: DaemonName, *, silent: bool = False) -> None:
        self.fabric.crash(name, silent=silent)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)

    def call(
        self,
        program: str = "p",
        *,
        budget: int | None = 1000,
        most: int = 100,
        previous: str = "",
        body: bytes = b"in",
        wait_seconds: float = 3.0,
        tenant: str = "",
        regions: frozenset[str] | None = None,
    ) -> OpaqueCall:
        self._calls += 1
        return OpaqueCall(
            id=f"c{self._calls}",
            head=RequestHead(b"POST", b"/p/", []),
            body=body,
            arrived=self.clock.seconds(),
            wait_seconds=wait_seconds,
            program=program,
            max_tokens=most,
            budget_tokens=budget,
            tokens_per_event=EVENT_TOKENS,
            previous_turn=previous,
            tenant=self.tenants.get(tenant),
            regions=regions,
        )

    def ask(
        self, call: OpaqueCall, at: int = 0, *, stores_turns: bool = False
    ) -> Listener:
        """Ask for admission at a daemon; the answer comes as time passes."""
        listener = Listener()
        self.asked.append(listener)
        admission = self.services[self.names[at]].admission
        admission.request(call, route(stores_turns=stores_turns), listener)
        return listener

    def decided(
        self, call: OpaqueCall, at: int = 0, *, stores_turns: bool = False
    ) -> Listener:
        """Ask, and let time pass until there is an answer."""
        listener = self.ask(call, at, stores_turns=stores_turns)
        for _ in range(400):
            if listener.is_decided:
                break
            self.run(STEP_SECONDS)
        return listener

    def kept(self, call: OpaqueCall, output: bytes, at: int = 0) -> Listener:
        """Run a kept turn to its end."""
        listener = self.decided(call, at, stores_turns=True)
        assert listener.ticket is not None, listener.refusal
        listener.ticket.completed(output, output.count(b"\n\n"), listener)
        for _ in range(300):
            if listener.is_durable:
                break
            self.run(STEP_SECONDS)
        return listener
