"""Concurrent publications through a faulty log; replicas must match the oracle."""

import attrs
import msgspec
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from result import Ok
from twisted.internet.defer import Deferred

from notcharch.clients.ports import LogRecord
from notcharch.errors import Ran
from notcharch.table import log_follower, publisher, replay
from notcharch.table.draft import (
    ChangeCell,
    ChangesDraft,
    ChangeZoneDrain,
    DeleteRow,
    InsertRow,
    RollbackDraft,
)
from notcharch.table.edits import SetCell
from notcharch.table.publication import (
    RECORD_FORMAT,
    PublishedEdits,
    encode_record,
)
from notcharch.table.publisher import PublishRequest
from notcharch.values.identifiers import RecordId
from tests.stateful.table.faulty_log import LATE_SECONDS, AppendFault
from tests.stateful.table.oracle import ZONES, Oracle
from tests.stateful.table.region import Region, ReplicaProcess
from tests.stateful.table.table_breaks import BREAKS

DAEMONS = 3
MEMORY = 8
PUBLISH_SECONDS = 12.0
IN_FORCE_SECONDS = 16.0
INDEXES = st.integers(0, DAEMONS - 1)
SERVICES = st.sampled_from(["a", "b"])
CELLS = st.sampled_from(
    [
        ("share", 1.0),
        ("share", 2.0),
        ("share", 3.0),
        ("paused", True),
        ("paused", False),
        ("budget_tokens", 2000),
        ("max_answer_tokens", 8000),
        ("max_answer_tokens", 1024),
    ]
)
SHARES = st.sampled_from([1.0, 2.0, 3.0])
CELL_LISTS = st.lists(CELLS, min_size=1, max_size=2, unique_by=lambda cell: cell[0])
ROW = {"tenant": "t", "pool": "p"}
GARBAGE = st.sampled_from(["", "{", "[]", '{"type":"PublishedEdits"}', "null"])


@attrs.frozen
class How:
    """The daemon, base version, fault and pause of a publication."""

    index: int
    back: int = 0
    own_id: bool = False
    fault: AppendFault | None = None
    pause: float = 0.0


HOWS = st.builds(
    How,
    index=INDEXES,
    back=st.sampled_from([0, 0, 0, 1, 2, 5, 9]),
    own_id=st.booleans(),
    fault=st.sampled_from([None, None, *AppendFault]),
    pause=st.sampled_from([0.0, 0.05, 1.0]),
)


@attrs.define(eq=False)
class Wish:
    """A requested publication; `answers` contains the results by attempt."""

    request: PublishRequest
    attempts: int = 0
    answers: dict = attrs.Factory(dict)


class TableMachine(RuleBasedStateMachine):
    """Three replicas, one log, many operators."""

    @initialize(seed=st.integers(0, 1000), logless=st.none() | INDEXES)
    def start(self, seed, logless):
        """Begin; `logless` is a daemon whose log never comes back at the end."""
        self.logless = logless
        self.region = Region(DAEMONS, seed)
        self.oracle = Oracle(MEMORY)
        self.wishes = []
        self.region.run(0.5)
        rows = [InsertRow({"service": service, **ROW}) for service in "ab"]
        self.publish(How(0, pause=2.0), *rows)
        self.oracle.follow(self.region.store.records)

    @rule(how=HOWS, service=SERVICES)
    def add_or_remove_row(self, how, service):
        if service in self.oracle.tables[self.base_of(how)]:
            self.publish(how, DeleteRow(service))
        else:
            self.publish(how, InsertRow({"service": service, **ROW}))

    @rule(how=HOWS, service=SERVICES, cells=CELL_LISTS)
    def set_cells(self, how, service, cells):
        changes = [ChangeCell(service, name, value) for name, value in cells]
        self.publish(how, *changes)

    @rule(how=HOWS, zone=st.sampled_from(["z-1", "z-2"]), is_drained=st.booleans())
    def drain_or_give_back(self, how, zone, is_drained):
        self.publish(how, ChangeZoneDrain(zone, is_drained))

    @rule(index=INDEXES, count=st.integers(2, MEMORY + 2))
    def many_publications(self, index, count):
        for number in range(count):
            change = ChangeCell("a", "concurrency", number + 1)
            self.publish(How(index, pause=0.1), change)

    @precondition(lambda self: any(wish.request.id for wish in self.wishes))
    @rule(index=INDEXES, data=st.data())
    def ask_again(self, index, data):
        known = [wish for wish in self.wishes if wish.request.id]
        wish = data.draw(st.sampled_from(known))
        wish.request = attrs.evolve(wish.request, first_attempt=False)
        self.send(index, wish)

    @rule(how=HOWS)
    def rollback(self, how):
        target = self.base_of(how)
        newest = attrs.evolve(how, back=0)
        self.publish(newest, draft=RollbackDraft(target))

    @rule(index=INDEXES, faults=st.lists(st.sampled_from(AppendFault), max_size=3))
    def fail_appends(self, index, faults):
        self.region.process(index).port.append_faults = faults

    @rule(indexes=st.sets(INDEXES), is_down=st.booleans())
    def log_down(self, indexes, is_down):
        for index in indexes:
            self.region.process(index).port.is_down = is_down

    @precondition(lambda self: self.region.store.records)
    @rule(data=st.data())
    def log_repeats_a_record(self, data):
        record = data.draw(st.sampled_from(self.region.store.records))
        self.region.store.append((LogRecord(record.id, record.data),))

    @rule(service=SERVICES, before=SHARES, after=SHARES, back=st.integers(0, 9))
    def outside_tool_publishes(self, service, before, after, back):
        """Append an edit whose base value may be wrong, without any check."""
        number = len(self.region.store.records)
        edit = SetCell(service, "share", before, after)
        record = PublishedEdits(
            format=RECORD_FORMAT,
            base_version=max(0, self.oracle.version - back),
            author=f"outside-{number}",
            at=0.0,
            edits=(edit,),
        )
        text = encode_record(record)
        self.region.store.append((LogRecord(RecordId(record.author), text),))

    @rule(text=GARBAGE)
    def garbage_in_the_log(self, text):
        self.region.store.append((LogRecord(RecordId("garbage"), text),))

    @rule(index=INDEXES, log_is_down=st.booleans())
    def restart(self, index, log_is_down):
        self.region.restart(index, log_is_down)

    @rule(index=INDEXES)
    def pause(self, index):
        self.region.fabric.pause(self.region.names[index])

    @rule(index=INDEXES)
    def resume(self, index):
        self.region.fabric.resume(self.region.names[index])

    @rule(index=INDEXES)
    def cut(self, index):
        name = self.region.names[index]
        self.region.fabric.cut([name], list(self.region.names))

    @rule()
    def heal(self):
        self.region.fabric.heal()

    @rule(seconds=st.sampled_from([0.05, 0.5, 3.0, 10.0]))
    def time_passes(self, seconds):
        self.region.run(seconds)

    def publish(self, how, *changes, draft=None):
        author = f"wish-{len(self.wishes)}"
        request = PublishRequest(
            draft=draft or ChangesDraft(changes),
            base_version=self.base_of(how),
            author=author,
            id=RecordId(author) if how.own_id else None,
            first_attempt=True,
        )
        wish = Wish(request)
        self.wishes.append(wish)
        if how.fault is not None:
            self.region.process(how.index).port.append_faults = [how.fault]
        self.send(how.index, wish)
        self.region.run(how.pause)

    def send(self, index, wish):
        publishing = self.region.process(index).publisher.publish(
            wish.request, PUBLISH_SECONDS
        )
        wish.attempts += 1
        attempt = wish.attempts
        running = Deferred.fromCoroutine(publishing)
        running.addBoth(lambda answer: wish.answers.update({attempt: answer}))

    def base_of(self, how):
        """Give a version that the operator may have read, `how.back` before the newest."""
        newest = self.region.process(how.index).replica.version
        known = [version for version in self.oracle.tables if version <= newest]
        return known[-1 - min(how.back, len(known) - 1)]

    @invariant()
    def replicas_follow_the_oracle(self):
        if not hasattr(self, "region"):
            return
        self.oracle.follow(self.region.store.records)
        for process in self.region.processes.values():
            self.check_process(process)
        for wish in self.wishes:
            self.check_wish(wish)

    def check_process(self, process: ReplicaProcess):
        versions = [change.version for change in process.changes]
        assert versions == sorted(set(versions)), "a version went back"
        version = process.replica.version
        assert version in self.oracle.tables, f"{version} was never accepted"
        assert rows_of(process) == self.oracle.tables[version], "other rows"
        from_log = [change for change in process.changes if change.source == "log"]
        if process.changes and process.changes[0] in from_log:
            known = self.known_at(process.records_at_start)
            assert versions[0] >= known, "an older version came into force at start"

    def known_at(self, record_count):
        """Give the version that the first `record_count` records led to."""
        return max(v for v in self.oracle.tables if v <= record_count)

    def check_wish(self, wish):
        made = self.oracle.verdicts.get(wish.request.author)
        for attempt, answer in wish.answers.items():
            assert not hasattr(answer, "raiseException"), answer
            if isinstance(answer, Ok):
                told = answer.ok_value
                wrong = "told a version that it did not make"
                assert told.unchanged or told.version == made, wrong
            elif answer.err_value.ran is Ran.NO and attempt == wish.attempts:
                # A later attempt may succeed; an earlier one must not have.
                assert made is None, f"told {answer.err_value}, but it is in force"

    def teardown(self):
        if not hasattr(self, "region"):
            return
        for name, process in self.region.processes.items():
            self.region.fabric.resume(name)
            process.port.is_down = name == f"d{self.logless}"
            process.port.append_faults = []
        self.region.fabric.heal()
        self.region.run(PUBLISH_SECONDS + LATE_SECONDS + 10.0)
        self.replicas_follow_the_oracle()
        records = len(self.region.store.records)
        self.region.run(IN_FORCE_SECONDS)
        assert len(self.region.store.records) == records
        assert self.region.versions() == {self.oracle.version}, "not all have it"
        self.replicas_follow_the_oracle()


def rows_of(process):
    rows = {}
    for row in process.replica.rows():
        cells = msgspec.structs.asdict(row)
        rows[row.service] = cells
    zones = process.replica.drained_zones()
    if zones:
        rows[ZONES] = dict.fromkeys(zones, True)
    return rows


@pytest.fixture(autouse=True)
def small_bounds(monkeypatch):
    """Lower the limits, so that tests reach paging, trimming and checkpoints."""
    monkeypatch.setattr(replay, "MAX_HISTORY_ENTRIES", MEMORY)
    monkeypatch.setattr(log_follower, "PAGE_RECORDS", 3)
    monkeypatch.setattr(log_follower, "SEARCH_RECORDS", 6)
    monkeypatch.setattr(publisher, "CHECKPOINT_RECORDS", 4)


def settings_of(examples, **more):
    return settings(
        max_examples=examples,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        **more,
    )


def test_replicas_and_verdicts_under_faults():
    run_state_machine_as_test(TableMachine, settings=settings_of(60))


@pytest.mark.parametrize(
    ("break_it", "finding"), BREAKS, ids=[item[0].__name__ for item in BREAKS]
)
def test_a_deliberate_break_is_caught(break_it, finding, monkeypatch):
    break_it(monkeypatch)
    break_settings = settings_of(600, phases=(Phase.generate,))
    with pytest.raises(AssertionError, match=finding):
        run_state_machine_as_test(TableMachine, settings=break_settings)
