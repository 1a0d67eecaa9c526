"""The components of a daemon on the platform, created for one name and one address."""

from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from notcharch.accounts.admission import max_body_bytes
from notcharch.accounts.service import AccountSettings, AccountsService
from notcharch.calls.call_services import CallServices
from notcharch.calls.caller_check import CallerCheck
from notcharch.calls.eligibility import EngineEligibility
from notcharch.calls.engine_sender import EngineSender
from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import LoadExchange, NoLoadExchange
from notcharch.calls.planned_stop import PlannedStop
from notcharch.calls.policies import call_urgency, cold_policy, pool_policy, wait_policy
from notcharch.engine_load.exchange import EngineLoadExchange
from notcharch.http.buffered_bytes import BufferedBytes, total_limit
from notcharch.http.exchange import Uploads
from notcharch.http.metrics import BUFFERED_BYTES
from notcharch.http.peer_buffers import PeerBuffers
from notcharch.http.server import ServerFactory
from notcharch.journal.known_daemons import KnownDaemons
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.journal.store_outage import StoreOutage
from notcharch.platform.headers import PlatformDialect
from notcharch.platform.ingress import Ingress
from notcharch.platform.planned_stop import ProcessStop
from notcharch.platform.process_memory import ProcessMemory
from notcharch.platform.settings import ProcessSettings
from notcharch.platform.store import PlatformStore
from notcharch.platform.tables import PlatformTables, long_poll_seconds
from notcharch.quarantine.examination import EngineExamination
from notcharch.quarantine.service import QuarantineService
from notcharch.scheduling.first_response_times import RouteResponseTimes
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.shared_suspicions import SharedSuspicions
from notcharch.scheduling.software_versions import SoftwareVersions
from notcharch.settings.mechanisms import Mechanism
from notcharch.stream_origins.exchange import StreamOriginExchange
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.freshness_exchange import TableFreshnessExchange
from notcharch.tenants.interface import Tenant
from notcharch.wire.connections import TcpPeerNetwork

MIN_FRESHNESS_SECONDS = 0.6
"""A daemon whose freshness confirmation expires sooner than this is not ready.

Peers have failed to renew it several times by then. The platform probes readiness
once a second.
"""


def _outage(
    settings: ProcessSettings, mechanisms: frozenset[Mechanism]
) -> StoreOutage | None:
    """Return the state of the store's outages, where calls are refused in them.

    Retries that wait in an outage need the recovery signal.
    """
    needed = {Mechanism.OUTAGE_REFUSALS, Mechanism.RECOVERY_SIGNAL}
    if not settings.has_competing_callers or not needed <= mechanisms:
        return None
    return StoreOutage()


class Surroundings(msgspec.Struct, frozen=True):
    """What the components are created with."""

    settings: ProcessSettings
    mechanisms: frozenset[Mechanism]
    reactor: Any
    random: Random
    store: PlatformStore
    network: TcpPeerNetwork
    """The peers; its port is open."""
    peers_address: str
    """`host:port` at which peers reach this process."""
    memory: ProcessMemory


class Components:
    """Everything of a daemon behind its callers' port."""

    def __init__(self, around: Surroundings) -> None:
        """Create the components; `start` begins communication."""
        self._reactor = reactor = around.reactor
        self._mechanisms = mechanisms = around.mechanisms
        self.network = around.network
        settings, random, memory = around.settings, around.random, around.memory
        suspicions = SharedSuspicions(
            is_shared=Mechanism.SHARED_SUSPICIONS in mechanisms
        )
        recovery = RecoverySignal(reactor, _outage(settings, mechanisms))
        self.accounts = AccountsService(
            AccountSettings(
                address=around.peers_address,
                partitions=settings.store.partitions,
                min_lease_seconds=settings.store.min_lease_seconds,
                retention_seconds=settings.store.retention_seconds,
                partition_bytes=settings.store.partition_bytes,
                absence_seconds=settings.recovery_seconds,
                mechanisms=mechanisms,
                tolerance=settings.tolerance,
                max_body_bytes=max_body_bytes(
                    total_limit(settings.memory_bytes), settings.store.partition_bytes
                ),
                region=settings.regions.get(settings.zone, ""),
                regions=tuple(sorted(set(settings.regions.values()))),
                has_competing_callers=settings.has_competing_callers,
            ),
            around.store,
            reactor,
            self.network,
            random,
            suspicions=suspicions,
            recovery=recovery,
            tenant=self._tenant,
            memory=memory.accounts,
        )
        known_daemons = KnownDaemons(
            self.network.own_member.daemon, self.accounts.directory
        )
        versions = SoftwareVersions(long_poll_seconds(settings.contact_seconds))
        self.origins = StreamOriginExchange(
            reactor,
            self.network,
            versions,
            members=known_daemons.members,
            route_age=lambda route: self.ingress.route_age(route, reactor.seconds()),
            confirm_list=self._confirm_engines,
            max_bytes=memory.max_origin_bytes,
        )
        pool = EnginePool(
            reactor,
            Nearness(settings.zone, settings.regions),
            random,
            pool_policy(mechanisms, settings.drain_seconds, settings.heartbeat_seconds),
            suspicions,
            eligibility=EngineEligibility(
                settings.regions,
                cold_policy(mechanisms, settings.cold_tolerance),
                known_daemons,
            ),
            versions=versions,
        )
        pool.on_restart = self.origins.engine_restarted
        self.loads = self._load_exchange(pool, known_daemons, random)
        pool.use_exchange(self.loads)
        buffers = PeerBuffers(total_limit(settings.memory_bytes))
        BUFFERED_BYTES.set_function(lambda: buffers.total)
        sender = EngineSender(reactor, settings.host, buffers)
        sender.on_idle_close = pool.may_have_restarted
        self._freshness = TableFreshness(settings.revoke_seconds)
        self._check = CallerCheck(reactor, self._freshness)
        dialect = PlatformDialect()
        self._quarantine = QuarantineService(
            reactor,
            self.network,
            pool,
            EngineExamination(
                reactor,
                sender,
                dialect,
                health_path=self._health_path,
            ),
            random,
            members=known_daemons.members,
            max_records=memory.max_quarantine_records,
        )
        planned_stop = PlannedStop(reactor)
        answers = BufferedBytes(total_limit(settings.memory_bytes))
        self.ingress = Ingress(
            CallServices(
                clock=reactor,
                pool=pool,
                sender=sender,
                dialect=dialect,
                admission=self.accounts.admission,
                waits=RouteResponseTimes(wait_policy(mechanisms)),
                urgency=call_urgency(mechanisms),
                answers=answers,
                held=memory.calls,
                origins=self.origins,
                quarantine=self._quarantine,
                stop=planned_stop,
            ),
            self._check,
        )
        self.factory = ServerFactory(
            self.ingress,
            reactor,
            buffers,
            memory.connections,
            Uploads(memory.request_room(reactor), self.ingress),
        )
        self.stop = ProcessStop(
            reactor, settings.machine, planned_stop, self.ingress, self.factory
        )
        memory.also_measure("callers and engines", lambda: buffers.total)
        memory.also_measure("engines' answers", lambda: answers.total)
        memory.also_measure("idle engines", lambda: sender.idle_bytes)
        memory.also_measure("origins", lambda: self.origins.held_bytes)
        memory.also_measure("quarantine", lambda: self._quarantine.held_bytes)
        self.tables = PlatformTables(
            around.store,
            reactor,
            random,
            self.ingress,
            pool,
            sender=sender,
            contact_seconds=settings.contact_seconds,
            recovery=recovery,
            freshness=self._freshness,
            revoke_seconds=settings.revoke_seconds,
            daemons=lambda: len(self.accounts.directory.peers()),
            use_regions=self.accounts.use_regions,
        )
        self._freshness_exchange = TableFreshnessExchange(
            reactor,
            random,
            self.network,
            self._freshness,
            peers=self.accounts.directory.peers,
            request_at_age=self.tables.confirmation_age_seconds,
            table=lambda: self.tables.raw_table,
            activate_table=self.tables.apply_table,
            drained=lambda: self.tables.drained_zones,
            apply_drained=self.tables.apply_peer_drained_zones,
        )

    @property
    def can_serve(self) -> bool:
        """Whether the tables are loaded and fresh."""
        return self.tables.are_loaded and self.ingress.can_verify_keys(
            MIN_FRESHNESS_SECONDS
        )

    def start(self) -> None:
        """Join the group of owners and follow the store."""
        self.accounts.start()
        self.tables.start()
        self.origins.start()
        self._quarantine.start()
        if isinstance(self.loads, EngineLoadExchange):
            self.loads.start()
        if Mechanism.TABLE_VOUCHING in self._mechanisms:
            self._freshness_exchange.start()

    def report_changes(self) -> None:
        """Log whether callers' keys can be verified, if that changed."""
        self._check.report_change(self.ingress.can_verify_keys())

    def _load_exchange(
        self, pool: EnginePool, known_daemons: KnownDaemons, random: Random
    ) -> LoadExchange:
        if Mechanism.SHARED_LOAD not in self._mechanisms:
            return NoLoadExchange()
        return EngineLoadExchange(
            self._reactor,
            random,
            self.network,
            pool,
            members=known_daemons.members,
            engines=lambda: self.tables.engine_services,
        )

    def _confirm_engines(self) -> "Deferred[None]":
        return self.tables.confirm_engines()

    def _health_path(self, service: str) -> str:
        return self.ingress.health_path(service)

    def _tenant(self, name: str) -> Tenant | None:
        return self.ingress.tenant(name)
