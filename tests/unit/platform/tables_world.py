"""A daemon's tables that follow a store in memory."""

from random import Random

import msgspec
from twisted.internet.task import Clock

from emulator.services.partitioned_log import PartitionedLog
from notcharch.calls.engines import EnginePool
from notcharch.journal.keyed_follower import join_keyed
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.platform.tables import (
    CONFIGURATION_TOPIC,
    ENGINES_TOPIC,
    PlatformTables,
    long_poll_seconds,
)
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.software_versions import SoftwareVersions
from notcharch.tenants.freshness import TableFreshness

SERVICE = "s"
CONTACT_SECONDS = 5.0


class Ingress:
    """Receives the routes of a table."""

    router = None


class KnownTable:
    """Has the routes of a table received from a peer."""

    router = object()


class Sender:
    """Records the engines that are forgotten."""

    def __init__(self) -> None:
        self.forgotten: list[str] = []

    def close_idle(self, engine_id: str) -> None:
        self.forgotten.append(engine_id)


class World:
    """A daemon's tables following a store with three engines."""

    def __init__(
        self,
        freshness: TableFreshness | None = None,
        daemons: int = 1,
        *,
        other: "World | None" = None,
        service=None,
    ) -> None:
        """With `other`, follow the store of another daemon, read through `service`."""
        self.clock = Clock() if other is None else other.clock
        self.log = (
            PartitionedLog(self.clock, Random(1), 1) if other is None else other.log
        )
        self.versions = SoftwareVersions(long_poll_seconds(CONTACT_SECONDS))
        self.pool = EnginePool(
            self.clock, Nearness("z"), Random(1), versions=self.versions
        )
        self.sender = Sender()
        for name in "abc" if other is None else "":
            self.write(name)
        self.tables = PlatformTables(
            service or self.log,
            self.clock,
            Random(1),
            Ingress(),
            self.pool,
            sender=self.sender,
            contact_seconds=CONTACT_SECONDS,
            recovery=RecoverySignal(self.clock),
            freshness=freshness or TableFreshness(None),
            revoke_seconds=5.0 if freshness else None,
            daemons=lambda: daemons,
        )
        self.tables.start()
        self.run(1.0)

    def run(self, seconds: float) -> None:
        self.clock.pump([0.01] * round(seconds / 0.01))

    @property
    def needs_records(self) -> bool:
        return self.versions.needs_records(SERVICE, self.clock.seconds())

    def write(self, name: str, state: str = "ready", **fields: int | str) -> None:
        entry = {"service": SERVICE, "address": "10.0.0.1:80", "state": state}
        entry["version"] = "v1"
        entry |= fields
        self.write_value(name, msgspec.json.encode(entry))

    def put_operator_key(self, key: str, value: bytes) -> None:
        self.log.put(CONFIGURATION_TOPIC, 0, join_keyed(key, value))

    @property
    def drained(self) -> set[str]:
        return set(self.tables.drained_zones.zones)

    def expire(self, name: str) -> None:
        self.write_value(name, b"")

    def write_value(self, name: str, value: bytes) -> None:
        self.write_record(join_keyed(name, value))

    def write_record(self, record: bytes) -> None:
        self.log.put(ENGINES_TOPIC, 0, record)

    def takes_calls(self, name: str) -> bool:
        others = {"a", "b", "c"} - {name}
        chosen = self.pool.choose(SERVICE, "", others)
        return chosen is not None and chosen.id == name
