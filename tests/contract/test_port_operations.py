"""The contract of all other calls of the ports, kept alike by clients and stand-ins."""

from collections.abc import Callable

import attrs
import pytest
from result import Ok
from twisted.internet.defer import Deferred

from emulator.faults import FaultKind
from notcharch.clients.ports import (
    CachedProgram,
    CacheEventKind,
    EngineOrder,
    LogRecord,
    MachineState,
    OrderKind,
)
from notcharch.errors import ProblemCode, Ran
from tests.contract.port_scenarios import (
    LONG_ASK,
    Caller,
    assert_problem,
    in_both_worlds,
    request,
    run,
)
from tests.contract.worlds import World


@attrs.frozen
class Operation:
    """A plain call of a port on a target."""

    name: str
    target: str
    call: Callable[[World], Deferred]

    @property
    def failure_code(self) -> ProblemCode:
        if self.target == "model-1":
            return ProblemCode.ENGINE_FAILED
        return ProblemCode.UNAVAILABLE


def engine_operation(name: str, *arguments) -> Operation:
    def call(world):
        return getattr(world.engine, name)(world.address(), *arguments)

    return Operation(name, "model-1", call)


ORDER = EngineOrder("o1", 1, OrderKind.SET_ROLE, "prefill")
ENGINE_OPERATIONS = (
    engine_operation("load"),
    engine_operation("cache_events", 0, 10),
    engine_operation("cached_programs"),
    engine_operation("release", "p", 5),
    engine_operation("order", ORDER),
    engine_operation("export_cache", "p"),
)
OPERATIONS = (
    *ENGINE_OPERATIONS,
    Operation(
        "append", "log", lambda world: world.log.append("s", (LogRecord("r", "x"),))
    ),
    Operation("read", "log", lambda world: world.log.read("s", 0, 10)),
    Operation(
        "changes", "machine_list", lambda world: world.machines.changes("region1", None)
    ),
    Operation(
        "start_pull", "weight_store", lambda world: world.weights.start_pull("w", "e")
    ),
)
operations = pytest.mark.parametrize(
    "operation", OPERATIONS, ids=lambda case: case.name
)


async def fill(world: World) -> None:
    """Let the engine hold something of the program p."""
    await world.until(Caller(world, request()).stream.finished)


@in_both_worlds
@operations
def test_operation_succeeds_also_when_it_is_slow(new_world, operation):
    async def scenario(world):
        await fill(world)
        world.order_fault(operation.target, FaultKind.SLOW, 0.01)
        assert isinstance(await world.until(operation.call(world)), Ok)

    run(new_world, scenario)


@in_both_worlds
@operations
def test_operation_that_is_refused_did_not_run(new_world, operation):
    async def scenario(world):
        await fill(world)
        world.order_fault(operation.target, FaultKind.REFUSE)
        result = await world.until(operation.call(world))
        assert_problem(result, ProblemCode.UNAVAILABLE, Ran.NO)
        assert result.err_value.retry_after is not None
        assert isinstance(await world.until(operation.call(world)), Ok)

    run(new_world, scenario)


@in_both_worlds
@operations
def test_operation_on_a_target_that_is_down_did_not_run(new_world, operation):
    async def scenario(world):
        await fill(world)
        world.order_fault(operation.target, FaultKind.DOWN)
        await world.settle()
        result = await world.until(operation.call(world))
        assert_problem(result, operation.failure_code, Ran.NO)
        assert result.err_value.retry_after is not None

    run(new_world, scenario)


@in_both_worlds
@operations
def test_operation_whose_answer_is_lost_may_have_run(new_world, operation):
    async def scenario(world):
        await fill(world)
        world.order_fault(operation.target, FaultKind.ANSWER_LOST)
        result = await world.until(operation.call(world))
        assert_problem(result, operation.failure_code, Ran.UNKNOWN)
        assert result.err_value.retry_after is not None

    run(new_world, scenario)


@in_both_worlds
@operations
def test_operation_without_an_answer_in_time_may_have_run(new_world, operation):
    async def scenario(world):
        await fill(world)
        world.order_fault(operation.target, FaultKind.HANG)
        result = await world.time_out(operation.target, lambda: operation.call(world))
        assert_problem(result, ProblemCode.TIMED_OUT, Ran.UNKNOWN)
        assert result.err_value.retry_after is not None

    run(new_world, scenario)


@in_both_worlds
def test_append_whose_answer_is_lost_took_effect(new_world):
    async def scenario(world):
        world.order_fault("log", FaultKind.ANSWER_LOST)
        record = LogRecord("r1", "x")
        lost = await world.until(world.log.append("s/1", (record,)))
        assert lost.err_value.ran is Ran.UNKNOWN
        again = await world.until(world.log.append("s/1", (record, record)))
        assert again == Ok(1)
        page = (await world.until(world.log.read("s/1", 0, 2))).ok_value
        assert [stored.offset for stored in page.records] == [0, 1]
        assert {stored.id for stored in page.records} == {"r1"}
        assert (page.next_offset, page.end_offset) == (2, 3)

    run(new_world, scenario)


@in_both_worlds
def test_read_waits_for_the_first_record(new_world):
    async def scenario(world):
        reading = world.log.read("s", 0, 10, wait_seconds=5.0)
        await world.until(world.log.append("s", (LogRecord("r1", "é\n"),)))
        page = (await world.until(reading)).ok_value
        assert [stored.data for stored in page.records] == ["é\n"]
        end = (await world.until(world.log.read("s", 1, 10))).ok_value
        assert (end.records, end.next_offset, end.end_offset) == ((), 1, 1)

    run(new_world, scenario)


@in_both_worlds
def test_release_frees_once_and_is_fenced(new_world):
    async def scenario(world):
        await fill(world)
        address = world.address()
        held = (await world.until(world.engine.cached_programs(address))).ok_value
        assert held == (CachedProgram("p", held[0].tokens),)
        freed = await world.until(world.engine.release(address, "p", 5))
        assert freed.ok_value > 0
        assert await world.until(world.engine.release(address, "p", 5)) == Ok(0)
        assert await world.until(world.engine.cached_programs(address)) == Ok(())
        stale = await world.until(world.engine.release(address, "p", 4))
        assert_problem(stale, ProblemCode.STALE_EPOCH, Ran.NO)

    run(new_world, scenario)


@in_both_worlds
def test_cache_events_are_numbered_and_lost_ones_leave_a_gap(new_world):
    async def scenario(world):
        address = world.address()
        await fill(world)
        seen = (await world.until(world.engine.cache_events(address, 0, 100))).ok_value
        assert [event.kind for event in seen.events][-1] is CacheEventKind.STORED
        assert seen.next == seen.events[-1].sequence
        world.order_fault("model-1", FaultKind.EVENT_LOSS, 1.0)
        await world.until(world.engine.release(address, "p", 5))
        world.order_fault("model-1", FaultKind.EVENT_LOSS, 0.0)
        await world.until(Caller(world, request("r2")).stream.finished)
        later = world.engine.cache_events(address, seen.next, 100)
        events = (await world.until(later)).ok_value.events
        assert events[0].sequence > seen.next + 1

    run(new_world, scenario)


@in_both_worlds
def test_cache_moves_to_another_engine(new_world):
    async def scenario(world):
        await fill(world)
        source, target = world.address(), world.address("model-2")
        exported = (await world.until(world.engine.export_cache(source, "p"))).ok_value
        handle = exported.handle
        moving = world.engine.import_cache(target, "p", source, handle)
        assert await world.until(moving) == Ok(exported.tokens)
        held = await world.until(world.engine.cached_programs(target))
        assert held == Ok((CachedProgram("p", exported.tokens),))
        for missing in (
            world.engine.export_cache(source, "q"),
            world.engine.import_cache(target, "p", source, "no such handle"),
        ):
            result = await world.until(missing)
            assert_problem(result, ProblemCode.NOT_FOUND, Ran.NO)

    run(new_world, scenario)


@in_both_worlds
def test_orders_are_fenced_and_a_repeat_is_harmless(new_world):
    async def scenario(world):
        address = world.address()
        drain_order = EngineOrder("o1", 3, OrderKind.DRAIN, "")
        assert await world.until(world.engine.order(address, drain_order)) == Ok(None)
        undrain = EngineOrder("o2", 4, OrderKind.UNDRAIN, "")
        assert await world.until(world.engine.order(address, undrain)) == Ok(None)
        assert await world.until(world.engine.order(address, drain_order)) == Ok(None)
        assert not world.model().orders.drained
        stale = EngineOrder("o3", 3, OrderKind.DRAIN, "")
        result = await world.until(world.engine.order(address, stale))
        assert_problem(result, ProblemCode.STALE_EPOCH, Ran.NO)

    run(new_world, scenario)


@in_both_worlds
def test_load_counts_what_runs(new_world):
    async def scenario(world):
        caller = Caller(world, request(ask=LONG_ASK))
        await world.until_true(lambda: caller.seen)
        load = (await world.until(world.engine.load(world.address()))).ok_value
        assert (load.running, load.waiting) == (1, 0)
        assert load.total_blocks == 1000
        assert load.free_blocks < 1000
        assert load.state is MachineState.LIVE
        caller.assert_whole(await world.until(caller.stream.finished))

    run(new_world, scenario)


@in_both_worlds
def test_machine_list_gives_everything_and_then_changes(new_world):
    async def scenario(world):
        whole = (await world.until(world.machines.changes("region1", None))).ok_value
        assert whole.full
        names = {machine.name for machine in whole.machines}
        assert names == {"model-1", "model-2", "application-1"}
        world.order_fault("model-2", FaultKind.LEAVE)
        later = world.machines.changes("region1", whole.version)
        changes = (await world.until(later)).ok_value
        assert not changes.full
        (changed,) = changes.machines
        assert (changed.name, changed.state) == ("model-2", MachineState.LEAVING)
        assert changed.address == world.address("model-2")
        nothing = world.machines.changes("region1", changes.version)
        assert (await world.until(nothing)).ok_value.machines == ()
        elsewhere = world.machines.changes("region2", None)
        assert (await world.until(elsewhere)).ok_value.machines == ()

    run(new_world, scenario)


@in_both_worlds
def test_weight_store_limits_pulls(new_world):
    async def scenario(world):
        pull = (await world.until(world.weights.start_pull("w", "model-1"))).ok_value
        fraction = (await world.until(world.weights.pull_fraction(pull))).ok_value
        assert 0.0 <= fraction < 1.0
        refused = await world.until(world.weights.start_pull("w", "model-2"))
        assert_problem(refused, ProblemCode.OVERLOADED, Ran.NO)
        assert refused.err_value.retry_after > 0
        unknown = await world.until(world.weights.pull_fraction("no such pull"))
        assert_problem(unknown, ProblemCode.NOT_FOUND, Ran.NO)

    run(new_world, scenario)
