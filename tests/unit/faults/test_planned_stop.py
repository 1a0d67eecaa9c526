"""A planned stop drops no request that arrives on an open connection.

The daemon stops listening, lingers, and then waits for the responses in flight.
"""

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from notcharch.daemon.drain import (
    LINGER_SECONDS,
    MAX_ENGINE_HANDOVER_SECONDS,
    MAX_LAST_RESPONSES_SECONDS,
    Drain,
)
from notcharch.daemon.life import LifeCore, LifeState, new_life
from notcharch.settings.schema import DaemonSection
from notcharch.values.identifiers import Member


class FakeCore:
    """The parts of a daemon that a drain calls; records the order of the calls."""

    def __init__(self):
        self.steps = []
        self.gateway = self
        self.membership = self
        self.partitions = self
        self.stewards = self
        self.settings = self
        self.daemon = DaemonSection(name="daemon-1")
        self.own_member = Member("daemon-1", 1)
        self.running_calls = 0
        self.responding = succeed(None)
        self.handing_over = succeed(None)

    def announce_leaving(self):
        self.steps.append("announce")

    def drain(self):
        self.steps.append("refuse calls")
        return succeed(None)

    def when_idle(self):
        self.steps.append("await responses")
        return self.responding

    def when_handed_over(self):
        self.steps.append("hand over engines")
        return self.handing_over

    def hand_over(self):
        self.steps.append("hand over partitions")
        return succeed(None)

    def stop_listening(self):
        self.steps.append("stop listening")
        return succeed(None)


@pytest.fixture
def core():
    return FakeCore()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def lifecycle():
    lifecycle = new_life(LifeCore())
    lifecycle.become_ready()
    return lifecycle


def start_drain(core, lifecycle, clock):
    drain = Drain(core, lifecycle, clock, core.stop_listening)
    return Deferred.fromCoroutine(drain.run())


def test_connections_are_served_for_a_while_after_nobody_new_can_connect(
    core, lifecycle, clock
):
    stopped = start_drain(core, lifecycle, clock)
    assert core.steps == [
        "announce",
        "refuse calls",
        "hand over engines",
        "hand over partitions",
        "stop listening",
    ]
    clock.advance(LINGER_SECONDS / 2)
    assert not stopped.called
    assert lifecycle.current_state() is LifeState.DRAINING
    clock.advance(LINGER_SECONDS / 2)
    assert core.steps[-1] == "await responses"
    assert stopped.called
    assert lifecycle.current_state() is LifeState.STOPPED


def test_what_is_still_being_answered_is_waited_for(core, lifecycle, clock):
    core.responding = Deferred()
    stopped = start_drain(core, lifecycle, clock)
    clock.advance(LINGER_SECONDS)
    assert not stopped.called
    core.responding.callback(None)
    assert stopped.called


def test_engines_that_nobody_claims_do_not_keep_the_daemon(core, lifecycle, clock):
    core.handing_over = Deferred()
    stopped = start_drain(core, lifecycle, clock)
    assert core.steps[-1] == "hand over engines"
    clock.advance(MAX_ENGINE_HANDOVER_SECONDS)
    clock.advance(LINGER_SECONDS)
    assert stopped.called


def test_a_request_that_never_ends_does_not_keep_the_daemon(core, lifecycle, clock):
    core.responding = Deferred()
    stopped = start_drain(core, lifecycle, clock)
    clock.advance(LINGER_SECONDS)
    clock.advance(MAX_LAST_RESPONSES_SECONDS)
    assert stopped.called
