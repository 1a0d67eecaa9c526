"""Tests of polling the machine list, and of the engine directory."""

from result import Err, Ok
from twisted.internet.task import Clock

from notcharch.clients.ports import MachineChanges, MachineKind, MachineState
from notcharch.errors import Problem, ProblemCode
from notcharch.placement.engine_directory import MachineEngineDirectory
from notcharch.placement.machine_list_follower import (
    MAX_OPEN_POLLS,
    MachineListFollower,
)
from notcharch.scheduling.zone_drains import DrainedZones
from tests.unit.placement.fakes import REGION, FakeMachineList, engine

DOWN = Err(Problem.of(ProblemCode.UNAVAILABLE, "down"))


class FollowedList:
    def __init__(self) -> None:
        self.clock = Clock()
        self.list = FakeMachineList()
        self.follower = MachineListFollower(self.clock, self.list, REGION, 1.0)
        self.directory = MachineEngineDirectory()
        self.follower.on_changes(self.directory.apply)
        self.follower.start()

    def respond(self, poll: int, version: int, *machines, full: bool = False) -> None:
        changes = MachineChanges(version, full, machines)
        self.list.polls[poll][1].callback(Ok(changes))

    def names(self):
        return [machine.name for machine in self.directory.all_engines()]

    def usable(self):
        return [machine.name for machine in self.directory.engines_of("pool")]


def test_a_leaving_engine_gets_nothing_new_after_the_next_poll():
    following = FollowedList()
    following.respond(0, 1, engine("one"), engine("two"), full=True)
    assert following.usable() == ["one", "two"]
    following.clock.advance(1)
    assert following.list.polls[1][0] == 1
    following.respond(1, 2, engine("one", MachineState.LEAVING))
    assert following.usable() == ["two"]
    assert following.names() == ["one", "two"]
    assert following.directory.engine("one").state is MachineState.LEAVING
    following.clock.advance(1)
    following.respond(2, 3, engine("one", MachineState.GONE))
    assert following.names() == ["two"]


def test_a_silent_or_down_list_changes_nothing():
    following = FollowedList()
    following.respond(0, 1, engine("one"), full=True)
    following.clock.advance(1)
    following.list.polls[1][1].callback(DOWN)
    following.clock.advance(1)
    following.list.polls[2][1].errback(RuntimeError("broken"))
    following.clock.pump([1.0] * 10)
    assert following.usable() == ["one"]


def test_a_list_that_hung_is_followed_as_soon_as_it_answers_new_polls():
    following = FollowedList()
    following.respond(0, 1, engine("one"), full=True)
    following.clock.pump([1.0] * 30)
    following.respond(-1, 2, engine("one", MachineState.LEAVING))
    assert following.usable() == []
    in_flight = [
        response for _, response in following.list.polls if not response.called
    ]
    assert len(in_flight) == MAX_OPEN_POLLS - 1


def test_a_slow_list_is_followed():
    following = FollowedList()
    for second in range(30):
        if second >= 9:
            response = following.list.polls[second - 9][1]
            if not response.called:
                following.respond(second - 9, second, engine(f"at-{second}"))
        following.clock.advance(1)
    assert len(following.usable()) >= 2


def test_one_lost_answer_does_not_delay_the_next():
    following = FollowedList()
    following.respond(0, 1, engine("one"), full=True)
    following.clock.advance(1)
    following.clock.advance(1)
    following.respond(2, 2, engine("one", MachineState.LEAVING))
    assert following.usable() == []
    following.respond(1, 1)
    assert following.usable() == []
    assert following.follower.version == 2


def test_answers_in_the_wrong_order_never_go_back():
    following = FollowedList()
    following.respond(0, 1, engine("one"), full=True)
    following.clock.advance(1)
    following.clock.advance(1)
    following.respond(2, 3, engine("one", MachineState.LEAVING))
    following.respond(1, 2, engine("one"))
    assert following.usable() == []


def test_a_list_that_begins_again_is_taken_as_it_is():
    following = FollowedList()
    following.respond(0, 9, engine("one"), full=True)
    following.clock.advance(1)
    following.respond(1, 2, engine("two"), full=True)
    assert following.names() == ["two"]
    following.clock.advance(1)
    assert following.list.polls[2][0] == 2


def test_answers_after_a_stop_are_ignored():
    following = FollowedList()
    following.follower.stop()
    following.respond(0, 1, engine("one"), full=True)
    assert following.names() == []
    following.clock.advance(5)
    assert len(following.list.polls) == 1


def test_the_directory_tells_only_changes_and_knows_pools():
    directory = MachineEngineDirectory()
    notifications = []
    directory.on_change(lambda: notifications.append(1))
    both = MachineChanges(1, True, (engine("b"), engine("a", pool="other")))
    directory.apply(both)
    directory.apply(both)
    directory.apply(
        MachineChanges(2, False, (engine("daemon", kind=MachineKind.DAEMON),))
    )
    assert notifications == [1]
    assert [m.name for m in directory.all_engines()] == ["a", "b"]
    assert [m.name for m in directory.engines_of("other")] == ["a"]
    assert directory.engines_of("none") == ()
    assert directory.engine("none") is None


def drained(position: int, *zones: str) -> DrainedZones:
    return DrainedZones(frozenset(zones), position)


def test_the_engines_of_a_drained_zone_leave_until_it_is_given_back():
    following = FollowedList()
    received: list[list[str]] = []
    following.directory.on_change(lambda: received.append(following.usable()))
    following.respond(0, 1, engine("one"), engine("two"), full=True)
    assert following.directory.drain_zones(drained(1, "z"), 0.0).drained == {"z"}
    assert following.usable() == []
    assert following.names() == ["one", "two"]
    assert following.directory.engine("one").state is MachineState.LEAVING
    following.clock.advance(1)
    following.respond(1, 2, engine("three"))
    assert following.usable() == []
    following.directory.drain_zones(drained(2), 0.0)
    assert following.usable() == ["one", "three", "two"]
    assert received == [["one", "two"], [], [], ["one", "three", "two"]]


def test_an_older_version_takes_no_drain_back():
    following = FollowedList()
    following.respond(0, 1, engine("one"), full=True)
    following.directory.drain_zones(drained(5, "z"), 0.0)
    assert following.directory.drain_zones(drained(4), 0.0) is None
    assert following.usable() == []


def test_an_engine_that_leaves_by_itself_does_not_return_with_its_zone():
    following = FollowedList()
    following.respond(0, 1, engine("one", MachineState.LEAVING), full=True)
    following.directory.drain_zones(drained(1, "z"), 0.0)
    following.directory.drain_zones(drained(2), 0.0)
    assert following.usable() == []
