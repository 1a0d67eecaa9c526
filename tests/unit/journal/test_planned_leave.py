"""When a member that stops releases its partitions."""

import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from notcharch.events.journal import GroupRejoined, PartitionsKept, PartitionsReleased
from notcharch.journal.interface import LogFault, LogPartition, LogProblem, Ownership
from notcharch.journal.planned_leave import (
    ASK_SECONDS,
    WATCH_SECONDS,
    LeaveTerms,
    PlannedLeave,
)
from notcharch.journal.staying_members import MembersAsked
from tests.unit.events.capture import captured, of

MAX_SECONDS = 7.0
RELEASE_SECONDS = 0.5
NOBODY = MembersAsked(3, is_any_staying=False)
SOMEBODY = MembersAsked(3, is_any_staying=True)
OWNED = Ok((Ownership(LogPartition("t", 0), "d1|d1:1"),))


class Member:
    """A member of a group with four partitions, whose answers are set."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.is_lease_valid = True
        self.answer = NOBODY
        self.owners = Ok(())
        self.releases: list[float] = []
        """When partitions were released."""
        self.release_result = succeed(None)
        self.questions = 0
        self.rejoins = 0

    partition_count = 4

    def release(self):
        self.releases.append(self.clock.seconds())
        return self.release_result

    def rejoin(self) -> None:
        self.rejoins += 1

    def ask_members(self):
        self.questions += 1
        return succeed(self.answer)

    def read_owners(self):
        return succeed(self.owners)


class Scene:
    """One planned leave."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.member = Member(self.clock)
        self.not_needed: Deferred[None] = Deferred()
        self.is_over = False

    def begin(self) -> "Scene":
        terms = LeaveTerms(self.not_needed, MAX_SECONDS, RELEASE_SECONDS)
        leave = PlannedLeave(self.clock, "g", self.member, terms)
        leave.begin().addCallback(lambda _: setattr(self, "is_over", True))
        return self

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)


def test_partitions_move_at_once_while_another_member_stays():
    """Guards against a slower handover in a stop of few daemons."""
    scene = Scene()
    scene.member.answer = SOMEBODY
    scene.begin()
    assert scene.member.releases == [0.0]
    scene.run(1.0)
    assert scene.member.releases == [0.0]
    assert not scene.is_over
    scene.not_needed.callback(None)
    assert scene.is_over


def test_partitions_are_kept_while_no_member_stays():
    """Guards against a handover to daemons that stop as well."""
    scene = Scene().begin()
    scene.run(3.0)
    assert scene.member.releases == []
    scene.not_needed.callback(None)
    assert len(scene.member.releases) == 1
    assert scene.is_over


def test_partitions_are_released_to_a_member_that_starts():
    """Guards against two processes of a daemon that wait for each other's end."""
    scene = Scene().begin()
    scene.run(2.0)
    scene.member.answer = SOMEBODY
    scene.run(ASK_SECONDS + 0.05)
    assert len(scene.member.releases) == 1
    assert not scene.is_over


def test_partitions_are_released_before_the_grace_period_ends():
    """Guards against an owner that is killed before it has handed over."""
    scene = Scene().begin()
    scene.run(MAX_SECONDS + 0.05)
    assert scene.member.releases == [pytest.approx(MAX_SECONDS, abs=0.06)]
    assert scene.is_over


@pytest.mark.parametrize("answer", [SOMEBODY, NOBODY])
def test_a_release_that_takes_too_long_is_not_waited_for(answer):
    """Guards against a process that is killed as the store does not answer."""
    scene = Scene()
    scene.member.answer = answer
    scene.member.release_result = Deferred()
    scene.begin()
    scene.run(1.0)
    scene.not_needed.callback(None)
    assert not scene.is_over
    scene.run(RELEASE_SECONDS - 0.1)
    assert not scene.is_over
    scene.run(0.15)
    assert scene.is_over


def test_an_end_waits_for_a_release_that_is_under_way():
    """Guards against partitions whose state is not written when the process ends."""
    scene = Scene()
    scene.member.release_result = Deferred()
    scene.begin()
    scene.not_needed.callback(None)
    assert not scene.is_over
    scene.member.release_result.callback(None)
    assert scene.is_over


def test_an_end_without_a_lease_waits_for_nothing():
    """Guards against a longer stop of a daemon that owns nothing others could take."""
    scene = Scene()
    scene.member.is_lease_valid = False
    scene.member.release_result = Deferred()
    scene.begin()
    scene.not_needed.callback(None)
    assert scene.is_over


def test_a_daemon_with_calls_joins_again_when_no_member_is_left():
    """Guards against calls without an owner when the last member stops later."""
    scene = Scene()
    scene.member.answer = SOMEBODY
    scene.begin()
    scene.member.answer = NOBODY
    scene.run(WATCH_SECONDS + 0.05)
    assert scene.member.rejoins == 1
    scene.run(2.0)
    assert scene.member.rejoins == 1
    assert len(scene.member.releases) == 1
    scene.not_needed.callback(None)
    assert len(scene.member.releases) == 2


@pytest.mark.parametrize("owners", [OWNED, Err(LogProblem(LogFault.UNKNOWN))])
def test_a_daemon_does_not_join_again_while_there_may_be_a_member(owners):
    """Guards against partitions that move for members that leave soon."""
    scene = Scene()
    scene.member.answer = SOMEBODY
    scene.member.owners = owners
    scene.begin()
    scene.member.answer = NOBODY
    scene.run(3.0)
    assert scene.member.rejoins == 0


@pytest.mark.parametrize("is_time_up", [True, False])
def test_a_daemon_does_not_join_again_after_the_end(is_time_up):
    """Guards against partitions that an ended process owns until its lease expires."""
    scene = Scene()
    scene.member.answer = SOMEBODY
    scene.begin()
    pending = Deferred()
    scene.member.ask_members = lambda: pending
    scene.run(WATCH_SECONDS + 0.05)
    if is_time_up:
        scene.run(MAX_SECONDS)
    else:
        scene.not_needed.callback(None)
    assert scene.is_over
    pending.callback(NOBODY)
    scene.run(MAX_SECONDS)
    assert scene.member.rejoins == 0
    assert len(scene.member.releases) == 1


def test_a_defect_in_a_question_does_not_keep_the_partitions():
    """Guards against a process that is killed with its partitions."""
    scene = Scene()
    scene.member.ask_members = lambda: 1 / 0
    scene.begin()
    scene.run(1.0)
    scene.not_needed.callback(None)
    assert len(scene.member.releases) == 1
    assert scene.is_over


def test_a_defect_in_the_release_does_not_keep_the_process():
    """Guards against a process that waits for a release that has failed."""
    scene = Scene()
    scene.member.release = lambda: 1 / 0
    scene.begin()
    scene.not_needed.callback(None)
    scene.run(RELEASE_SECONDS + 0.05)
    assert scene.is_over


def test_questions_are_few():
    """Guards against messages that grow with the rate of checks."""
    scene = Scene().begin()
    scene.run(5.0)
    assert scene.member.questions <= 5.0 / ASK_SECONDS + 1


def test_keeping_and_releases_are_logged_with_their_counts():
    """Guards against a stop that an operator can't follow in the log."""
    with captured() as messages:
        scene = Scene().begin()
        scene.run(2.0)
        scene.member.answer = SOMEBODY
        scene.run(ASK_SECONDS)
        scene.member.answer = NOBODY
        scene.run(WATCH_SECONDS + 0.05)
        scene.not_needed.callback(None)
    (kept,) = of(messages, PartitionsKept)
    assert (kept["group"], kept["partitions"], kept["asked_members"]) == ("g", 4, 3)
    first, second = of(messages, PartitionsReleased)
    assert (first["partitions"], first["cause"]) == (4, "another member stays")
    assert 1.9 < first["kept_seconds"] < 2.4
    assert second["cause"] == "no call of this daemon needs an owner"
    assert len(of(messages, GroupRejoined)) == 1
