"""The sum of all bounds stays below the limit at which the platform kills a process."""

import json
from pathlib import Path
from random import Random

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from notcharch.accounts.ledger import PROGRAM_BYTES, Ledger
from notcharch.accounts.records import TurnKept, decode, encode
from notcharch.accounts.turns import TURN_BYTES
from notcharch.calls.call_memory import CALL_BYTES, SMALL_CALL_BYTES
from notcharch.calls.engines import EnginePool
from notcharch.calls.list_log import EngineListLog
from notcharch.http.connection_room import MIN_CALLERS_CONNECTIONS
from notcharch.journal.writer import SMALL_ENTRY_BYTES
from notcharch.platform import memory_budget as budget
from notcharch.platform.engine_entries import read_entry
from notcharch.platform.memory_budget import memory_budget
from notcharch.platform.process import Process
from notcharch.platform.process_memory import (
    ProcessMemory,
    max_caller_connections,
    max_refused_connections,
)
from notcharch.platform.settings import read_settings
from notcharch.quarantine.records import RECORD_BYTES as END_RECORD_BYTES
from notcharch.quarantine.records import EndRecords, EngineEnd
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.stream_origin import StreamOrigin
from notcharch.settings.mechanisms import ALL_MECHANISMS
from notcharch.stream_origins.records import OriginRecords
from notcharch.values.memory_pool import HeldPart
from notcharch.wire.outgoing import FRAME_BYTES
from tests.unit.http.test_small_chunks import growth
from tests.unit.platform.test_settings import TEXT

MEGABYTE = 1024 * 1024
LIMITS = (128, 130, 260, 330, 552)
"""Megabytes of the users' machines."""
USEFUL_POOL_BYTES = 24 * MEGABYTE
"""Four bodies of the largest size under way, and some hundred small calls."""
COUNT = 2000


@pytest.mark.parametrize("megabytes", LIMITS)
def test_the_sum_of_all_bounds_is_below_the_limit(megabytes):
    """Each part had a bound of its own or none, and nobody had added them up."""
    limit = megabytes * MEGABYTE
    divided = memory_budget(limit)
    assert divided.fixed_bytes + divided.pool_bytes == divided.total_bytes
    assert divided.total_bytes <= limit * (1 - budget.MARGIN_SHARE) + 1
    assert divided.pool_bytes >= USEFUL_POOL_BYTES
    assert len({line.name for line in divided.lines}) == len(divided.lines)


def test_the_page_has_the_figures_of_the_code():
    page = Path("docs/design/memory-budget.md").read_text()
    assert budget.budget_table((130, 260, 330)) in page


def test_an_unknown_limit_is_divided_as_that_of_the_smallest_machine():
    assert memory_budget(0) == memory_budget(128 * MEGABYTE)


def test_a_machine_that_is_too_small_is_served_all_the_same():
    small = memory_budget(64 * MEGABYTE)
    assert small.pool_bytes == budget.MIN_POOL_BYTES
    assert small.total_bytes > small.limit_bytes


@pytest.mark.parametrize("megabytes", LIMITS)
def test_the_pool_is_what_the_holders_of_a_process_share(megabytes):
    settings = read_settings(f"{TEXT}\nlimits.memory_mb={megabytes}\n").ok_value
    memory = ProcessMemory(settings, open_files=8200)
    pool_bytes = memory_budget(megabytes * MEGABYTE).pool_bytes
    assert memory.pool.limit_bytes == pool_bytes
    assert len(memory.pool.holders) == 10
    assert all(holder.limit_bytes < pool_bytes for holder in memory.pool.holders)
    origins, records = memory.max_origin_bytes, memory.max_quarantine_records
    lines = {line.name: line.size for line in memory.budget.lines}
    assert lines["origins of streams"] == origins
    assert lines["requests under which engines ended"] == records * END_RECORD_BYTES


class Frames:
    """A connection with an unfinished frame."""

    gave_way = 0

    def give_way(self) -> None:
        self.gave_way += 1


@pytest.mark.parametrize("megabytes", LIMITS)
@pytest.mark.parametrize("is_replayed", [True, False])
def test_what_a_daemon_needs_to_go_on_is_not_refused_for_a_full_pool(
    megabytes, is_replayed
):
    """A ready daemon refused the frames and requests of its peers, connections and calls.

    After a takeover, turns and accounts may be at their bounds: 1.2 times the pool.
    """
    settings = read_settings(f"{TEXT}\nlimits.memory_mb={megabytes}\n").ok_value
    memory = ProcessMemory(settings, open_files=8200)
    pool = memory.pool
    if is_replayed:
        for holder in (memory.accounts.turns, memory.accounts.accounts):
            holder.change(int(holder.limit_bytes))
        assert pool.total > 1.15 * pool.limit_bytes
    else:
        memory.calls.change(int(0.6 * pool.limit_bytes))
        memory.accounts.turns.change(int(0.4 * pool.limit_bytes) + 1)
    peers, room = memory.peers, memory.connections
    for _ in range(300):
        assert peers.take_outgoing(FRAME_BYTES + 1024)
        assert peers.take_request(200)
    parts = [Frames() for _ in range(300)]
    for part in parts:
        peers.part_received(part, 20)
        peers.part_received(part, 2500)
    assert not any(part.gave_way for part in parts)
    for number in range(MIN_CALLERS_CONNECTIONS):
        assert room.has_room(0.0)
        room.opened(number, 0.0)
    calls = [HeldPart(memory.calls, SMALL_CALL_BYTES) for _ in range(75)]
    assert all(call.take(CALL_BYTES + 1000) for call in calls)
    entries = [HeldPart(memory.accounts.journal, SMALL_ENTRY_BYTES) for _ in range(32)]
    assert all(entry.take(SMALL_ENTRY_BYTES) for entry in entries)
    assert not HeldPart(memory.calls, SMALL_CALL_BYTES).take(MEGABYTE)


def test_the_reserves_of_a_process_are_lines_of_the_budget():
    settings = read_settings(f"{TEXT}\nlimits.memory_mb=130\n").ok_value
    memory = ProcessMemory(settings, open_files=8200)
    lines = [line for line in memory.budget.lines if line.name.endswith("at least")]
    reserved = sum(holder.reserved_bytes for holder in memory.pool.holders)
    assert sum(line.size for line in lines) == reserved > 0


def test_callers_connections_leave_descriptors_for_everything_else():
    """Without descriptors no engine can be connected, and calls fail that were accepted."""
    assert max_caller_connections(8200) == 6150
    assert max_caller_connections(1) == 1
    for files in (64, 100, 1024, 8200):
        callers = max_caller_connections(files) + max_refused_connections(files)
        assert callers <= 0.8 * files, "probes of a full daemon are answered"


def test_the_components_of_a_process_take_its_bounds():
    """A bound that nobody passes on would hold nothing back."""
    settings = read_settings(f"{TEXT}\nlimits.memory_mb=130\n").ok_value
    reactor = MemoryReactorClock()
    process = Process(settings, reactor, None, ALL_MECHANISMS)
    process.start()
    memory, components = process._memory, process._components
    assert components is not None
    services = components.ingress._services
    assert services.held is memory.calls
    assert components.factory._room is memory.connections
    assert components.network._memory is memory.peers
    assert process._requester._room is memory.store_answers
    group = components.accounts._default_group
    assert group._owned_partitions._memory is memory.accounts
    assert group.admission._cache is memory.accounts.cache
    assert components.origins._own._max_bytes * 2 == memory.max_origin_bytes
    records = components._quarantine._records
    assert records._max_records == memory.max_quarantine_records
    assert set(memory._others) >= {"callers and engines", "engines' answers"}


# The constants of the estimates against what is traced


def test_the_estimate_of_a_program_is_not_below_what_it_takes():
    ledger = Ledger()

    def add() -> None:
        for number in range(COUNT):
            name, call = f"tenant/program-{number:016x}", f"tenant/call-{number:016x}"
            ledger.admit(name, call, 100, 1000, float(number))

    assert growth(add) <= COUNT * (PROGRAM_BYTES + len("tenant/program-") + 16)


@pytest.mark.parametrize("size", [0, 600, 10_000])
def test_the_estimate_of_a_turn_is_not_below_what_it_takes(size):
    ledger = Ledger()

    def add() -> None:
        for number in range(COUNT):
            turn, previous = (
                f"tenant/call-{number:016x}",
                f"tenant/call-{number - 1:016x}",
            )
            text = b"x" * (size // 2)
            record = TurnKept("tenant/p", turn, previous, text, bytes(text), 1, 60.0)
            ledger.store_turn(decode(encode(record)), float(number))

    grown = growth(add)
    assert grown <= ledger._held_turns.size
    assert ledger._held_turns.size <= COUNT * (TURN_BYTES + 60 + size)


def test_the_estimate_of_a_streams_origin_is_not_below_what_it_takes():
    records = OriginRecords()

    def add() -> None:
        for number in range(COUNT):
            id, engine = f"tenant/attempt-{number:016x}", f"engine-{number % 10}"
            origin = StreamOrigin("service", f"v{number % 2}")
            record = records.add(id, origin, 10.0, float(number) / COUNT)
            record.engine, record.began_at = engine, float(number)

    assert growth(add) <= records.bytes


def test_the_estimate_of_a_request_that_ended_engines_is_not_below_what_it_takes():
    records = EndRecords()

    def add() -> None:
        for number in range(COUNT):
            for place in range(3):
                end = EngineEnd(f"engine-{number}-{place}", f"daemon-{place}")
                records.count(f"{number:032x}", end, sent_at=1e6, now=float(number))

    assert growth(add) <= COUNT * END_RECORD_BYTES


def test_the_assumed_size_of_an_engines_entry_is_not_below_what_it_takes():
    clock = Clock()
    pool = EnginePool(clock, Nearness("z", {}), Random(1))
    log = EngineListLog(clock)
    kept = []

    def add() -> None:
        fields = {"service": "s", "zone": "z", "slots": 8, "version": "v1"}
        values = {
            f"engine-{number:08d}": json.dumps(
                fields | {"address": f"10.0.{number // 250}.{number % 250}:8000"}
            ).encode()
            for number in range(COUNT)
        }
        entries = {id: read_entry(id, value, None) for id, value in values.items()}
        engines = {id: entry.engine for id, entry in entries.items()}
        pool.replace(engines.values())
        log.listed(engines, [])
        kept.append((values, entries, {id: e.service for id, e in engines.items()}))

    assert growth(add) <= COUNT * budget.ENGINE_BYTES
