"""A planned stop drops no request that arrives on an open connection.

The daemon stops listening, lingers, and then waits for the responses in flight.
"""

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.web.resource import Resource

from notcharch.daemon.drain import (
    LINGER_SECONDS,
    MAX_ENGINE_HANDOVER_SECONDS,
    MAX_LAST_BYTES_SECONDS,
    MAX_LAST_RESPONSES_SECONDS,
    Drain,
)
from notcharch.daemon.life import LifeCore, LifeState, new_life
from notcharch.gateway.http_site import LimitedSite
from notcharch.settings.schema import DaemonSection, GatewaySection
from notcharch.values.identifiers import Member
from tests.unit.http.slow_peer import SlowPeerTransport


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
        self.closing = succeed(None)

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

    def close_connections(self):
        self.steps.append("close connections")
        return self.closing


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
    drain = Drain(core, lifecycle, clock, core.stop_listening, core.close_connections)
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
    assert core.steps[-2:] == ["await responses", "close connections"]
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


def test_the_ends_of_responses_in_send_buffers_are_waited_for(core, lifecycle, clock):
    """A response counts as finished when its last byte is written to a buffer."""
    core.closing = Deferred()
    stopped = start_drain(core, lifecycle, clock)
    clock.advance(LINGER_SECONDS)
    assert not stopped.called
    core.closing.callback(None)
    assert stopped.called


def test_a_caller_that_does_not_read_does_not_keep_the_daemon(core, lifecycle, clock):
    core.closing = Deferred()
    stopped = start_drain(core, lifecycle, clock)
    clock.advance(LINGER_SECONDS)
    clock.advance(MAX_LAST_BYTES_SECONDS)
    assert stopped.called


class WholeResponse(Resource):
    """A resource whose response is written at once."""

    isLeaf = True  # noqa: N815

    def render(self, request) -> bytes:
        request.setHeader(b"connection", b"close")
        return b"x" * LENGTH


LENGTH = 200_000


def test_a_connection_is_open_until_its_last_byte_was_read(clock):
    site = LimitedSite(WholeResponse(), GatewaySection(), clock)
    transport = SlowPeerTransport()
    idle = SlowPeerTransport()
    for one in (transport, idle):
        one.attach(site.buildProtocol(None))
    transport.protocol.dataReceived(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    closed = site.close_connections()
    idle.read()
    assert idle.is_lost
    transport.read(LENGTH // 2)
    assert not closed.called
    transport.read()
    assert transport.sent.endswith(b"x" * LENGTH)
    assert closed.called
