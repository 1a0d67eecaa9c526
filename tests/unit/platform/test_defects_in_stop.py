"""A defect in one step of a planned stop leaves the other steps to be done."""

import contextlib
from unittest import mock

import pytest
from twisted.internet.defer import Deferred

from notcharch.accounts.service import AccountsService
from notcharch.http.server_connection import ServerConnection
from tests.unit.platform.ports import READINESS, ProcessWorld
from tests.unit.platform.stop_world import GRACE_SECONDS, StopWorld

DEFECT = RuntimeError("a defect")


@pytest.mark.parametrize("held", [(), (READINESS,)], ids=["loading", "opening ports"])
def test_a_process_that_can_not_leave_its_group_stops_nevertheless(held):
    """Guards against a process that takes callers until it is killed."""
    world = ProcessWorld(held).start()
    with mock.patch.object(AccountsService, "leave", side_effect=DEFECT):
        with contextlib.suppress(RuntimeError):
            world.process.on_stop_signal()  # the real reactor logs it and goes on
        world.run(GRACE_SECONDS)
    world.close()
    assert world.reactor.hasStopped


def test_a_defect_in_the_check_of_one_connection_does_not_end_the_checks():
    """Guards against a stop that makes no further check: the front port stays open."""
    world = StopWorld()
    caller = world.caller()
    caller.send(b"POST /plain-once/1/1 HTTP/1.1\r\n")
    with (
        mock.patch.object(ServerConnection, "refuse_unread", side_effect=DEFECT),
        contextlib.suppress(RuntimeError),
    ):
        world.stop()
    world.finish()


def test_a_process_without_a_table_waits_until_it_has_left_its_group():
    """Guards against partitions that have no owner until the lease expires.

    The early stop of a process whose ports are not open waits for it.
    """
    world = ProcessWorld().start()
    assert world.state == "loading"
    left = Deferred()
    with mock.patch.object(AccountsService, "leave", return_value=left):
        world.process.on_stop_signal()
        is_stopped_at_once = world.reactor.hasStopped
        left.callback(None)
        world.run(1.0)
    world.close()
    assert world.reactor.hasStopped
    assert not is_stopped_at_once
