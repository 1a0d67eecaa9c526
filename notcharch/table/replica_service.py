"""This daemon's replica of the table, and its updates from the log and from peers.

The replay state advances by records from the log (`LogFollower`) and, if a member
announces a newer version, by history entries or a snapshot fetched from that member.
The version in force never decreases.
"""

import hashlib
from collections.abc import Callable
from random import Random

import eliot
import msgspec
from result import Err
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.clients.ports import LogPort, StoredRecord
from notcharch.errors import ProblemCode
from notcharch.events.event import emit
from notcharch.events.table import (
    TableContentRefused,
    TableFetchFailed,
    TableHistoryReplaced,
    TableInForce,
    TablePublicationRefused,
    TableRecordSkipped,
)
from notcharch.table.interface import ServiceRow, Table, TableSource
from notcharch.table.log_follower import LogFollower, report_failure
from notcharch.table.replay import (
    HistoryEntry,
    ReplayResult,
    ReplayState,
    SkipReason,
    apply_entries,
    decode_state,
    replay,
)
from notcharch.table.state_waiters import Condition, StateWaiters
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.identifiers import (
    LogOffset,
    Member,
    ServiceName,
    TableVersion,
    TenantName,
    ZoneName,
)
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.table import FetchTable, TableEntries, TableSnapshot
from notcharch.wire.peers import PeerNetwork

FETCH_TIMEOUT_SECONDS = 5.0
"""Timeout of a request to a peer."""

SNAPSHOT_REQUEST = LogOffset(-1)
"""Requests a snapshot, if entries did not reach the announced version."""

_history_decoder = msgspec.json.Decoder(HistoryEntry)


class TableReplica:
    """The `TableView` of a daemon; its publisher reads verdicts from it.

    `set_digest` passes the version in force to the membership protocol, which
    disseminates it to the members and calls `on_digest` with their versions.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        log: LogPort,
        network: PeerNetwork,
        random: Random,
        set_digest: Callable[[int], None],
        fetch_delay_seconds: float = 1.0,
    ) -> None:
        """Register the request handler; following the log begins with `start`.

        A fetch from a peer is delayed by a random part of `fetch_delay_seconds`,
        since the log usually delivers the same publication at a lower cost. There
        is no delay while the log is unreadable.
        """
        self._clock = clock
        self._network = network
        self._random = random
        self._set_digest = set_digest
        self._fetch_delay_seconds = fetch_delay_seconds
        self._state = ReplayState()
        self._in_force = self._state
        self._in_force_since = clock.seconds()
        self._source = TableSource.NONE
        self._table: Table | None = None
        self._snapshot: TableSnapshot | None = None
        self._needs_snapshot = False
        self._listeners: list[Callable[[], None]] = []
        self._waiters = StateWaiters(clock)
        self._fetching: Deferred[None] | None = None
        self._follower = LogFollower(clock, log, random, self)
        network.on_request(FetchTable, self._on_fetch)

    def start(self) -> None:
        """Start following the log."""
        self._follower.start()

    def stop(self) -> None:
        """Stop following the log; the version in force stays readable."""
        self._follower.stop()
        if self._fetching is not None:
            self._fetching.cancel()

    @property
    def version(self) -> TableVersion:
        """The version in force; it never decreases."""
        return self._in_force.version

    @property
    def source(self) -> TableSource:
        """The source of the version in force."""
        return self._source

    @property
    def in_force_seconds(self) -> float:
        """Seconds since the version came into force in this daemon."""
        return self._clock.seconds() - self._in_force_since

    @property
    def log_age_seconds(self) -> float | None:
        """Seconds since the log was last read to its end; None if never."""
        return self._follower.age_seconds

    @property
    def state(self) -> ReplayState:
        """The replay state, which may be newer than the version in force at startup."""
        return self._state

    def row(self, service: ServiceName) -> ServiceRow | None:
        """Return a service's row, or None."""
        return self._in_force.contents.rows.get(service)

    def rows(self) -> tuple[ServiceRow, ...]:
        """Return all rows, sorted by service."""
        return self.table().rows

    def table(self) -> Table:
        """Return the table in force."""
        if self._table is None:
            self._table = self._in_force.contents.table(self._in_force.version)
        return self._table

    def drained_zones(self) -> frozenset[ZoneName]:
        """Return the zones whose engines get no new work."""
        return self._in_force.contents.drained_zones

    def tenant_of_key(self, key: str) -> TenantName | None:
        """Return the tenant of a caller's key, or None."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self._in_force.contents.keys.get(digest)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when a newer version comes into force."""
        self._listeners.append(listener)

    async def wait_for(self, condition: Condition, seconds: float) -> bool:
        """Wait for the replay state to meet a condition; return False on timeout."""
        return await self._waiters.wait(self._state, condition, seconds)

    def on_digest(self, member: Member, version: int) -> None:
        """Put in force, or fetch, a newer version that a member announces."""
        if version <= self.version or self._fetching is not None:
            return
        if version <= self._state.version:
            # Already replayed, and in force elsewhere: need not catch up first.
            self._put_in_force(self._state, TableSource.PEER)
            return
        if member.daemon == self._network.own_member.daemon:
            return
        self._fetching = Deferred.fromCoroutine(self._fetch(member, version))
        self._fetching.addErrback(report_failure)
        self._fetching.addCallback(self._on_fetch_done)

    def apply_records(
        self, records: tuple[StoredRecord, ...], *, put_in_force: bool
    ) -> None:
        """Replay records from the log; skip records that were already replayed."""
        state = self._state
        for record in records:
            if record.offset != state.next_offset:
                continue
            replayed = replay(state, record)
            state = replayed.state
            _emit_result(record, replayed)
        self._move_to(state, TableSource.LOG, put_in_force=put_in_force)

    def install_state(self, state: ReplayState, source: TableSource) -> None:
        """Install a later state; ignore an older one.

        A newer version at an offset that was already replayed means that the log lost
        records. The newer version is installed, so that versions never decrease.
        """
        local = self._state
        is_later = state.next_offset > local.next_offset
        is_newer = state.version > local.version
        if is_newer and not is_later:
            emit(
                TableHistoryReplaced(
                    local.version, local.next_offset, state.version, state.next_offset
                )
            )
        if is_newer or (is_later and state.version == local.version):
            self._move_to(state, source, put_in_force=source is TableSource.PEER)

    def _move_to(
        self, state: ReplayState, source: TableSource, *, put_in_force: bool
    ) -> None:
        if state is not self._state:
            self._state = state
            self._snapshot = None
        if put_in_force and state.version > self._in_force.version:
            self._put_in_force(state, source)
        self._waiters.state_changed(state)

    def _put_in_force(self, state: ReplayState, source: TableSource) -> None:
        self._in_force = state
        self._in_force_since = self._clock.seconds()
        self._source = source
        self._table = None
        emit(TableInForce(state.version, len(state.contents.rows), source.value))
        self._set_digest(state.version)
        for listener in self._listeners:
            try:
                listener()
            except Exception:
                eliot.write_traceback()

    async def _on_fetch(self, _sender: Member, message: Message) -> Message:
        assert isinstance(message, FetchTable)
        state = self._state
        if message.have < state.horizon:
            return self._encoded_snapshot()
        entries = tuple(
            msgspec.Raw(msgspec.json.encode(entry))
            for entry in state.history
            if entry.offset >= message.have
        )
        return TableEntries(state.next_offset, entries)

    def _encoded_snapshot(self) -> TableSnapshot:
        if self._snapshot is None:
            encoded = msgspec.Raw(self._state.encode())
            self._snapshot = TableSnapshot(self._state.next_offset, encoded)
        return self._snapshot

    async def _fetch(self, member: Member, announced: int) -> None:
        if not self._follower.is_failing:
            delay = self._random.random() * self._fetch_delay_seconds
            await deferLater(self._clock, delay)
        if announced <= self.version:
            return
        have = SNAPSHOT_REQUEST if self._needs_snapshot else self._state.next_offset
        reply = await self._network.request(
            member.daemon, FetchTable(have), FETCH_TIMEOUT_SECONDS
        )
        if isinstance(reply, Err):
            problem = reply.err_value
            emit(TableFetchFailed(member.daemon, announced, problem.code))
            return
        self._apply_reply(member, have, announced, reply.ok_value)

    def _apply_reply(
        self, member: Member, have: LogOffset, announced: int, reply: Message
    ) -> None:
        state, detail = None, ""
        if isinstance(reply, TableEntries):
            state, detail = _state_of_entries(self._state, have, reply)
        elif isinstance(reply, TableSnapshot):
            decoded = decode_state(reply.state)
            state, detail = decoded.ok(), decoded.err() or ""
        else:
            detail = f"unexpected {type(reply).__name__}"
        if state is None:
            emit(TableContentRefused(member.daemon, detail))
        else:
            self.install_state(state, TableSource.PEER)
        self._needs_snapshot = announced > self.version
        if self._needs_snapshot:
            code = ProblemCode.NOT_FOUND.slug
            emit(TableFetchFailed(member.daemon, announced, code))

    def _on_fetch_done(self, _result: None) -> None:
        self._fetching = None


def _state_of_entries(
    state: ReplayState, have: LogOffset, reply: TableEntries
) -> tuple[ReplayState | None, str]:
    if state.next_offset < have:
        return None, "the local state moved back during the request"
    try:
        entries = [_history_decoder.decode(raw) for raw in reply.entries]
    except DECODING_ERRORS as error:
        return None, str(error)
    return apply_entries(state, entries, reply.next_offset), ""


def _emit_result(record: StoredRecord, replayed: ReplayResult) -> None:
    entry = replayed.entry
    if replayed.skipped in (SkipReason.BAD, SkipReason.REPEATED):
        reason = replayed.skipped.value
        emit(TableRecordSkipped(record.offset, record.id, reason, replayed.detail))
    elif entry is not None and not entry.is_in_force:
        emit(
            TablePublicationRefused(
                entry.offset, entry.id, entry.author, entry.verdict.value
            )
        )
