"""Daemons that check keys while the log service refuses some of them."""

from random import Random

import msgspec
from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from emulator.services.partitioned_log import PartitionedLog
from notcharch.accounts.messages import account_codec
from notcharch.calls.eligibility import EngineEligibility
from notcharch.journal.keyed_follower import join_keyed
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.platform.tables import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    PlatformTables,
)
from notcharch.scheduling.software_versions import SoftwareVersions
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.freshness_exchange import TableFreshnessExchange
from notcharch.tenants.identity import identify
from notcharch.values.identifiers import DaemonName, Incarnation, Member, ZoneName
from tests.unit.accounts.refusable_log import RefusableLog

REVOKE_SECONDS = 5.0
CONTACT_SECONDS = 4.0
STEP_SECONDS = 0.05
KEYS = ("k0", "k1", "k2", "k3")
TENANT = "hule"


class Ingress:
    """Holds the active routes."""

    router = None


class NoEngines:
    """A pool without engines."""

    def __init__(self) -> None:
        self.eligibility = EngineEligibility()
        self.versions = SoftwareVersions()

    def drain_zones(self, newer):
        return self.eligibility.update_drains(newer, (), 0.0)

    def replace(self, engines):
        return []

    def forget(self, engine_id):
        pass


class DelayedResponses:
    """A log service whose responses wait in the socket of a suspended process."""

    def __init__(self, log, clock) -> None:
        self._log = log
        self._clock = clock

    def __getattr__(self, name):
        call = getattr(self._log, name)

        def called(*arguments):
            answered: Deferred = Deferred()

            def answer(outcome):
                self._clock.run_or_hold(lambda: answered.callback(outcome))

            call(*arguments).addCallback(answer)
            return answered

        return called


class Daemon:
    """The table, freshness and peer network of one process."""

    def __init__(self, world: "RevocationWorld", name: DaemonName, number: int) -> None:
        joined = world.fabric.join(Member(name, Incarnation(number)), ZoneName("z"))
        self.clock = joined.clock
        self.freshness = TableFreshness(REVOKE_SECONDS)
        self.ingress = Ingress()
        engines = NoEngines()
        self.tables = PlatformTables(
            DelayedResponses(world.logs[name], joined.clock),
            joined.clock,
            Random(number),
            self.ingress,
            engines,
            sender=engines,
            contact_seconds=CONTACT_SECONDS,
            recovery=RecoverySignal(joined.clock),
            freshness=self.freshness,
            revoke_seconds=REVOKE_SECONDS,
        )
        self.exchange = TableFreshnessExchange(
            joined.clock,
            Random(number),
            joined.network,
            self.freshness,
            peers=lambda: world.names,
            request_at_age=self.tables.confirmation_age_seconds,
            table=lambda: self.tables.raw_table,
            activate_table=self.tables.apply_table,
        )
        self.tables.start()
        self.exchange.start()

    def accepts(self, key: str) -> bool:
        """Check a key now, as for a request whose head was just read."""
        router = self.ingress.router
        if router is None or router.table.keys is None:
            return False
        is_fresh = self.freshness.is_fresh(self.clock.seconds())
        verdict = identify([key.encode()], router.table.keys, is_fresh=is_fresh)
        return isinstance(verdict, Ok)


class RevocationWorld:
    """Several daemons on a virtual clock, and an operator that is never refused."""

    def __init__(self, daemons: int = 3) -> None:
        self.clock = Clock()
        self.log = PartitionedLog(self.clock, Random(1), 1)
        self.fabric = MemoryFabric(
            self.clock, Random(1), encode=True, codec=account_codec()
        )
        self.names = [DaemonName(f"d{number}") for number in range(daemons)]
        self.logs = {name: RefusableLog(self.log, self.clock) for name in self.names}
        self.version = 0
        self.starts = 0
        self.daemons: dict[DaemonName, Daemon] = {}
        self.publish(KEYS)
        for name in self.names:
            self.start(name)
        self.run(2.0)

    def start(self, name: DaemonName) -> None:
        self.starts += 1
        self.daemons[name] = Daemon(self, name, self.starts)

    def crash(self, name: DaemonName, *, silent: bool = False) -> None:
        self.fabric.crash(name, silent=silent)

    def publish(self, keys) -> None:
        """Publish a table, which the log service acknowledges at once."""
        self.version += 1
        table = {
            "version": self.version,
            "routes": [],
            "services": [],
            "limits": {},
            "tenants": [{"name": TENANT, "api_keys": list(keys)}],
        }
        record = join_keyed(CONFIGURATION_KEY, msgspec.json.encode(table))
        self.log.put(CONFIGURATION_TOPIC, 0, record)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
