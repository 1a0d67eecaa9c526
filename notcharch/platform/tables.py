"""Follows the operator's configuration and the engines' entries in the store."""

from collections.abc import Callable, Mapping
from random import Random

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.engine_sender import EngineSender
from notcharch.calls.engines import EnginePool
from notcharch.calls.list_log import EngineListLog, report_drains
from notcharch.calls.routing import Router
from notcharch.events.event import emit
from notcharch.events.feed_faults import FeedFaults
from notcharch.events.process import DependencyLost, TableInForce
from notcharch.journal.keyed_follower import KeyedFollower, PollTiming
from notcharch.journal.recovery_signal import RecoverySignal
from notcharch.platform.configuration import (
    CONFIGURATION_DECODER,
    ConfigurationEntry,
    parse_drained_zones,
    to_table,
)
from notcharch.platform.engine_entries import ReadEntry, read_entry
from notcharch.platform.ingress import Ingress
from notcharch.platform.partial_table import read_configuration
from notcharch.platform.store import REQUEST_TIMEOUT_SECONDS, PlatformStore
from notcharch.scheduling.zone_drains import DrainedZones, ZoneDrains
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.freshness_reads import (
    immediate_read_share,
    max_confirmation_age,
    table_long_poll_seconds,
)
from notcharch.values.decoding import DECODING_ERRORS

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
ENGINES_TOPIC = "keyed.servers"
CONFIGURATION_READ_INTERVAL_SECONDS = 0.05
"""Between two reads of the configuration; changes are seconds apart, so none is delayed."""
ENGINES_READ_INTERVAL_SECONDS = 0.4
"""Between two reads of the engines' entries; batches many changes into one read."""
ENGINES_PAGE_INTERVAL_SECONDS = 3.0
"""Between two pages of the engines' entries."""
MIN_LONG_POLL_SECONDS = 1.0
"""Minimum long-poll timeout, for very short contact times."""


def long_poll_seconds(contact_seconds: float) -> float:
    """Return the long-poll timeout of a read of changes.

    A read that failed in transit is detected `REQUEST_TIMEOUT_SECONDS` after the poll
    ends. That must not be later than `contact_seconds` after a disturbance, as changes
    must then be known within their bounds again. Each daemon always has two reads in
    flight, so longer polls mean fewer requests to the store.
    """
    return max(MIN_LONG_POLL_SECONDS, contact_seconds - REQUEST_TIMEOUT_SECONDS)


class PlatformTables:
    """Applies each newer table, and keeps the list of engines up to date."""

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
        """Start without a table and engines.

        `recovery` signals when the store is available again; `freshness` is updated when
        the table is confirmed to be the newest; `daemons` returns the known number of
        daemons; `use_regions` is called with the regions to which a table restricts data.
        """
        poll_seconds = long_poll_seconds(contact_seconds)
        table_seconds = table_long_poll_seconds(poll_seconds, revoke_seconds)
        self.confirmation_age_seconds = max_confirmation_age(
            table_seconds, CONFIGURATION_READ_INTERVAL_SECONDS
        )
        """Maximum age of the freshness confirmation while all reads of the table succeed."""
        self._freshness = freshness
        self._daemons = daemons
        self._use_regions = use_regions
        self._table_seconds = table_seconds
        self._read_version = -1
        """Version of the table last read from the store; negative if it is invalid."""
        self.raw_table = b""
        """The table in force, as stored by the operator."""
        self.engine_services: Mapping[str, str] = {}
        """The service of each listed engine by id; another object after each change."""
        self._clock = clock
        self._ingress = ingress
        self._pool = pool
        self._sender = sender
        self._log = EngineListLog(clock)
        self._partial_entry: ConfigurationEntry | None = None
        """The configuration in force if parts of it can't be read: what is used of it."""
        self._table_faults = FeedFaults(CONFIGURATION_TOPIC)
        self._entries: dict[str, ReadEntry] = {}
        self._entry_faults = FeedFaults(ENGINES_TOPIC)
        self._has_engines = False
        self._configuration = KeyedFollower(
            store,
            clock,
            random,
            CONFIGURATION_TOPIC,
            timing=PollTiming(table_seconds, CONFIGURATION_READ_INTERVAL_SECONDS),
            on_change=self._on_configuration_changed,
            recovery=recovery,
            on_confirmed=self._on_configuration_confirmed,
            immediate_share=self._immediate_read_share,
        )
        self._engines = KeyedFollower(
            store,
            clock,
            random,
            ENGINES_TOPIC,
            timing=PollTiming(
                poll_seconds,
                ENGINES_READ_INTERVAL_SECONDS,
                ENGINES_PAGE_INTERVAL_SECONDS,
            ),
            on_change=self._on_engines_changed,
            recovery=recovery,
            on_confirmed=self._on_engines_confirmed,
            on_snapshot=pool.versions.restarted,
        )
        self._followers = (self._configuration, self._engines)

    @property
    def are_loaded(self) -> bool:
        """Whether the table, the list of engines and the drained zones are loaded."""
        has_table = self._ingress.router is not None
        return has_table and self._has_engines and self._drains.are_known

    @property
    def drained_zones(self) -> DrainedZones:
        """The zones that are known to be drained."""
        return self._drains.current

    @property
    def _drains(self) -> ZoneDrains:
        return self._pool.eligibility.drains

    def start(self) -> None:
        """Start following the topics."""
        for follower in self._followers:
            follower.start()

    def _on_configuration_changed(self, values: dict[str, bytes]) -> None:
        zones = parse_drained_zones(values)
        self._apply_drained_zones(DrainedZones(zones, self._configuration.position))
        value = values.get(CONFIGURATION_KEY)
        self._read_version = -1
        if value is not None:
            self._read_version = self.apply_table(value)

    def apply_peer_drained_zones(self, newer: DrainedZones) -> None:
        """Apply the drained zones of a peer, unless it has read less of the topic."""
        self._apply_drained_zones(newer, is_from_peer=True)

    def _apply_drained_zones(
        self, newer: DrainedZones, *, is_from_peer: bool = False
    ) -> None:
        change = self._pool.drain_zones(newer)
        report_drains(newer, change, is_from_peer=is_from_peer)

    def _immediate_read_share(self) -> float:
        """Return the share of reads of the table that don't use long polling."""
        if not self._freshness.is_required:
            return 0.0
        return immediate_read_share(self._table_seconds, self._daemons())

    def _on_configuration_confirmed(self, at: float) -> None:
        self._freshness.confirm(self._read_version, at)

    def confirm_engines(self) -> "Deferred[None]":
        """Read whether the list of engines is up to date; fires when that is known."""
        return self._engines.confirm()

    def _on_engines_confirmed(self, at: float) -> None:
        self._pool.versions.confirmed(at, self._clock.seconds())

    def apply_table(self, value: bytes) -> int:
        """Apply a table if it is newer; return its version, or -1 if it is invalid."""
        try:
            read = read_configuration(value, self._entry_in_force, self._table_faults)
            table = to_table(read.entry)
        except DECODING_ERRORS as error:
            emit(DependencyLost(CONFIGURATION_TOPIC, f"invalid: {error}"))
            return -1
        table = msgspec.structs.replace(
            table, lacks_routes=read.lacks_routes, lacks_keys=read.lacks_tenants
        )
        current = self._ingress.router
        previous_version = current.table.version if current is not None else -1
        if table.version > previous_version:
            if table.keys is not None and current is not None and current.table.keys:
                table.keys.inherit_removed(current.table.keys)
            self._ingress.router = Router(table, current, self._clock.seconds())
            self._pool.versions.set_resumable_seconds(table.longest_resumable_seconds())
            self.raw_table = value
            self._partial_entry = read.entry if read.is_partial else None
            self._freshness.put_in_force(table.version)
            self._pool.eligibility.set_cold_limits(
                {name: service.cold for name, service in table.services.items()}
            )
            self._use_regions(table.resident_regions())
            emit(TableInForce(table.version, previous_version, len(table.routes)))
        return table.version

    def _entry_in_force(self) -> ConfigurationEntry | None:
        """Return the configuration in force, decoded; None before the first one."""
        if self._partial_entry is not None or not self.raw_table:
            return self._partial_entry
        return CONFIGURATION_DECODER.decode(self.raw_table)

    def _on_engines_changed(self, values: dict[str, bytes]) -> None:
        entries = {id: self._read_entry(id, value) for id, value in values.items()}
        self._entries = entries
        engines = {
            id: entry.engine
            for id, entry in entries.items()
            if entry.engine is not None
        }
        removed = self._pool.replace(engines.values())
        for engine_id in removed:
            self._sender.close_idle(engine_id)
        self.engine_services = {id: engine.service for id, engine in engines.items()}
        self._has_engines = True
        self._log.listed(engines, removed)

    def _read_entry(self, id: str, value: bytes) -> ReadEntry:
        """Read an entry, unless it is unchanged since the last time."""
        previous = self._entries.get(id)
        if previous is not None and previous.value == value:
            return previous
        entry = read_entry(id, value, None if previous is None else previous.entry)
        if entry.unreadable:
            fate = "" if entry.engine is not None else "; the engine is not listed"
            self._entry_faults.report(id, f"{', '.join(entry.unreadable)}{fate}")
        else:
            self._entry_faults.clear(id)
        return entry
