"""Daemons that own accounts, with a virtual clock and one shared log service."""

import math
from random import Random

from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from emulator.services.partitioned_log import PartitionedLog
from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.admission import MAX_BODY_BYTES
from notcharch.accounts.messages import account_codec
from notcharch.accounts.service import (
    GROUP,
    TOPIC,
    AccountSettings,
    AccountsService,
)
from notcharch.calls.interface import OpaqueCall, Refusal, Route, ServiceShare
from notcharch.http.messages import RequestHead
from notcharch.journal.interface import LogLimits
from notcharch.journal.owner_names import parse_owner_name
from notcharch.journal.partitioning import partitioning_for_topics
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.journal.store_outage import StoreOutage
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.settings.mechanisms import ALL_MECHANISMS, Mechanism
from notcharch.tenants.interface import Tenant
from notcharch.tenants.partition_limits import Tolerance
from notcharch.values.identifiers import DaemonName, Incarnation, Member, ZoneName
from tests.unit.accounts.older_gateways import OlderGateway
from tests.unit.accounts.refusable_log import RefusableLog

LOGS = tuple((f"accounts-{topic}", part) for topic in (0, 1) for part in (0, 1))
"""The partitions of accounts: two topics with two partitions each."""
TOPICS, PARTITIONS = 2, 2
RETENTION_SECONDS = 300.0
STEP_SECONDS = 0.02
EVENT_TOKENS = 10
TOLERANCE = Tolerance(window_seconds=5.0, over_share=0.1, calls=20.0)


def route(*, stores_turns: bool = False, retention_seconds: float = 60.0) -> Route:
    return Route(
        name="r",
        host="h",
        path_prefix="/p/",
        shares=(ServiceShare("s", 1.0),),
        is_repeatable=False,
        is_stream=True,
        stores_turns=stores_turns,
        retention_seconds=retention_seconds,
    )


class Listener:
    """Records the admission and the completion of one call."""

    def __init__(self, *, may_be_given_up: bool = False) -> None:
        """Fail if the turn can't be stored, unless it `may_be_given_up`."""
        self._may_be_given_up = may_be_given_up
        self.ticket = None
        self.body = None
        self.refusal: Refusal | None = None
        self.is_durable = False
        self.memory_bytes = math.inf
        """Bytes of turns that the call may hold."""
        self.reserved = 0
        self.is_given_up = False
        """Whether the completion was reported as not durable."""
        self.awaits_admission = True
        self.is_caller_waiting = True

    @property
    def is_decided(self) -> bool:
        return self.ticket is not None or self.refusal is not None

    def admitted(self, ticket, body) -> None:
        self.ticket = ticket
        self.body = body

    def relayed(self, events: int) -> int:
        """Return how many of an engine's events the grant of the admission covers."""
        granted = self.ticket.granted_events
        return events if granted is None else min(events, granted)

    def refused(self, refusal) -> None:
        self.refusal = refusal

    def reserve_memory(self, size) -> bool:
        self.reserved += size
        return self.reserved <= self.memory_bytes

    def durable(self) -> None:
        self.is_durable = True

    def not_durable(self) -> None:
        self.is_given_up = True
        if not self._may_be_given_up:
            raise AssertionError("unexpected notification")


class World:
    """Daemons that start, crash and restart."""

    def __init__(
        self,
        daemons: int = 3,
        seed: int = 1,
        mechanisms: frozenset[Mechanism] = ALL_MECHANISMS,
        regions: tuple[str, ...] = (),
        *,
        refuses_in_outages: bool = False,
        has_competing_callers: bool = False,
        log_limits: LogLimits | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
        memory=AccountMemory,
        log_retention: float = math.inf,
        partition_bytes: float = math.inf,
        is_older: bool = False,
    ) -> None:
        """Assign the daemons to the regions in turn, if there are any.

        `memory` returns what a daemon that starts may hold. The log drops records after
        `log_retention` seconds, of which the daemons are told; of 300 if it drops none.
        `is_older`: whether gateways gate no events, so that calls are granted as a whole.
        """
        self.is_older = is_older
        is_endless = math.isinf(log_retention)
        self.retention_seconds = RETENTION_SECONDS if is_endless else log_retention
        self.partition_bytes = partition_bytes
        self._new_memory = memory
        self.memories: dict[DaemonName, AccountMemory] = {}
        self.max_body_bytes = max_body_bytes
        self.refuses_in_outages = refuses_in_outages
        self.mechanisms = mechanisms
        self.has_competing_callers = has_competing_callers
        self.regions = regions
        self.listeners: list[Listener] = []
        self.log_may_refuse = False
        """Whether turns may be given up since the log refuses them for good."""
        self.tenants: dict[str, Tenant] = {}
        """The tenants of the table in force, at all daemons."""
        self.clock = Clock()
        self.random = Random(seed)
        limits = log_limits or LogLimits()
        self.log = PartitionedLog(
            self.clock, self.random, PARTITIONS, limits, log_retention
        )
        self.partitioning = partitioning_for_topics(TOPIC, TOPICS, PARTITIONS)
        self.fabric = MemoryFabric(
            self.clock, Random(seed), encode=True, codec=account_codec()
        )
        self.names = [DaemonName(f"d{number}") for number in range(daemons)]
        self.recoveries: dict[DaemonName, RecoverySignal] = {}
        self.services: dict[DaemonName, AccountsService] = {}
        self.suspicions = {name: SharedSuspicions() for name in self.names}
        self.logs = {name: RefusableLog(self.log, self.clock) for name in self.names}
        self.incarnations = dict.fromkeys(self.names, 0)
        self._calls = 0
        for name in self.names:
            self.start(name)
        self.run(1.0)

    @property
    def partitions(self):
        """The log's partitions of accounts."""
        return [self.log.partition(topic, part) for topic, part in LOGS]

    def drop_beyond(self, size: int) -> None:
        """Drop the oldest records of partitions that hold more bytes."""
        for partition in self.partitions:
            total = 0
            for place, record in reversed(list(enumerate(partition.records))):
                total += len(record)
                if total > size:
                    partition.drop_before(partition.first + place + 1)
                    break

    def start(self, name: DaemonName) -> None:
        self.incarnations[name] += 1
        member = Member(name, Incarnation(self.incarnations[name]))
        daemon = self.fabric.join(member, ZoneName("z"))
        self.memories[name] = self._new_memory()
        service = AccountsService(
            AccountSettings(
                f"{name}:1",
                PARTITIONS,
                1.0,
                self.retention_seconds,
                topics=TOPICS,
                partition_bytes=self.partition_bytes,
                tolerance=TOLERANCE,
                mechanisms=self.mechanisms,
                region=self.region_of(name),
                regions=self.regions,
                max_body_bytes=self.max_body_bytes,
                has_competing_callers=self.has_competing_callers,
            ),
            self.logs[name],
            daemon.clock,
            OlderGateway(daemon.network) if self.is_older else daemon.network,
            Random(self.incarnations[name]),
            suspicions=self.suspicions[name],
            recovery=self._recovery(name, daemon.clock),
            tenant=self.tenants.get,
            wall_clock=lambda: self.clock.seconds() + 1e9,
            memory=self.memories[name],
        )
        self.services[name] = service
        service.start()

    def _recovery(self, name, clock) -> RecoverySignal:
        outage = StoreOutage() if self.refuses_in_outages else None
        self.recoveries[name] = RecoverySignal(clock, outage)
        return self.recoveries[name]

    def region_of(self, name: DaemonName) -> str:
        """Return the region of a daemon."""
        position = self.names.index(name)
        return self.regions[position % len(self.regions)] if self.regions else ""

    def refuse(self, name: DaemonName, *, is_refused: bool = True) -> None:
        """Let the log service refuse the requests of a daemon."""
        self.logs[name].is_refused = is_refused

    def owner(self, program: str) -> DaemonName:
        """Return the daemon to which the group assigned a program's partition."""
        log_partition = self.partitioning.log_partition(
            self.partitioning.of_program(program)
        )
        owners = self.log.groups.owners(GROUP)
        member = next(row.member for row in owners if row.partition == log_partition)
        return parse_owner_name(member).daemon

    def limit_owner(self, tenant: str) -> DaemonName:
        """Return the daemon to which the group assigned a tenant's limit."""
        log_partition = self.partitioning.log_partition(
            self.partitioning.of_tenant(tenant)
        )
        owners = self.log.groups.owners(GROUP)
        member = next(row.member for row in owners if row.partition == log_partition)
        return parse_owner_name(member).daemon

    def reserved_tokens(self, program: str) -> int:
        """Return what the owner of a program's account has reserved for its calls."""
        group = self.services[self.owner(program)]._default_group
        number = self.partitioning.of_program(program)
        owned = group._owned_partitions._partitions.get(number)
        account = owned._ledger.program(program, self.clock.seconds())
        return sum(held.tokens for held in account.reserved.values())

    def program_of(self, name: DaemonName) -> str:
        """Return a program whose partition the daemon owns."""
        names = (f"p{number}" for number in range(100))
        return next(program for program in names if self.owner(program) == name)

    def crash(self, name: DaemonName, *, silent: bool = False) -> None:
        self.fabric.crash(name, silent=silent)

    def restart_all(self, gone_seconds: float = 0.0) -> None:
        """Crash all daemons at once, and start them again after some seconds."""
        for name in self.names:
            self.crash(name)
        self.run(gone_seconds)
        for name in self.names:
            self.start(name)
        self.run(3.0)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)

    def call(
        self,
        program: str = "p",
        *,
        budget: int | None = 1000,
        token_limit: int = 100,
        previous: str = "",
        body: bytes = b"in",
        wait_seconds: float = 3.0,
        tenant: str = "",
        regions: frozenset[str] | None = None,
        event_tokens: int = EVENT_TOKENS,
    ) -> OpaqueCall:
        self._calls += 1
        return OpaqueCall(
            id=f"c{self._calls}",
            head=RequestHead(b"POST", b"/p/", []),
            body=body,
            arrived=self.clock.seconds(),
            wait_seconds=wait_seconds,
            program=program,
            max_tokens=token_limit,
            budget_tokens=budget,
            tokens_per_event=event_tokens,
            previous_turn=previous,
            tenant=self.tenants.get(tenant),
            regions=regions,
        )

    def request_admission(
        self,
        call: OpaqueCall,
        at: int = 0,
        *,
        stores_turns: bool = False,
        retention_seconds: float = 60.0,
    ) -> Listener:
        """Request admission at a daemon; the decision arrives as the clock advances."""
        listener = Listener(may_be_given_up=self.log_may_refuse)
        self.listeners.append(listener)
        admission = self.services[self.names[at]].admission
        called = route(stores_turns=stores_turns, retention_seconds=retention_seconds)
        admission.request(call, called, listener)
        return listener

    def wait_for_decision(
        self,
        call: OpaqueCall,
        at: int = 0,
        *,
        stores_turns: bool = False,
        retention_seconds: float = 60.0,
    ) -> Listener:
        """Request admission, and advance the clock until it is decided."""
        listener = self.request_admission(
            call, at, stores_turns=stores_turns, retention_seconds=retention_seconds
        )
        for _ in range(400):
            if listener.is_decided:
                break
            self.run(STEP_SECONDS)
        return listener

    def store_turn(self, call: OpaqueCall, output: bytes, at: int = 0) -> Listener:
        """Run a call to its end, and advance the clock until its turn is durable."""
        listener = self.wait_for_decision(call, at, stores_turns=True)
        assert listener.ticket is not None, listener.refusal
        listener.ticket.completed(output, output.count(b"\n\n"), listener)
        for _ in range(300):
            if listener.is_durable or listener.is_given_up:
                break
            self.run(STEP_SECONDS)
        return listener
