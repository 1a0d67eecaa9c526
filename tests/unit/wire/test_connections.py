"""Faults of TCP connections between daemons."""

import itertools

import msgspec
import pytest
from result import Ok
from twisted.internet.defer import Deferred

from notcharch.errors import Ran
from notcharch.values.identifiers import EngineName, RegionName
from notcharch.wire.limits import DEFAULT_LIMITS
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import Acknowledged, DrainEngine, ListEngines
from tests.unit.wire.worlds import ALPHA, BETA, TcpWorld, has_fired, value_of

DRAIN = DrainEngine(EngineName("engine-1"), True)


async def acknowledge(sender: object, message: Message) -> Message:
    del sender, message
    return Acknowledged()


def outcome(asked):
    problem = value_of(asked).err_value
    return problem.code, problem.ran


def two(world: TcpWorld):
    alpha, beta = world.start(ALPHA), world.start(BETA)
    alpha.on_request(DrainEngine, acknowledge)
    beta.on_request(DrainEngine, acknowledge)
    return alpha, beta


def test_one_connection_carries_both_directions():
    world = TcpWorld()
    alpha, beta = two(world)
    world.run(0.1)
    for network, peer in ((alpha, BETA), (beta, ALPHA), (alpha, BETA)):
        asked = network.request(peer, DRAIN, 1.0)
        world.run(0.1)
        assert value_of(asked) == Ok(Acknowledged())
    assert len(world.reactor.pumps) == 1


def test_dialling_each_other_at_once_ends_in_one_connection():
    world = TcpWorld()
    alpha, beta = two(world)
    held = Deferred()
    beta.on_request(ListEngines, lambda sender, message: held)
    asked = [alpha.request(BETA, DRAIN, 60.0), beta.request(ALPHA, DRAIN, 60.0)]
    long = alpha.request(BETA, ListEngines(), 60.0)
    world.run(1)
    assert [value_of(a) for a in asked] == [Ok(Acknowledged())] * 2
    assert len(world.reactor.pumps) == 2
    held.callback(Acknowledged())
    world.run(1)
    assert value_of(long) == Ok(Acknowledged())
    assert len(world.reactor.open_connections()) == 1
    assert len(world.reactor.pumps) == 2


def test_failed_dials_back_off_and_requests_fail_meanwhile():
    world = TcpWorld()
    alpha, beta = two(world)
    beta.stop()
    for _ in range(200):
        asked = alpha.request(BETA, DRAIN, 60.0)
        world.run(0.1)
        assert outcome(asked) == ("unavailable", Ran.NO)
    gaps = [b - a for a, b in itertools.pairwise(world.reactor.dials)]
    assert len(world.reactor.dials) < 30
    assert max(gaps) <= DEFAULT_LIMITS.max_delay_seconds + 0.2
    assert gaps[-1] >= DEFAULT_LIMITS.max_delay_seconds / 2


def test_a_new_address_is_tried_at_once():
    world = TcpWorld()
    alpha, beta = two(world)
    beta.stop()
    for _ in range(5):
        alpha.request(BETA, DRAIN, 60.0)
        world.run(0.5)
    restarted = world.start(BETA, incarnation=2)
    restarted.on_request(DrainEngine, acknowledge)
    asked = alpha.request(BETA, DRAIN, 60.0)
    world.run(0.1)
    assert value_of(asked) == Ok(Acknowledged())


def test_a_request_that_was_never_written_did_not_run_and_never_will():
    world = TcpWorld()
    alpha, beta = two(world)
    ran = []
    beta.on_request(ListEngines, lambda sender, message: ran.append(message))
    world.reactor.black_hole = True
    asked = alpha.request(BETA, ListEngines(), 0.5)
    world.run(1)
    assert outcome(asked) == ("unavailable", Ran.NO)
    world.reactor.black_hole = False
    reached = beta.request(ALPHA, DRAIN, 5.0)
    world.run(5)
    assert value_of(reached) == Ok(Acknowledged())
    assert ran == []


def test_a_silent_connection_is_closed_though_the_time_out_is_far():
    world = TcpWorld()
    alpha, beta = two(world)
    beta.on_request(ListEngines, lambda sender, message: Deferred())
    asked = alpha.request(BETA, ListEngines(), 600.0)
    world.run(1)
    world.stall(BETA)
    world.run(4 * DEFAULT_LIMITS.silence_seconds)
    assert outcome(asked) == ("unavailable", Ran.UNKNOWN)
    again = alpha.request(BETA, DRAIN, 5.0)
    world.run(1)
    assert value_of(again) == Ok(Acknowledged())


@pytest.mark.parametrize("idle_first", [True, False])
def test_a_peer_that_lost_the_connection_alone_may_replace_it(idle_first):
    world = TcpWorld()
    networks = list(two(world))
    names = [ALPHA, BETA]
    if idle_first:
        networks.reverse()
        names.reverse()
    asked = networks[0].request(names[1], DRAIN, 5.0)
    world.run(10)
    assert value_of(asked) == Ok(Acknowledged())
    # The second side notices the cut, the first has nothing to notice it by.
    world.stall(BETA)
    lost = networks[1].request(names[0], DRAIN, 600.0)
    world.run(4 * DEFAULT_LIMITS.silence_seconds)
    assert outcome(lost) == ("unavailable", Ran.UNKNOWN)
    for network, peer in (
        (networks[1], names[0]),
        (networks[0], names[1]),
    ):
        again = network.request(peer, DRAIN, 5.0)
        world.run(4 * DEFAULT_LIMITS.silence_seconds)
        assert value_of(again) == Ok(Acknowledged())
    assert len(world.reactor.pumps) == 2
    assert len(world.reactor.open_connections()) == 1


def test_a_restart_behind_a_cut_fails_old_requests_as_soon_as_it_is_seen():
    world = TcpWorld()
    alpha, beta = two(world)
    beta.on_request(ListEngines, lambda sender, message: Deferred())
    asked = alpha.request(BETA, ListEngines(), 600.0)
    world.run(1)
    world.stall(BETA)
    restarted = world.start(BETA, incarnation=2)
    restarted.request(ALPHA, DRAIN, 5.0)
    world.run(0.2)
    assert outcome(asked) == ("unavailable", Ran.UNKNOWN)


def test_a_long_request_on_a_healthy_connection_is_not_cut_off():
    world = TcpWorld()
    alpha, beta = two(world)
    held = Deferred()
    beta.on_request(ListEngines, lambda sender, message: held)
    asked = alpha.request(BETA, ListEngines(), 600.0)
    world.run(100)
    assert not has_fired(asked)
    held.callback(Acknowledged())
    world.run(1)
    assert value_of(asked) == Ok(Acknowledged())


def test_a_full_buffer_refuses_unwritten():
    limits = msgspec.structs.replace(DEFAULT_LIMITS, buffer_bytes=300_000)
    world = TcpWorld(limits)
    alpha, _ = two(world)
    first = alpha.request(BETA, DRAIN, 60.0)
    world.run(0.1)
    value_of(first)
    world.stall(BETA)
    # One goes to the transport, two fit into the buffer.
    large = DrainEngine(EngineName("x" * 100_000), True)
    asked = [alpha.request(BETA, large, 60.0) for _ in range(10)]
    refused = [a for a in asked if has_fired(a)]
    assert len(refused) == 10 - 3
    for reply in refused:
        assert outcome(reply) == ("unavailable", Ran.NO)


def test_a_message_beyond_the_bound_is_refused_on_either_side():
    world = TcpWorld()
    alpha, beta = two(world)
    bound = 32 * 1024 * 1024
    asked = alpha.request(BETA, DrainEngine(EngineName("x" * bound), True), 5.0)
    assert outcome(asked) == ("body_too_large", Ran.NO)

    async def answer_much(sender, message):
        del sender, message
        return DrainEngine(EngineName("x" * bound), True)

    beta.on_request(ListEngines, answer_much)
    asked = alpha.request(BETA, ListEngines(), 5.0)
    world.run(1)
    assert outcome(asked) == ("body_too_large", Ran.UNKNOWN)


def test_an_outdated_process_is_refused():
    world = TcpWorld()
    world.start(BETA, incarnation=2)
    alpha = world.start(ALPHA)
    alpha.on_request(DrainEngine, acknowledge)
    asked = alpha.request(BETA, DRAIN, 1.0)
    world.run(0.5)
    assert outcome(asked) == ("bad_request", Ran.NO)
    outdated = world.start(BETA, incarnation=1)
    asked = outdated.request(ALPHA, DRAIN, 5.0)
    world.run(1)
    assert outcome(asked) == ("unavailable", Ran.NO)


def test_another_daemon_at_the_address_is_refused():
    world = TcpWorld()
    alpha, _ = two(world)
    alpha.set_address(BETA, world.addresses[ALPHA])
    asked = alpha.request(BETA, DRAIN, 5.0)
    world.run(1)
    assert outcome(asked) == ("unavailable", Ran.NO)


def test_another_region_is_refused():
    world = TcpWorld()
    alpha = world.start(ALPHA)
    world.start(BETA, region=RegionName("region2"))
    asked = alpha.request(BETA, DRAIN, 5.0)
    world.run(1)
    assert outcome(asked) == ("unavailable", Ran.NO)


@pytest.mark.parametrize("address", ["", "nonsense", "127.0.0.1:", "127.0.0.1:x"])
def test_an_address_that_is_none_is_unreachable(address):
    world = TcpWorld()
    alpha, _ = two(world)
    alpha.set_address(BETA, address)
    asked = alpha.request(BETA, DRAIN, 60.0)
    world.run(1)
    assert outcome(asked) == ("unavailable", Ran.NO)


@pytest.mark.parametrize(
    ("frame", "is_fatal"),
    [
        (b'["request",9,{"type":"OfTheFuture"}]', False),
        (b'["notice",{"type":"OfTheFuture"}]', False),
        (b'["reply",99,{"type":"OfTheFuture"}]', False),
        (b'["future"]', True),
        (b"garbage", True),
    ],
)
def test_what_is_not_understood_harms_no_other_request(frame, is_fatal):
    world = TcpWorld()
    alpha, beta = two(world)
    beta.on_request(ListEngines, lambda sender, message: Deferred())
    asked = alpha.request(BETA, ListEngines(), 60.0)
    world.run(0.1)
    world.reactor.pumps[0].client.transport.write(b"%d:%b," % (len(frame), frame))
    world.run(0.1)
    assert has_fired(asked) == is_fatal
    again = alpha.request(BETA, DRAIN, 5.0)
    world.run(1)
    assert value_of(again) == Ok(Acknowledged())


@pytest.mark.parametrize("data", [b"x", b"99999999999:", b"2:[]x"])
def test_bytes_that_are_no_netstring_end_the_connection(data):
    world = TcpWorld()
    alpha, beta = two(world)
    beta.on_request(ListEngines, lambda sender, message: Deferred())
    asked = alpha.request(BETA, ListEngines(), 60.0)
    world.run(0.1)
    world.reactor.pumps[0].client.transport.write(data)
    world.run(0.1)
    assert outcome(asked) == ("unavailable", Ran.UNKNOWN)


def test_too_many_requests_under_way_are_refused_unrun():
    limits = msgspec.structs.replace(DEFAULT_LIMITS, open_answers=3)
    world = TcpWorld(limits)
    alpha, beta = two(world)
    beta.on_request(ListEngines, lambda sender, message: Deferred())
    asked = [alpha.request(BETA, ListEngines(), 60.0) for _ in range(5)]
    world.run(0.5)
    assert [has_fired(a) for a in asked] == [False] * 3 + [True] * 2
    assert outcome(asked[-1]) == ("overloaded", Ran.NO)


def test_stopping_fails_what_is_open():
    world = TcpWorld()
    alpha, beta = two(world)
    beta.on_request(ListEngines, lambda sender, message: Deferred())
    asked = alpha.request(BETA, ListEngines(), 60.0)
    world.run(0.1)
    alpha.stop()
    assert outcome(asked) == ("unavailable", Ran.UNKNOWN)
    world.run(1)
    assert world.reactor.open_connections() == []
