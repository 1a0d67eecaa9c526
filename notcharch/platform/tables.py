"""Follows the operator's configuration and the engines' entries in the store."""

from collections.abc import Callable
from random import Random

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.engine_sender import EngineSender
from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import Engine
from notcharch.calls.list_log import EngineListLog, report_drains
from notcharch.calls.routing import Router
from notcharch.events.event import emit
from notcharch.events.process import DependencyLost, TableInForce
from notcharch.journal.keyed_follower import KeyedFollower, PollTiming
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.platform.configuration import (
    drained_zones_of,
    engine_of,
    table_of,
)
from notcharch.platform.ingress import Ingress
from notcharch.platform.store import CALL_SECONDS, PlatformStore
from notcharch.scheduling.zone_drains import DrainedZones, ZoneDrains
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.proof_reads import (
    own_proof_seconds,
    quick_share,
    table_read_seconds,
)

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
ENGINES_TOPIC = "keyed.servers"
CONFIGURATION_PAUSE_SECONDS = 0.05
"""Between two reads of the table. Changes are seconds apart, so none waits for others."""
ENGINES_PAUSE_SECONDS = 0.4
"""Between two reads of the engines' entries, so that many changes come in one read."""
ENGINES_PAGE_PAUSE_SECONDS = 3.0
"""Between two pages of the engines' entries."""
LEAST_WAIT_SECONDS = 1.0
"""A read of changes is held for so long where the contact time is very short."""


def held_read_seconds(contact_seconds: float) -> float:
    """Give how long the store may hold a read of changes.

    A read that was lost on the way is noticed `CALL_SECONDS` after that. It must be
    over when the daemon counts as in contact again, `contact_seconds` after a
    disturbance: from then on changes have to be known within their bounds. Each daemon
    holds two reads at any time, so longer ones mean fewer calls to the store.
    """
    return max(LEAST_WAIT_SECONDS, contact_seconds - CALL_SECONDS)


class ReadEntry(msgspec.Struct, frozen=True):
    """An engine's entry as it was written, and translated."""

    value: bytes
    engine: Engine | None
    """None if it can't be read."""


class PlatformTables:
    """Puts each newer table in force, and keeps the list of engines."""

    def __init__(
        self,
        store: PlatformStore,
        clock: IReactorTime,
        random: Random,
        ingress: Ingress,
        pool: EnginePool,
        *,
        sender: EngineSender,
        contact_seconds: float,
        recovery: RecoverySignal,
        freshness: TableFreshness,
        revoke_seconds: float | None = None,
        daemons: Callable[[], int] = lambda: 1,
        use_regions: Callable[[frozenset[str]], None] = lambda _: None,
    ) -> None:
        """Begin without a table and engines; `recovery` tells when the store is back.

        `freshness` hears how recently the table was certainly the newest; `daemons` gives
        how many daemons there are, as far as is known; `use_regions` hears in which
        regions a table has anything reside.
        """
        wait_seconds = held_read_seconds(contact_seconds)
        table_seconds = table_read_seconds(wait_seconds, revoke_seconds)
        self.own_proof_seconds = own_proof_seconds(
            table_seconds, CONFIGURATION_PAUSE_SECONDS
        )
        """How old a proof grows while the store answers all reads of the table."""
        self._freshness = freshness
        self._daemons = daemons
        self._use_regions = use_regions
        self._table_seconds = table_seconds
        self._read_version = -1
        """That of the table that the store gave last; negative if it can't be read."""
        self.table_text = b""
        """The table in force as the operator wrote it."""
        self._clock = clock
        self._ingress = ingress
        self._pool = pool
        self._sender = sender
        self._log = EngineListLog(clock)
        self._entries: dict[str, ReadEntry] = {}
        self._has_engines = False
        self._configuration = KeyedFollower(
            store,
            clock,
            random,
            CONFIGURATION_TOPIC,
            timing=PollTiming(table_seconds, CONFIGURATION_PAUSE_SECONDS),
            on_change=self._configuration_changed,
            recovery=recovery,
            on_confirmed=self._configuration_proved,
            immediate_share=self._quick_share,
        )
        self._followers = (
            self._configuration,
            KeyedFollower(
                store,
                clock,
                random,
                ENGINES_TOPIC,
                timing=PollTiming(
                    wait_seconds, ENGINES_PAUSE_SECONDS, ENGINES_PAGE_PAUSE_SECONDS
                ),
                on_change=self._engines_changed,
                recovery=recovery,
            ),
        )

    @property
    def are_known(self) -> bool:
        """Whether there is a table, a list of engines, and what zones are drained."""
        has_table = self._ingress.router is not None
        return has_table and self._has_engines and self._drains.are_known

    @property
    def drained(self) -> DrainedZones:
        """Give the zones that are known to be drained."""
        return self._drains.current

    @property
    def _drains(self) -> ZoneDrains:
        return self._pool.eligibility.drains

    def start(self) -> None:
        """Begin to follow."""
        for follower in self._followers:
            follower.start()

    def _configuration_changed(self, values: dict[str, bytes]) -> None:
        value = values.get(CONFIGURATION_KEY)
        self._read_version = -1 if value is None else self.take_table(value)
        zones = drained_zones_of(values)
        self._take_drained(DrainedZones(zones, self._configuration.position))

    def peer_told_drained(self, newer: DrainedZones) -> None:
        """Take the drained zones that a peer knows, if it has read as far as we."""
        self._take_drained(newer, is_from_peer=True)

    def _take_drained(self, newer: DrainedZones, *, is_from_peer: bool = False) -> None:
        change = self._pool.drain_zones(newer)
        report_drains(newer, change, is_from_peer=is_from_peer)

    def _quick_share(self) -> float:
        """Give the share of our reads of the table that are not held."""
        if not self._freshness.is_required:
            return 0.0
        return quick_share(self._table_seconds, self._daemons())

    def _configuration_proved(self, at: float) -> None:
        self._freshness.prove(self._read_version, at)

    def take_table(self, value: bytes) -> int:
        """Put a table in force if it is newer; give its version, -1 if unreadable."""
        try:
            table = table_of(value)
        except msgspec.DecodeError as error:
            emit(DependencyLost(CONFIGURATION_TOPIC, f"unreadable: {error}"))
            return -1
        current = self._ingress.router
        former = current.table.version if current is not None else -1
        if table.version > former:
            if table.keys is not None and current is not None and current.table.keys:
                table.keys.succeed(current.table.keys)
            self._ingress.router = Router(table)
            self.table_text = value
            self._freshness.put_in_force(table.version)
            self._pool.eligibility.set_cold_limits(
                {name: service.cold for name, service in table.services.items()}
            )
            self._use_regions(table.resident_regions())
            emit(TableInForce(table.version, former, len(table.routes)))
        return table.version

    def _engines_changed(self, values: dict[str, bytes]) -> None:
        read = {id: self._read(id, value) for id, value in values.items()}
        self._entries = read
        engines = {
            id: entry.engine for id, entry in read.items() if entry.engine is not None
        }
        gone = self._pool.replace(engines.values())
        for engine_id in gone:
            self._sender.close_idle(engine_id)
        self._has_engines = True
        self._log.listed(engines, gone)

    def _read(self, id: str, value: bytes) -> "ReadEntry":
        """Translate an entry, unless it is the one that was read before."""
        known = self._entries.get(id)
        if known is not None and known.value == value:
            return known
        try:
            return ReadEntry(value, engine_of(id, value))
        except (msgspec.DecodeError, ValueError) as error:
            emit(DependencyLost(f"{ENGINES_TOPIC}/{id}", f"unreadable: {error}"))
            return ReadEntry(value, None)
