"""The contract of the log service's partitions, kept alike by client and stand-in."""

from collections.abc import Callable

import attrs
import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred

from emulator.faults import FaultKind
from notcharch.journal.interface import (
    Appended,
    GroupName,
    KeyedRecord,
    LogFault,
    LogPartition,
    LogProblem,
    Membership,
    NewestPage,
    Ownership,
    Producer,
    Records,
)
from notcharch.journal.keyed_follower import join_keyed
from tests.contract.port_scenarios import in_both_worlds, run
from tests.contract.worlds import World

GROUP = GroupName("g", ("t",))
BYTES = (b"\x00\xff", b"", b"text")


@in_both_worlds
def test_records_are_read_back_as_they_were(new_world):
    async def scenario(world):
        journal = world.journal
        appended = await world.until(journal.append("t", 3, BYTES))
        assert appended == Ok(Appended(0, 3))
        assert await world.until(journal.read("t", 3, 1)) == Ok(
            Records(1, BYTES[1:], 3)
        )
        assert await world.until(journal.read("t", 4, 0)) == Ok(Records(0, (), 0))

    run(new_world, scenario)


@in_both_worlds
def test_a_read_waits_for_a_record(new_world):
    async def scenario(world):
        reading = world.journal.read("t", 0, 0, 5.0)
        await world.until(world.journal.append("t", 0, (b"a",)))
        assert await world.until(reading) == Ok(Records(0, (b"a",), 1))

    run(new_world, scenario)


@in_both_worlds
def test_producers_are_fenced_and_write_each_record_once(new_world):
    async def scenario(world):
        async def append(record, epoch, sequence):
            producer = Producer("w", epoch, sequence)
            appending = world.journal.append("t", 0, (record,), producer)
            return await world.until(appending)

        assert await append(b"a", 1, 1) == Ok(Appended(0, 1))
        assert await append(b"a", 1, 1) == Ok(Appended(0, 1))
        assert await append(b"c", 1, 3) == Err(LogProblem(LogFault.OUT_OF_ORDER))
        assert await append(b"b", 2, 9) == Ok(Appended(1, 2))
        assert await append(b"c", 1, 2) == Err(LogProblem(LogFault.FENCED))
        found = await world.until(world.journal.read("t", 0, 0))
        assert found.ok_value.records == (b"a", b"b")

    run(new_world, scenario)


@in_both_worlds
def test_trimmed_records_are_gone(new_world):
    async def scenario(world):
        journal = world.journal
        await world.until(journal.append("t", 0, BYTES))
        assert await world.until(journal.trim("t", 0, 2)) == Ok(None)
        gone = await world.until(journal.read("t", 0, 0))
        assert gone == Err(LogProblem(LogFault.GONE, 2))
        assert await world.until(journal.read("t", 0, 2)) == Ok(
            Records(2, (b"text",), 3)
        )

    run(new_world, scenario)


@in_both_worlds
def test_the_newest_value_of_each_key(new_world):
    async def scenario(world):
        journal = world.journal
        written = (("a", b"1"), ("b", b"2"), ("a", b"3"), ("c", b"4"), ("c", b""))
        records = tuple(join_keyed(key, value) for key, value in written)
        await world.until(journal.append("keyed.t", 0, records))
        page = await world.until(journal.newest("keyed.t", 0))
        items = (KeyedRecord("a", b"3", 2), KeyedRecord("b", b"2", 1))
        assert page == Ok(NewestPage(items, False, 5))
        after = await world.until(journal.newest("keyed.t", 0, "a"))
        assert after.ok_value.items == items[1:]

    run(new_world, scenario)


@in_both_worlds
def test_a_group_deals_partitions_and_passes_them_on_when_the_holder_knows(new_world):
    async def scenario(world):
        async def join(member, generation):
            joining = world.journal.join(GROUP, member, 30.0, generation)
            return (await world.until(joining)).ok_value

        first = await join("m1", 0)
        assert isinstance(first, Membership)
        assert first.partitions[0] == LogPartition("t", 0)
        assert len(first.partitions) == 16
        second = await join("m2", 0)
        assert second.partitions == ()
        told = await join("m1", first.generation)
        assert len(told.partitions) == 8
        assert (await join("m2", second.generation)).partitions == ()
        await join("m1", told.generation)
        dealt = (await join("m2", second.generation)).partitions
        assert sorted((*told.partitions, *dealt)) == sorted(first.partitions)
        assert await world.until(world.journal.leave("g", "m1")) == Ok(None)
        owners = (await world.until(world.journal.owners("g"))).ok_value
        assert {owner.member for owner in owners} == {"m2"}
        assert owners[0] == Ownership(LogPartition("t", 0), "m2")

    run(new_world, scenario)


@attrs.frozen
class Call:
    """A call of the port."""

    name: str
    begin: Callable[[World], Deferred]


CALLS = (
    Call("append", lambda world: world.journal.append("t", 0, (b"a",))),
    Call("read", lambda world: world.journal.read("t", 0, 0)),
    Call("trim", lambda world: world.journal.trim("t", 0, 0)),
    Call("newest", lambda world: world.journal.newest("keyed.t", 0)),
    Call("join", lambda world: world.journal.join(GROUP, "m", 30.0, 0)),
    Call("leave", lambda world: world.journal.leave("g", "m")),
    Call("owners", lambda world: world.journal.owners("g")),
)
calls = pytest.mark.parametrize("call", CALLS, ids=lambda case: case.name)


@in_both_worlds
@calls
@pytest.mark.parametrize(
    ("kind", "fault"),
    [
        (FaultKind.DOWN, LogFault.NOT_DONE),
        (FaultKind.REFUSE, LogFault.NOT_DONE),
        (FaultKind.ANSWER_LOST, LogFault.UNKNOWN),
    ],
)
def test_what_a_failed_call_says(new_world, call, kind, fault):
    async def scenario(world):
        world.order_fault("log", kind)
        answer = await world.until(call.begin(world))
        assert answer == Err(LogProblem(fault))

    run(new_world, scenario)


@in_both_worlds
@calls
def test_a_call_without_an_answer_is_unknown(new_world, call):
    async def scenario(world):
        world.order_fault("log", FaultKind.HANG)
        answer = await world.time_out("log", lambda: call.begin(world))
        assert answer == Err(LogProblem(LogFault.UNKNOWN))

    run(new_world, scenario)


@in_both_worlds
def test_an_append_whose_answer_was_lost_is_there(new_world):
    async def scenario(world):
        world.order_fault("log", FaultKind.ANSWER_LOST)
        await world.until(world.journal.append("t", 0, (b"a",)))
        found = await world.until(world.journal.read("t", 0, 0))
        assert found == Ok(Records(0, (b"a",), 1))

    run(new_world, scenario)
