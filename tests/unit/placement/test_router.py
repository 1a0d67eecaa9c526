"""Tests of the router with scripted daemons."""

from random import Random

import pytest
from result import Err, Ok
from twisted.internet.task import Clock

from emulator.peers.time import run_for
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.journal.owner_names import OwnerName
from notcharch.placement.assignment import Assignment
from notcharch.placement.router import ENGINE_CHOICE_TIMEOUT_SECONDS, PlacementRouter
from notcharch.values.identifiers import EngineName, PartitionNumber, ProgramId
from notcharch.wire.messages.engines import Acknowledged, ListEngines, QuoteEngine
from tests.unit.placement.fakes import FakeNetwork, FakeView, live

PARTITION = PartitionNumber(5)
ENGINE = EngineName("engine-1")
MEMBERS = [live("a", "x"), live("b", "y"), live("c", "z")]
DONE = Ok(Acknowledged())


def refused(code: ProblemCode, ran: Ran = Ran.NO, hint: str | None = None):
    return Err(Problem.of(code, "no", ran=ran, hint=hint))


class Owners:
    """Returns one owner for every partition; counts `suspect_stale` calls."""

    def __init__(self, name: str | None) -> None:
        self.name = name
        self.stale_reports = 0

    def owner(self, partition):
        del partition
        return None if self.name is None else OwnerName(self.name, f"{self.name}:1")

    def suspect_stale(self):
        self.stale_reports += 1


class Routing:
    """A router whose daemons reply by `replies`: a reply or a function for each name."""

    def __init__(self, replies, members=MEMBERS) -> None:
        self.clock = Clock()
        self.replies = replies
        self.network = FakeNetwork(self._reply, self.clock)
        self.view = FakeView(members)
        self.owners = Owners("a")
        self.router = PlacementRouter(
            self.network, Assignment(self.view), self.owners, self.clock, Random(3)
        )

    def _reply(self, destination, message):
        del message
        reply = self.replies[destination]
        return reply() if callable(reply) else reply

    def request(self, timeout: float = 10.0):
        """Return the reply and the seconds that it took."""
        return self.wait(self.router.to_partition(PARTITION, ListEngines(), timeout))

    def wait(self, pending):
        replies = []
        pending.addCallback(lambda reply: replies.append((reply, self.clock.seconds())))
        start = self.clock.seconds()
        run_for(self.clock, 30.0)
        ((reply, end),) = replies
        return reply, end - start


NOT_LEADER = refused(ProblemCode.NOT_LEADER)


def test_the_hint_is_followed_and_remembered():
    hinted = refused(ProblemCode.NOT_LEADER, hint="elsewhere")
    routing = Routing({"a": hinted, "b": hinted, "c": hinted, "elsewhere": DONE})
    reply, _ = routing.request()
    assert reply == DONE
    assert len(routing.network.destinations) == 2
    routing.network.destinations.clear()
    routing.request()
    assert routing.network.destinations == ["elsewhere"]


def test_without_a_hint_the_owner_is_doubted_and_asked_again():
    routing = Routing({"a": NOT_LEADER})
    reply, seconds = routing.request(timeout=1.0)
    assert set(routing.network.destinations) == {"a"}
    assert len(routing.network.destinations) > 1
    assert routing.owners.stale_reports >= len(routing.network.destinations)
    assert reply.err_value.is_code(ProblemCode.NOT_LEADER)
    assert reply.err_value.ran is Ran.NO
    assert reply.err_value.retry_after is not None
    assert seconds <= 1.0


def test_a_partition_that_moved_is_found_once_the_owners_are_known():
    leader = ["a"]

    def reply_of(name):
        return lambda: DONE if leader[0] == name else NOT_LEADER

    routing = Routing({name: reply_of(name) for name in "abc"})
    for name in "abcab":
        leader[0] = name
        routing.owners.name = name
        assert routing.request()[0] == DONE
    assert set(routing.network.destinations) == {"a", "b", "c"}


def test_daemons_that_name_each_other_do_not_make_a_loop():
    replies = {
        name: refused(ProblemCode.NOT_LEADER, hint=hint)
        for name, hint in (("a", "b"), ("b", "c"), ("c", "a"))
    }
    routing = Routing(replies)
    reply, seconds = routing.request(timeout=3.0)
    assert reply.err_value.is_code(ProblemCode.NOT_LEADER)
    assert seconds <= 3.0
    assert len(routing.network.destinations) < 60


@pytest.mark.parametrize(
    "final",
    [
        refused(ProblemCode.BUDGET_EXHAUSTED),
        refused(ProblemCode.OVERLOADED),
        refused(ProblemCode.BAD_REQUEST),
        refused(ProblemCode.INTERNAL, Ran.UNKNOWN),
        refused(ProblemCode.TIMED_OUT, Ran.UNKNOWN),
        refused(ProblemCode.UNAVAILABLE, Ran.UNKNOWN),
        refused(ProblemCode.NOT_LEADER, Ran.UNKNOWN),
    ],
)
def test_a_final_answer_is_given_at_once_and_nothing_is_asked_again(final):
    routing = Routing({"a": final, "b": final, "c": final})
    reply, seconds = routing.request(timeout=25.0)
    assert reply == final
    assert seconds < 0.01
    assert len(routing.network.destinations) == 1


@pytest.mark.parametrize("code", [ProblemCode.UNAVAILABLE, ProblemCode.DRAINING])
def test_the_successor_of_an_unreachable_or_draining_daemon_is_found(code):
    routing = Routing({"a": refused(code), "b": DONE})
    pending = routing.router.to_partition(PARTITION, ListEngines(), 5.0)
    routing.clock.advance(0.01)
    assert routing.owners.stale_reports == 1
    routing.owners.name = "b"
    reply, seconds = routing.wait(pending)
    assert reply == DONE
    assert seconds < 0.1


def test_a_try_never_outlives_the_deadline():
    routing = Routing(dict.fromkeys("abc", NOT_LEADER))
    routing.request(timeout=2.0)
    assert max(routing.network.timeouts) <= 2.0
    assert routing.network.timeouts == sorted(routing.network.timeouts, reverse=True)


def test_without_time_for_another_try_the_answer_is_not_held_back():
    routing = Routing(dict.fromkeys("abc", NOT_LEADER))
    _, seconds = routing.request(timeout=0.02)
    assert seconds < 0.01


def test_nobody_is_known():
    routing = Routing({}, members=[])
    routing.owners.name = None
    reply, seconds = routing.request(timeout=1.0)
    assert routing.owners.stale_reports > 0
    assert reply.err_value.is_code(ProblemCode.UNAVAILABLE)
    assert reply.err_value.ran is Ran.NO
    assert seconds <= 1.0


def test_stewards_follow_hints_and_the_view():
    routing = Routing({})
    steward = routing.router.steward_of(ENGINE)
    others = {m.member.daemon for m in MEMBERS} - {steward}
    actual = sorted(others)[0]
    hinted = refused(ProblemCode.NOT_STEWARD, hint=actual)
    routing.replies = {steward: hinted, actual: DONE}
    reply, _ = routing.wait(routing.router.to_steward(ENGINE, ListEngines(), 5.0))
    assert reply == DONE
    assert routing.network.destinations == [steward, actual]
    routing.view.change(m for m in MEMBERS if m.member.daemon != steward)
    assert routing.router.steward_of(ENGINE) in others


@pytest.mark.parametrize("code", [ProblemCode.NOT_STEWARD, ProblemCode.UNAVAILABLE])
def test_a_call_that_may_go_to_another_engine_does_not_look_long_for_a_steward(code):
    routing = Routing({name: refused(code) for name in "abc"})
    question = QuoteEngine(ENGINE, ProgramId("r1-0-aa"), 10)
    reply, seconds = routing.wait(routing.router.to_steward(ENGINE, question, 10.0))
    assert reply.err_value.is_code(code)
    assert reply.err_value.retry_after is not None
    assert len(routing.network.destinations) > 1
    assert seconds <= ENGINE_CHOICE_TIMEOUT_SECONDS + 0.1
    other = routing.router.to_steward(ENGINE, ListEngines(), 10.0)
    assert routing.wait(other)[1] > 9.0
