"""State machine of all feeds of a daemon: good and bad parts, in any order.

The oracle knows the last part of each kind that could be read. Whatever else was written,
the daemon has to go by it within seconds, also after a restart beside bad parts.
"""

from random import Random

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from twisted.internet.defer import succeed

from emulator.services.partitioned_log import Trouble
from notcharch.events import process
from notcharch.journal.assigned_partitions import AssignedPartitions
from notcharch.journal.group import GroupMember
from notcharch.journal.interface import GroupName, LogPartition
from notcharch.journal.partition_journal import (
    PartitionAssignment,
    PartitionJournal,
    UnreadableEntryError,
)
from notcharch.journal.partitioning import partitioning_for_topics
from notcharch.platform.tables import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    ENGINES_TOPIC,
)
from notcharch.values.identifiers import DaemonName, Incarnation, Member
from tests.stateful.feeds.spoiling_log import SpoilingLog
from tests.unit.events.capture import captured, of
from tests.unit.platform.tables_world import SERVICE, World

NESTED = b"[" * 2_000 + b"]" * 2_000
SETTLE_SECONDS = 3.0
STEP_SECONDS = 1.0
PLACE = LogPartition("t-0", 0)
IDS = ("a", "b", "c", "d")
ZONES = ("z1", "z2")
MEMBERS = (
    b'"odd":' + NESTED,
    b'"odd":NaN',
    b'"cold_remaining_ms":1e400',
    b'"slots":[]',
    b'"zone":5',
    b'"version":{}',
    b'"born":"x"',
)
GARBAGE = (b"null", b"{", b"\xff\xfe", NESTED, b'"text"', b'{"state":7')
BAD_RECORDS = (b"", b"\x09cut", b"\x02\xff\xfe{}", b"\xff")
BAD_ITEMS = (b"null", NESTED, b'{"private_key":"odd","value":"!","offset":0}')
BAD_ROWS = (b"null", b'["t-0","x",0]', NESTED)
BAD_ROUTES = (b"null", NESTED, b'{"name":"bad","host":7}', b'{"name":"bad"}')
BAD_TABLES = (b"null", b"{", NESTED, b'{"version":1e400,"routes":[],"services":[]}')
DRAINING, READY, UNREADABLE = "draining", "ready", "unreadable"


class Partition:
    """A partition of the group that this daemon owns."""

    def __init__(self, assignment) -> None:
        self.assignment = assignment
        self.is_released = False

    def take_over(self):
        return succeed(True)

    def hand_over(self):
        self.is_released = True
        return succeed(None)

    def close(self) -> None:
        self.is_released = True


class Directory:
    """Knows no owners."""

    def on_generation(self, generation) -> None:
        pass

    def owner(self, number):
        return None


class Replayed:
    """What a replay of the journal found."""

    def __init__(self) -> None:
        self.entries: list[bytes] = []
        self.lost = 0

    def skip_to(self, offset) -> None:
        self.entries.clear()

    def replay_record(self, offset, record) -> None:
        if record.startswith(b"bad"):
            raise UnreadableEntryError("bad")
        self.entries.append(record)

    def entry_lost(self) -> None:
        self.lost += 1


class FeedsMachine(RuleBasedStateMachine):
    """One daemon, the store, and what others write there."""

    def __init__(self) -> None:
        super().__init__()
        self._capture = captured()
        self.messages = self._capture.__enter__()
        self.world = World()
        self.log = self.world.log
        self.service = SpoilingLog(self.log)
        self.states = dict.fromkeys("abc", READY)
        """What the newest entry of each engine says."""
        self.known = dict(self.states)
        """What this process last read; None if that depends on when it read."""
        self.zones: set[str] = set()
        self.version = 0
        self.routes: set[str] = set()
        self.entries: list[bytes] = []
        self.bad_entries = 0
        self.epoch = 0
        self.partitioning = partitioning_for_topics("t", 4, 1)
        self._restart()

    def teardown(self) -> None:
        self._capture.__exit__(None, None, None)

    @property
    def is_store_up(self) -> bool:
        return self.log.trouble is Trouble.NONE

    # The daemon

    @rule()
    def restart(self) -> None:
        """Start another process, which has read nothing."""
        self._restart()

    def _restart(self) -> None:
        self.world = World(other=self.world, service=self.service)
        self.known = {
            id: state if state != UNREADABLE else None
            for id, state in self.states.items()
        }
        self._join()
        if not self.is_store_up:
            self.known = dict.fromkeys(self.known)
        self._run(STEP_SECONDS)

    def _join(self) -> None:
        self.assigned = AssignedPartitions(
            Member(DaemonName("d"), Incarnation(1)),
            self.partitioning,
            Directory(),
            heartbeat=lambda: None,
            create=Partition,
        )
        member = GroupMember(
            self.service,
            self.world.clock,
            GroupName("g", self.partitioning.topics),
            "d|10.0.0.1:1",
            min_lease_seconds=1.0,
            on_assignment=self.assigned.on_assignment,
        )
        member.start()

    def _run(self, seconds: float) -> None:
        self.world.run(seconds)

    # Engines

    @rule(
        id=st.sampled_from(IDS),
        state=st.sampled_from((READY, DRAINING)),
        member=st.sampled_from((None, *MEMBERS)),
    )
    def write_entry(self, id, state, member) -> None:
        entry = {"service": SERVICE, "address": "10.0.0.1:80", "zone": "z"}
        entry |= {"state": state, "version": "v1"}
        text = msgspec.json.encode(entry)
        if member is not None:
            text = b"%b,%b}" % (text[:-1], member)
        self._write(id, text, state)

    @rule(id=st.sampled_from(IDS), value=st.sampled_from(GARBAGE))
    def write_garbage(self, id, value) -> None:
        self._write(id, value, UNREADABLE)

    @rule(id=st.sampled_from(IDS))
    def remove(self, id) -> None:
        self.states.pop(id, None)
        self.known.pop(id, None)
        self.world.write_value(id, b"")
        self._run(STEP_SECONDS)
        if not self.is_store_up:
            self.known = dict.fromkeys(self.known)

    def _write(self, id, value, state) -> None:
        self.states[id] = state
        self.world.write_value(id, value)
        self._run(STEP_SECONDS)
        if not self.is_store_up:
            self.known[id] = None if state == UNREADABLE else state
        elif state != UNREADABLE:
            self.known[id] = state
        else:
            self.known.setdefault(id, None)

    @rule(
        topic=st.sampled_from((ENGINES_TOPIC, CONFIGURATION_TOPIC)),
        record=st.sampled_from(BAD_RECORDS),
    )
    def write_bad_record(self, topic, record) -> None:
        self.log.put(topic, 0, record)

    # The operator

    @rule(zone=st.sampled_from(ZONES), is_drained=st.booleans())
    def drain(self, zone, is_drained) -> None:
        self.world.put_operator_key(f"evacuate/{zone}", b"{}" if is_drained else b"")
        self.zones = self.zones | {zone} if is_drained else self.zones - {zone}

    @rule(
        names=st.sets(st.sampled_from(("r1", "r2", "r3")), min_size=1),
        bad=st.sampled_from((None, *BAD_ROUTES)),
    )
    def publish(self, names, bad) -> None:
        self.version += 1
        routes = [
            msgspec.json.encode(
                {"name": n, "host": "h", "path_prefix": f"/{n}/", "service": SERVICE}
            )
            for n in sorted(names)
        ]
        routes += [] if bad is None else [bad]
        self.world.put_operator_key(
            CONFIGURATION_KEY,
            b'{"version":%d,"routes":[%b],"services":[],"limits":{},"odd":%b}'
            % (self.version, b",".join(routes), b"1" if bad is None else NESTED),
        )
        self.routes = set(names)
        self._run(STEP_SECONDS)
        if not self.is_store_up:
            self.routes = set()  # whether it was read before the next one isn't known

    @rule(value=st.sampled_from(BAD_TABLES))
    def publish_garbage(self, value) -> None:
        """Replace the table by one that cannot be taken: the one in force stays."""
        self.world.put_operator_key(CONFIGURATION_KEY, value)
        self.routes = set()

    # The store

    @rule(
        item=st.sampled_from((None, *BAD_ITEMS)), row=st.sampled_from((None, *BAD_ROWS))
    )
    def spoil_answers(self, item, row) -> None:
        self.service.bad_item, self.service.bad_row = item, row

    @rule(is_up=st.booleans())
    def turn_store(self, is_up) -> None:
        self.log.trouble = Trouble.NONE if is_up else Trouble.REFUSE

    # The journal

    @rule(is_bad=st.booleans(), size=st.sampled_from((1, 40)))
    def append(self, is_bad, size) -> None:
        entry = (b"bad" if is_bad else b"e%d" % len(self.entries)) + b"." * size
        self.log.put(PLACE.topic, PLACE.number, entry)
        if is_bad:
            self.bad_entries += 1
        else:
            self.entries.append(entry)

    @rule()
    def take_over(self) -> None:
        self.epoch += 1
        target = Replayed()
        journal = PartitionJournal(
            self.service,
            self.world.clock,
            Random(1),
            PartitionAssignment(0, PLACE, self.epoch),
            target=target,
            on_fenced=lambda: None,
        )
        results: list[bool] = []
        self.log.trouble = Trouble.NONE
        journal.take_over().addCallback(results.append)
        self._run(STEP_SECONDS)
        assert results == [True]
        assert target.entries == self.entries
        assert target.lost == self.bad_entries

    # The oracle

    @rule()
    def check(self) -> None:
        """Let everything be read, and compare."""
        self.log.trouble = Trouble.NONE
        self._run(SETTLE_SECONDS)
        assert set(self.world.tables.drained_zones.zones) == self.zones
        has_ready = READY in self.states.values()
        for id in IDS:
            expected = self._takes_calls(id, has_ready)
            if expected is not None:
                assert self._is_chosen(id) == expected, (id, self.states, self.known)
        self._check_table()
        owned = {p.assignment.number for p in self.assigned.all() if not p.is_released}
        assert owned == set(range(4))
        assert not of(self.messages, process.FollowingFailed)

    def _takes_calls(self, id, has_ready) -> bool | None:
        state = self.states.get(id)
        if state != UNREADABLE:
            return state == READY
        if has_ready or self.known.get(id) == DRAINING:
            return False
        return True if self.known.get(id) == READY else None

    def _is_chosen(self, id) -> bool:
        chosen = self.world.pool.choose(SERVICE, "", set(IDS) - {id})
        return chosen is not None and chosen.id == id

    def _check_table(self) -> None:
        if not self.routes:
            return
        router = self.world.tables._ingress.router
        assert router.table.version == self.version
        found = {r.name for r in router.table.routes}
        assert found == self.routes
