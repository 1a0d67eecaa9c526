"""Placement of calls by a dispatcher and two stewards, in-memory transport."""

import pytest

from notcharch.clients.ports import MachineState
from notcharch.errors import ProblemCode, Ran
from tests.unit.engines.calls import admitted, place
from tests.unit.engines.region import Region


def result_of(deferred):
    assert deferred.called, "no result yet"
    return deferred.result


def granted_engine(region, node, call, **options):
    placing = place(node, call, **options)
    region.run(0.5)
    return result_of(placing).unwrap().engine


def test_a_new_call_is_granted_on_an_engine_of_the_pool():
    region = Region()
    assert granted_engine(region, region.nodes["d2"], admitted()) in {"e1", "e2"}


def test_the_holder_of_the_prefix_is_asked_first():
    region = Region()
    for number in range(2):
        call = admitted(f"r1-0-{number}", sequence=2, holder="e2", cached=5000)
        assert granted_engine(region, region.nodes["d1"], call) == "e2"


def test_a_full_holder_is_left_when_refilling_is_cheaper():
    region = Region()
    node = region.nodes["d1"]
    for number in range(2):
        granted_engine(region, node, admitted(f"r1-0-{number}", 2, "e2", 5000))
    # Waiting at e2 takes a second, refilling ten tokens at e1 takes 0.01 s.
    assert granted_engine(region, node, admitted("r1-0-9", 2, "e2", 10)) == "e1"


def test_a_full_holder_is_waited_for_when_refilling_costs_more():
    region = Region()
    node = region.nodes["d1"]
    first = place(node, admitted("r1-0-0", 2, "e2", 5000, 100_000))
    second = place(node, admitted("r1-0-1", 2, "e2", 5000, 100_000))
    region.run(0.5)
    third = place(node, admitted("r1-0-2", 2, "e2", 99_000, 100_000))
    region.run(0.5)
    assert not third.called
    assert result_of(second).unwrap().engine == "e2"
    node.dispatcher.return_grant(result_of(first).unwrap(), None, engine_failed=False)
    region.run(0.5)
    assert result_of(third).unwrap().engine == "e2"


def test_a_call_is_refused_at_once_when_the_wait_is_too_long():
    region = Region(engines=1, slots=1)
    node = region.nodes["d1"]
    place(node, admitted("r1-0-0"))
    region.run(0.5)
    refused = place(node, admitted("r1-0-1"), give_up_seconds=1.0)
    region.run(0.1)
    problem = result_of(refused).unwrap_err()
    assert problem.is_code(ProblemCode.OVERLOADED)
    assert problem.retry_after == 1.0
    assert problem.ran == Ran.NO


def test_a_leaving_engine_gets_no_new_grant_and_its_queue_goes_elsewhere():
    region = Region(engines=2, slots=1)
    node = region.nodes["d1"]
    first = place(node, admitted("r1-0-0", 2, "e2", 90_000, 90_000))
    region.run(0.5)
    waiting = place(node, admitted("r1-0-1", 2, "e2", 90_000, 90_000))
    region.run(0.5)
    assert not waiting.called
    region.set_machine("e2", MachineState.LEAVING)
    region.run(0.5)
    assert result_of(waiting).unwrap().engine == "e1"
    assert result_of(first).unwrap().engine == "e2"


def test_cancelling_withdraws_a_queued_call():
    region = Region(engines=1, slots=1)
    node = region.nodes["d2"]
    first = place(node, admitted("r1-0-0"))
    region.run(0.5)
    cancelled = place(node, admitted("r1-0-1"))
    cancelled.addErrback(lambda failure: "cancelled")
    region.run(0.5)
    cancelled.cancel()
    region.run(0.5)
    assert region.engine_steward("e1").state.queued == 0
    node.dispatcher.return_grant(result_of(first).unwrap(), None, engine_failed=False)
    region.run(0.5)
    assert region.engine_steward("e1").state.granted == 0


def test_without_engines_the_answer_comes_soon_and_says_when_to_come_back():
    region = Region(engines=1)
    region.set_machine("e1", MachineState.LEAVING)
    refused = place(region.nodes["d2"])
    region.run(1.0)
    problem = result_of(refused).unwrap_err()
    assert problem.is_code(ProblemCode.NO_ENGINE)
    assert problem.retry_after is not None


def region_with_a_full_holder(**options):
    """Two engines; the one that has cached 90,000 tokens of the program is full."""
    region = Region(engines=2, slots=1, **options)
    node = region.nodes["d1"]
    granted_engine(region, node, admitted("r1-0-0", 2, "e2", 90_000, 90_000))
    region.engine("e2").store("r1-0-1", 90_000)
    engine_steward = region.engine_steward("e2")
    engine_steward.state.load.learn_occupancy(500.0)
    return region


MOVES = {
    "a move costs less than waiting and refilling": (100_000.0, False, "e1", 90_000),
    "without a mover the prefix is computed again": (0.0, False, "e1", None),
    "a failed move still gives the grant": (100_000.0, True, "e1", None),
}


@pytest.mark.parametrize(
    ("rate", "broken", "engine", "tokens"), MOVES.values(), ids=MOVES.keys()
)
def test_prefixes_move_when_that_is_the_cheapest(rate, broken, engine, tokens):
    region = region_with_a_full_holder(move_rate=rate)
    if broken:
        region.engine("e2").cached.clear()
    call = admitted("r1-0-1", 2, "e2", 90_000, 90_000)
    placing = place(region.nodes["d1"], call, give_up_seconds=1000.0)
    region.run(1.0)
    assert result_of(placing).unwrap().engine == engine
    assert region.engine("e1").cached.get("r1-0-1") == tokens
    if tokens:
        assert "r1-0-1" not in region.engine("e2").cached


def test_a_move_that_hangs_is_left_after_a_while():
    region = region_with_a_full_holder(move_rate=100_000.0)
    region.engine("e2").hangs = True
    call = admitted("r1-0-1", 2, "e2", 90_000, 90_000)
    placing = place(region.nodes["d1"], call, give_up_seconds=1000.0)
    region.run(1.0)
    assert not placing.called
    region.run(3.0)
    assert result_of(placing).unwrap().engine == "e1"
    assert region.nodes["d1"].dispatcher._mover.tokens_per_second < 100_000.0


def test_cancelling_during_a_move_gives_the_grant_back():
    region = region_with_a_full_holder(move_rate=100_000.0)
    region.engine("e2").hangs = True
    call = admitted("r1-0-1", 2, "e2", 90_000, 90_000)
    cancelled = place(region.nodes["d1"], call, give_up_seconds=1000.0)
    cancelled.addErrback(lambda failure: "cancelled")
    region.run(1.0)
    assert region.engine_steward("e1").state.granted == 1
    cancelled.cancel()
    region.run(1.0)
    assert region.engine_steward("e1").state.granted == 0


def test_a_lost_grant_reply_is_withdrawn():
    region = Region(daemons=2, engines=1, slots=1)
    placing = place(region.nodes["d2"], give_up_seconds=1.0)
    region.run(0.001)
    region.fabric.cut(["d1"], ["d2"], one_way=True)
    region.run(4.0)
    region.fabric.heal()
    region.run(8.0)
    assert result_of(placing).unwrap_err().ran == Ran.NO
    assert region.engine_steward("e1").state.granted == 0


def test_an_engine_that_failed_the_call_is_avoided_while_there_is_another():
    region = Region()
    node = region.nodes["d1"]
    for number in range(4):
        call = admitted(f"r1-0-{number}", 2, "e2", 5000)
        avoid = frozenset({"e2"})
        assert granted_engine(region, node, call, avoid=avoid) == "e1"
        region.run(60)
    call = admitted("r1-0-9", 2, "e2", 5000)
    assert granted_engine(region, node, call, avoid=frozenset({"e1", "e2"})) == "e2"
