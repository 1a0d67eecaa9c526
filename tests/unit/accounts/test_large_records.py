"""Records that grow with names, calls under way, tenants or time, over a small log."""

from notcharch.calls.interface import NOT_RECORDED
from notcharch.journal.interface import LogLimits
from notcharch.tenants.interface import RateLimit, Tenant
from tests.unit.accounts.steps import EVENT, spend
from tests.unit.accounts.test_large_turns import go_on, text_of
from tests.unit.accounts.world import World

SMALL = LogLimits(record_bytes=300, call_bytes=1_000)
LONG_NAME = "n" * 4_000


def leave(world: World, *daemons: int) -> None:
    """Stop daemons as planned, so that they hand over what they own."""
    for daemon in daemons:
        world.services[world.names[daemon]].leave()
    world.run(1.0)


def test_a_program_with_a_long_name_is_admitted_and_blocks_no_other():
    """Guards against a bound whose record is as long as the caller's name for it."""
    world = World(log_limits=SMALL)
    spent, _ = spend(world, LONG_NAME, 500, 100)
    assert spent == 500
    assert world.log.refused_bytes == []
    world.restart_all()
    call = world.call(LONG_NAME, budget=500, token_limit=100)
    assert world.wait_for_decision(call).ticket is not None  # one call in doubt
    again = world.call(LONG_NAME, budget=500, token_limit=100)
    assert world.wait_for_decision(again).refusal.status == 402


def test_a_turn_with_long_names_is_stored():
    world = World(log_limits=SMALL)
    call = world.call(LONG_NAME, body=b"a")
    call.id = "t" * 4_000
    assert world.store_turn(call, EVENT).is_durable
    world.restart_all()
    assert go_on(world, LONG_NAME, call.id).body == b"ahello\nnext"
    assert go_on(world, "another", call.id).body == b"ahello\nnext"
    assert world.log.refused_bytes == []


def test_an_account_with_many_calls_under_way_is_handed_over_to_the_token():
    world = World(log_limits=SMALL)
    calls = [world.call(budget=10_000, token_limit=100) for _ in range(60)]
    listeners = [world.wait_for_decision(call, at=2) for call in calls]
    assert all(listener.ticket is not None for listener in listeners)
    leave(world, 0, 1)
    for listener in listeners:
        listener.ticket.interrupted(1)
    world.run(0.2)
    spent, _ = spend(world, "p", 10_000, 1_000, at=lambda _: 2)
    assert spent == 9_000  # 60 calls used 10 tokens each
    assert world.log.refused_bytes == []


def test_the_limits_of_many_tenants_are_handed_over():
    """Guards against one record of all tenants, without which the next owner starts anew."""
    world = World(log_limits=SMALL)
    names = [f"tenant-{number}" for number in range(80)]
    for name in names:
        world.tenants[name] = Tenant(name, limit=RateLimit(40.0, 40.0))
    world.run(6.0)
    for name in names:
        world.wait_for_decision(world.call("p", budget=None, tenant=name), at=2)
    leave(world, 0, 1)
    assert world.log.refused_bytes == []
    admitted = [
        world.wait_for_decision(world.call("p", budget=None, tenant=name), at=2)
        for name in names
        for _ in range(5)
    ]
    assert all(listener.ticket is not None for listener in admitted)


def test_a_call_whose_bound_the_log_refuses_is_refused_at_once():
    """Guards against an account's record that is refused for good and sent on and on."""
    world = World()
    world.run(6.0)
    world.log.limits = LogLimits(record_bytes=200, call_bytes=1_000)
    names = (f"{LONG_NAME[:300]}{number}" for number in range(100))
    program = next(name for name in names if same_partition(world, name, "p"))
    call = world.call(program, budget=1_000, token_limit=700)
    listener = world.wait_for_decision(call)
    assert listener.refusal == NOT_RECORDED
    assert world.clock.seconds() - call.arrived < 0.2
    assert len(world.log.refused_bytes) == 1
    beside = world.call("p", budget=1_000, token_limit=700)
    assert world.wait_for_decision(beside).ticket is not None


def same_partition(world: World, first: str, second: str) -> bool:
    of_program = world.partitioning.of_program
    return of_program(first) == of_program(second)


def test_large_turns_outlive_the_retention_of_the_log():
    """Their records are written again before the log drops them, not all at once."""
    world = World()
    last, chain = "", b""
    for number in range(6):
        call = world.call(
            budget=None, previous=last, body=text_of(str(number), 1_500_000)
        )
        assert world.store_turn(call, EVENT).is_durable
        last, chain = call.id, chain + call.body + b"hello\n"
    ends = [partition.end for partition in world.partitions]
    for _ in range(29):
        world.run(10.0)
        assert go_on(world, "p", last).body == chain + b"next"
    for partition, end in zip(world.partitions, ends, strict=True):
        partition.drop_before(end)
    world.restart_all()
    assert go_on(world, "p", last).body == chain + b"next"


def test_turns_are_written_again_in_portions():
    world = World()
    for number in range(6):
        body = text_of(str(number), 1_500_000)
        assert world.store_turn(world.call(budget=None, body=body), EVENT).is_durable
    [partition] = [place for place in world.partitions if len(place.records) > 10]
    for _ in range(15):
        world.run(10.0)
        for listener in world.listeners:  # callers come back, so that turns are kept
            assert listener.is_durable
        for service in world.services.values():
            for owned in service._default_group._owned_partitions._partitions.all():
                for turn in list(owned._ledger.turns._turns):
                    owned._ledger.turns.touch(turn, world.clock.seconds())
    sizes = []
    for _ in range(8):
        end = partition.end
        world.run(10.0)
        sizes.append(sum(map(len, partition.records[end - partition.first :])))
    assert sum(sizes) >= 9_000_000
    assert max(sizes) < 5_000_000
