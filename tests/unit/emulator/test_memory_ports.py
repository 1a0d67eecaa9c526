"""The in-process ports, with their faults."""

import msgspec
import pytest
from result import Err, Ok

from emulator.engine.answers import expected_answer
from emulator.engine.host import EngineHost
from emulator.faults import FaultKind
from emulator.memory import (
    MemoryEnginePort,
    MemoryLogPort,
    MemoryMachineListPort,
    MemoryWeightStorePort,
)
from emulator.memory_exchange import MemoryWay
from emulator.services.log_store import LogStore
from emulator.services.machine_registry import MachineRegistry
from emulator.services.weight_store import WeightStore
from emulator.virtual_clock import VirtualClock
from notcharch.clients.answer_collector import AnswerCollector
from notcharch.clients.ports import LogRecord, Machine, MachineKind, MachineState
from notcharch.errors import ProblemCode, Ran
from notcharch.values.chat import ChatMessage, FinishReason
from notcharch.values.identifiers import (
    EngineName,
    Epoch,
    LogOffset,
    ProgramId,
    RecordId,
    RegionName,
    ZoneName,
)
from tests.unit.emulator.builders import answer_marker, engine, request

ADDRESS = "127.0.0.1:1"


class Setting:
    """One engine behind a memory port, and what came through its one stream."""

    def __init__(self, latency_seconds=0.0, renders_tokens=True, **options):
        self.clock = VirtualClock()
        self.host = EngineHost(engine(self.clock, **options))
        way = MemoryWay(self.clock, latency_seconds, renders_tokens=renders_tokens)
        self.port = MemoryEnginePort(way, {ADDRESS: self.host})
        self.collector = AnswerCollector()
        self.results = []

    def open(self, call, address=ADDRESS):
        stream = self.port.open_stream(address, call, self.collector.add)
        stream.finished.addCallback(self.results.append)
        return stream


@pytest.mark.parametrize("latency", [0.0, 0.3])
@pytest.mark.parametrize("steps_per_report", [1, 3, None])
def test_a_stream_gives_the_expected_answer(steps_per_report, latency):
    setting = Setting(latency, steps_per_report=steps_per_report)
    call = request("r1", "first", answer_marker(7))
    setting.open(call)
    setting.clock.advance(5)
    (result,) = setting.results
    assert result.ok_value.content == expected_answer(call.messages, 100)
    assert setting.collector.result() == result
    assert result.ok_value.usage.completion_tokens == 7


def test_a_tool_call_ends_the_stream_and_its_loss_changes_the_next_answer():
    setting = Setting()
    call = request("r1", "[tool-call:hint] [answer-tokens:2]")
    setting.open(call)
    setting.clock.advance(5)
    (result,) = setting.results
    assert result == setting.collector.result()
    assert result.ok_value.finish_reason is FinishReason.TOOL_CALLS
    calls = result.ok_value.tool_calls
    assert msgspec.json.decode(calls)[0]["function"]["name"] == "hint"
    spaced = msgspec.Raw(msgspec.json.format(bytes(calls), indent=2))
    answers = [
        expected_answer([ChatMessage("assistant", "a", tool_calls=kept)], 9)
        for kept in (calls, spaced, msgspec.UNSET)
    ]
    assert answers[0] == answers[1] != answers[2]


def test_a_stream_without_tokens_has_the_same_result():
    setting = Setting(renders_tokens=False)
    call = request("r1", answer_marker(7))
    pieces = []
    stream = setting.port.open_stream(ADDRESS, call, pieces.append)
    stream.finished.addCallback(setting.results.append)
    setting.clock.advance(5)
    assert setting.results[0].ok_value.content == expected_answer(call.messages, 100)
    assert pieces == [b": progress\n\n"] * 2


# fault, when it is ordered, whether the stream succeeds, `ran` otherwise
STREAM_FAULTS = [
    (FaultKind.DOWN, None, 0.0, Ran.NO),
    (FaultKind.DOWN, 2.0, 0.5, None),
    (FaultKind.DOWN, None, 0.5, Ran.YES),
    (FaultKind.REFUSE, 1, 0.0, Ran.NO),
    (FaultKind.ANSWER_LOST, 1, 0.0, None),
    (FaultKind.HANG, 1.0, 0.0, Ran.UNKNOWN),
    (FaultKind.HANG, None, 0.0, Ran.UNKNOWN),
    (FaultKind.BREAK_STREAMS, None, 0.5, None),
    (FaultKind.RESTART, 1.0, 0.5, Ran.YES),
    (FaultKind.SLOW_STEPS, 3.0, 0.5, None),
]


@pytest.mark.parametrize("steps_per_report", [1, None])
@pytest.mark.parametrize(("fault", "argument", "at", "failure"), STREAM_FAULTS)
def test_a_stream_under_a_fault(steps_per_report, fault, argument, at, failure):
    setting = Setting(steps_per_report=steps_per_report)
    call = request("r1", "first", answer_marker(10))
    if at == 0.0:
        setting.host.order_fault(fault, argument)
    setting.open(call)
    setting.clock.advance(0.5)
    if at:
        setting.host.order_fault(fault, argument)
    setting.clock.advance(30)
    (result,) = setting.results
    if failure is None:
        assert result.ok_value.content == expected_answer(call.messages, 100)
        assert setting.collector.result() == result
        assert setting.host.model.counters.requests_accepted == 1
    else:
        assert result.err_value.ran is failure


def test_a_paused_stream_loses_nothing():
    setting = Setting(steps_per_report=1)
    call = request("r1", answer_marker(10))
    stream = setting.open(call)
    setting.clock.advance(0.5)
    stream.pause()
    setting.clock.advance(5)
    assert setting.results == []
    stream.resume()
    assert setting.results[0] == setting.collector.result()
    assert setting.results[0].ok_value.content == expected_answer(call.messages, 100)


def test_a_cancelled_stream_stops_on_the_engine():
    setting = Setting(steps_per_report=1)
    stream = setting.open(request("r1", answer_marker(50)))
    setting.clock.advance(1)
    stream.cancel()
    assert setting.results[0].err_value.ran is Ran.YES
    assert setting.host.model.counters.requests_cancelled == 1


def test_an_unknown_address_certainly_runs_nothing():
    setting = Setting()
    setting.open(request("r1"), "127.0.0.1:2")
    assert setting.results[0].err_value.ran is Ran.NO
    replies = []
    setting.port.load("127.0.0.1:2").addCallback(replies.append)
    assert replies[0].err_value.ran is Ran.NO


def test_refusals_become_the_problems_of_the_http_client():
    setting = Setting()
    setting.open(request("r1", epoch=2))
    setting.open(request("r1", epoch=2))
    setting.open(request("r2", epoch=1))
    duplicate, stale = (result.err_value for result in setting.results[-2:])
    assert duplicate.ran is Ran.YES
    assert stale.is_code(ProblemCode.STALE_EPOCH)
    assert stale.ran is Ran.NO
    released = []
    program = ProgramId("p1")
    setting.port.release(ADDRESS, program, Epoch(1)).addCallback(released.append)
    assert released[0].err_value.is_code(ProblemCode.STALE_EPOCH)


def record(name):
    return LogRecord(RecordId(name), "{}")


# fault, argument, reply's `ran` (None: it succeeds), seconds to it, records stored
LOG_FAULTS = [
    (FaultKind.DOWN, None, Ran.NO, 0.0, 0),
    (FaultKind.REFUSE, 1, Ran.NO, 0.0, 0),
    (FaultKind.SLOW, 3.0, None, 3.0, 1),
    (FaultKind.SLOW, 30.0, Ran.UNKNOWN, 10.0, 1),
    (FaultKind.ANSWER_LOST, 1, Ran.UNKNOWN, 0.0, 1),
    (FaultKind.HANG, None, Ran.UNKNOWN, 10.0, 0),
]


@pytest.mark.parametrize(("fault", "argument", "ran", "seconds", "stored"), LOG_FAULTS)
def test_an_append_under_a_fault(fault, argument, ran, seconds, stored):
    clock = VirtualClock()
    port = MemoryLogPort(MemoryWay(clock), LogStore(clock))
    port.faults.order_fault(fault, argument)
    replies = []
    port.append("table", (record("a"),)).addCallback(replies.append)
    if seconds:
        clock.advance(seconds - 0.1)
        assert replies == []
        clock.advance(0.1)
    assert port.store.stream_lengths().get("table", 0) == stored
    assert replies[0] == Ok(0) if ran is None else replies[0].err_value.ran is ran
    port.faults.clear_faults()
    port.append("table", (record("b"),)).addCallback(replies.append)
    assert replies[1] == Ok(stored)


def test_a_read_waits_for_the_first_record():
    clock = VirtualClock()
    port = MemoryLogPort(MemoryWay(clock), LogStore(clock))
    pages = []
    port.read("table", LogOffset(0), 10, 5.0).addCallback(pages.append)
    clock.advance(1)
    assert pages == []
    port.append("table", (record("a"), record("b")))
    assert [stored.id for stored in pages[0].ok_value.records] == ["a", "b"]
    port.read("table", LogOffset(2), 10, 5.0).addCallback(pages.append)
    clock.advance(5)
    assert pages[1].ok_value.records == ()
    assert pages[1].ok_value.end_offset == 2


def machine(name, state=MachineState.LIVE):
    region, zone = RegionName("r1"), ZoneName("z1")
    return Machine(name, MachineKind.MODEL_ENGINE, region, zone, ADDRESS, state)


def test_the_machine_list_lags_and_gives_changes():
    clock = VirtualClock()
    registry = MachineRegistry(clock, 3.0)
    port = MemoryMachineListPort(MemoryWay(clock), registry)
    seen = []

    def ask(after):
        port.changes(RegionName("r1"), after).addCallback(seen.append)
        return seen[-1].ok_value

    registry.put(machine("e1"))
    assert ask(None).machines == ()
    clock.advance(3)
    assert [found.name for found in ask(None).machines] == ["e1"]
    registry.put(machine("e2"))
    registry.put(machine("e1", MachineState.LEAVING))
    clock.advance(2)
    assert ask(1).machines == ()
    clock.advance(1)
    changes = ask(1)
    assert not changes.full
    assert changes.version == 3
    assert {found.name: found.state for found in changes.machines} == {
        "e1": MachineState.LEAVING,
        "e2": MachineState.LIVE,
    }
    assert ask(99).full


def test_the_weight_store_limits_its_rate():
    clock = VirtualClock()
    port = MemoryWeightStorePort(MemoryWay(clock), WeightStore(clock, 10.0, 20.0))
    replies = []
    for _ in range(2):
        port.start_pull("w", EngineName("e1")).addCallback(replies.append)
    assert isinstance(replies[1], Err)
    assert replies[1].err_value.retry_after == 10.0
    clock.advance(5)
    port.pull_fraction(replies[0].ok_value).addCallback(replies.append)
    assert replies[2] == Ok(0.25)
