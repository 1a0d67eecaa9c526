"""A steward with engines and gateways that fail, leave or report wrongly."""

import pytest

from notcharch.clients.ports import MachineState
from notcharch.errors import ProblemCode
from notcharch.values.identifiers import DaemonName, EngineName, Member
from notcharch.wire.messages.engines import CancelQueued, GrantReturned
from tests.unit.engines.calls import admitted, enqueue, place
from tests.unit.engines.region import Region


def granted(region, node, program):
    placing = place(region.nodes[node], admitted(program))
    region.run(0.5)
    return placing.result.unwrap()


def leaves_by_list(region):
    region.set_machine("e1", MachineState.LEAVING)


def leaves_by_own_report(region):
    region.engine("e1").state = MachineState.LEAVING


def stops_answering(region):
    region.engine("e1").down = True


def hangs(region):
    region.engine("e1").hangs = True


@pytest.mark.parametrize(
    ("fault", "seconds"),
    [
        (leaves_by_list, 0.1),
        (leaves_by_own_report, 3.0),
        (stops_answering, 3.0),
        (hangs, 4.5),
    ],
)
def test_an_engine_that_goes_gets_no_new_grant_soon(fault, seconds):
    region = Region(daemons=2, engines=1)
    fault(region)
    region.run(seconds)
    refused = place(region.nodes["d2"])
    region.run(2.0)
    assert refused.result.unwrap_err().is_code(ProblemCode.NO_ENGINE)
    assert region.engine_steward("e1").state.granted == 0


def test_an_engine_that_answers_again_gets_work_again():
    region = Region(daemons=2, engines=1)
    region.engine("e1").down = True
    region.run(5.0)
    region.engine("e1").down = False
    region.run(2.0)
    assert granted(region, "d2", "r1-0-1").engine == "e1"


def test_failing_runs_open_the_breaker_and_one_probe_closes_it():
    region = Region(daemons=2, engines=1)
    node = region.nodes["d2"]
    for number in range(5):
        grant = granted(region, "d2", f"r1-0-{number}")
        node.dispatcher.return_grant(grant, None, engine_failed=True)
        region.run(0.1)
    refused = place(node, admitted("r1-0-8"))
    region.run(1.0)
    assert refused.result.unwrap_err().is_code(ProblemCode.NO_ENGINE)
    region.run(2.0)
    probe = granted(region, "d2", "r1-0-9")
    second = place(node, admitted("r1-0-a"))
    region.run(1.5)
    assert second.result.is_err()
    node.dispatcher.return_grant(probe, None, engine_failed=False)
    region.run(0.1)
    assert granted(region, "d2", "r1-0-b").engine == "e1"


@pytest.mark.parametrize("certain", [True, False])
def test_grants_and_queued_calls_of_a_dead_gateway_are_freed(certain):
    region = Region(daemons=3, engines=1, slots=1)
    granted(region, "d3", "r1-0-1")
    place(region.nodes["d3"], admitted("r1-0-2"))
    region.run(0.1)
    dead_gateway = region.nodes["d3"].member
    region.fabric.crash(DaemonName("d3"))
    for node in region.nodes.values():
        node.view.members.remove(dead_gateway)
        if certain:
            node.view.dead.add(dead_gateway)
    region.run(1.5 if certain else 12.0)
    state = region.engine_steward("e1").state
    assert (state.granted, state.queued) == (0, 0)


def test_a_gateway_that_is_only_slow_keeps_its_grant():
    region = Region(daemons=3, engines=1, slots=1)
    region.engine("e1").running = 1
    granted(region, "d3", "r1-0-1")
    for node in region.nodes.values():
        node.view.members.remove(region.nodes["d3"].member)
    region.run(5.0)
    for node in region.nodes.values():
        node.view.members.append(region.nodes["d3"].member)
    region.run(20.0)
    assert region.engine_steward("e1").state.granted == 1


def test_a_grant_that_no_report_accounts_for_is_freed():
    region = Region(daemons=2, engines=1, slots=2)
    granted(region, "d2", "r1-0-1")
    active = granted(region, "d2", "r1-0-2")
    region.engine("e1").running = 1
    region.run(100.0)
    state = region.engine_steward("e1").state
    assert state.granted == 1
    assert state.grant(active.grant) is not None


def test_work_of_an_earlier_steward_counts_against_the_slots():
    region = Region(daemons=2, engines=1, slots=2)
    region.engine("e1").running = 2
    region.run(6.0)
    waiting = place(region.nodes["d2"])
    region.run(1.0)
    assert not waiting.called
    region.engine("e1").running = 0
    region.run(2.0)
    assert waiting.result.is_ok()


REPEATS = {
    "a repeated request joins the waiting one": ["enqueue", "enqueue", "return"],
    "a repeated return frees one slot only": ["return", "return", "enqueue"],
    "a withdrawal before its call": ["cancel", "enqueue"],
    "a withdrawal twice": ["enqueue", "cancel", "cancel"],
}


@pytest.mark.parametrize("steps", REPEATS.values(), ids=REPEATS.keys())
def test_repeated_and_reordered_messages_change_nothing_more(steps):
    region = Region(daemons=2, engines=1, slots=1)
    network = region.nodes["d2"].network
    gateway = Member("d2", 1)
    first = granted(region, "d2", "r1-0-1")
    other = EngineName("e1")
    messages = {
        "enqueue": enqueue(program="r1-0-2", gateway=gateway),
        "cancel": CancelQueued(other, "r1-0-2", 1, 1),
        "return": GrantReturned(other, first.grant, None, True),
    }
    replies = []
    for step in steps:
        replies.append(network.request(DaemonName("d1"), messages[step], 10.0))
        region.run(0.2)
    state = region.engine_steward("e1").state
    queued = "cancel" not in steps and steps[-1] != "return" and "return" not in steps
    assert state.queued == (1 if queued else 0)
    expected = 1
    assert state.granted == expected
    assert all(reply.called for reply in replies)


def test_a_call_is_refused_when_it_becomes_known_that_it_will_wait_too_long():
    region = Region(daemons=2, engines=1, slots=1)
    node = region.nodes["d2"]
    first = granted(region, "d2", "r1-0-1")
    waiting = [place(node, admitted(f"r1-0-{n}"), 20.0) for n in range(2, 6)]
    region.run(15.0)
    node.dispatcher.return_grant(first, None, engine_failed=False)
    region.run(2.0)
    # After one call of 15.5 s, the last of the queue is not expected within 20 s.
    refused = [w for w in waiting if w.called and w.result.is_err()]
    assert refused
    assert all(w.result.unwrap_err().retry_after >= 1 for w in refused)
