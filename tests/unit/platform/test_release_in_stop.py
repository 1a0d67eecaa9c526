"""Until when a process that stops may keep its partitions."""

from unittest import mock

import pytest
from twisted.internet.defer import Deferred

from notcharch.accounts.service import AccountsService
from notcharch.http.server import ServerFactory
from notcharch.platform.planned_stop import (
    EXIT_SECONDS,
    release_seconds,
    stop_times,
)
from tests.unit.platform.stop_world import GRACE_SECONDS, STEP_SECONDS, StopWorld

ACCEPT_SECONDS = 2.6


class Leave:
    """Stands for the leave of the group; records its terms."""

    def __init__(self) -> None:
        self.terms = None
        self.left: Deferred[None] = Deferred()

    def __call__(self, terms=None):
        self.terms = terms
        return self.left

    @property
    def is_needed(self) -> bool:
        return not self.terms.not_needed.called


@pytest.fixture(name="leave")
def _leave():
    leave = Leave()
    with mock.patch.object(AccountsService, "leave", side_effect=leave):
        yield leave


def test_owners_are_needed_until_the_last_call_has_ended(leave):
    """Guards against a release while a call has yet to store its turn."""
    world = StopWorld()
    caller = world.caller()
    caller.call("stream-once", 5.0)
    world.run(0.5)
    world.stop()
    world.run_until(4.0)
    assert leave.is_needed
    world.run_until(4.9)
    assert caller.response.is_whole
    assert not leave.is_needed


def test_owners_are_needed_while_callers_are_accepted(leave):
    """Guards against calls of the last seconds that find no owner."""
    world = StopWorld()
    world.stop()
    world.run_until(ACCEPT_SECONDS - 2 * STEP_SECONDS)
    assert leave.is_needed
    world.run_until(ACCEPT_SECONDS + 2 * STEP_SECONDS)
    assert not leave.is_needed


def test_a_process_ends_when_its_partitions_are_released(leave):
    """Guards against partitions whose owner ends before it has handed over."""
    world = StopWorld()
    world.stop()
    world.run_until(ACCEPT_SECONDS + 0.4)
    assert world.ended_at is None
    leave.left.callback(None)
    world.run(0.2)
    assert world.ended_at is not None


@pytest.mark.parametrize("grace_seconds", [0.5, 1.0, 2.0, GRACE_SECONDS, 30.0])
def test_partitions_are_released_within_the_grace_period(grace_seconds):
    """Guards against a process that is killed while it hands over."""
    times = stop_times(grace_seconds)
    released = release_seconds(times)
    assert 0.0 <= released <= max(times.cut_seconds, 0.0)
    assert released <= max(grace_seconds - EXIT_SECONDS - 0.5, 0.0)


def test_a_stop_without_callers_releases_at_once():
    """Guards against a daemon that is not ready and keeps its partitions."""
    leave = Leave()
    world = StopWorld()
    world.components.ingress.router = None
    with mock.patch.object(AccountsService, "leave", side_effect=leave):
        world.stop()
    assert not leave.is_needed


def test_a_defect_in_closing_connections_does_not_keep_the_partitions(leave):
    """Guards against a process that waits for a release which never begins."""
    world = StopWorld()
    defect = RuntimeError("a defect")
    with mock.patch.object(ServerFactory, "close_idle", side_effect=defect):
        world.stop()
        world.run_until(ACCEPT_SECONDS + 0.2)
    assert not leave.is_needed
