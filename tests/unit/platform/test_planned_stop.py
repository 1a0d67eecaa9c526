"""A planned stop cuts nothing: each call is served whole, or refused before it ran."""

import msgspec
import pytest
from twisted.internet.error import ReactorNotRunning
from twisted.internet.testing import MemoryReactorClock

from notcharch.calls.open_admission import NO_ACCOUNT
from notcharch.events.process import CallCutByStop, CallRefusedForStop, DrainEnded
from notcharch.platform.planned_stop import MAX_LEAVE_SECONDS
from notcharch.platform.process import Process
from notcharch.platform.settings import read_settings
from notcharch.settings.mechanisms import ALL_MECHANISMS
from tests.unit.events.capture import captured, of
from tests.unit.platform.stop_world import (
    GRACE_SECONDS,
    KINDS,
    STEP_SECONDS,
    StopWorld,
)
from tests.unit.platform.test_settings import TEXT

each_kind = pytest.mark.parametrize("kind", KINDS)
PLAIN = [kind for kind in KINDS if kind.startswith("plain")]
LONG_SECONDS = 6.0
SHORT_SECONDS = 0.1
ARRIVALS = (0.0, 0.5, 2.04, 2.55)
"""Seconds after SIGTERM at which calls of 6 s come; 2.04 s is the moment of issue 70."""
EXIT_SECONDS = 0.4
"""What the exit of the process needs at most."""


def assert_refused(world, caller, id) -> None:
    """Check for a whole refusal of a call that no engine got, on a closed connection."""
    assert id not in world.engines.got
    response = caller.responses[-1]
    assert (response.status, response.is_whole) == (503, True)
    assert 0.0 < float(response.headers[b"retry-after"]) <= 0.2
    assert response.headers[b"connection"] == b"close"
    assert b"stopping" in response.body
    world.run(2 * STEP_SECONDS)
    assert caller.is_closed


def assert_served(caller, length=None) -> None:
    response = caller.responses[-1]
    assert (response.status, response.is_whole) == (200, True)
    assert length is None or len(response.body) == length


@each_kind
@pytest.mark.parametrize("seconds", ARRIVALS)
def test_a_call_that_is_known_not_to_end_in_time_is_refused_unrun(kind, seconds):
    """24 calls of 6 s that came 2.04 s after SIGTERM ran and were cut at 7.33 s."""
    world = StopWorld()
    world.learn(kind, 7.0 if seconds < 2.0 else LONG_SECONDS)
    world.stop()
    world.run_until(seconds)
    caller = world.caller()
    id = caller.call(kind, LONG_SECONDS)
    world.run(2 * STEP_SECONDS)
    assert_refused(world, caller, id)
    world.finish()


@each_kind
def test_a_call_on_a_kept_connection_is_refused_in_the_same_way(kind):
    """The connection has a stream whose head was sent before the stop."""
    world = StopWorld()
    world.learn(kind, LONG_SECONDS)
    caller = world.caller()
    caller.call("stream-once", 2.0)
    world.run(1.0)
    world.stop()
    world.run_until(1.5)
    id = caller.call(kind, LONG_SECONDS)
    world.run(2 * STEP_SECONDS)
    assert caller.responses[0].is_whole
    assert_refused(world, caller, id)
    world.finish()


@each_kind
@pytest.mark.parametrize("deadline_ms", [None, 9000])
def test_a_call_of_which_nothing_is_known_is_refused_by_its_deadline(kind, deadline_ms):
    world = StopWorld()
    world.stop()
    world.run_until(1.0)
    caller = world.caller()
    id = caller.call(kind, LONG_SECONDS, deadline_ms=deadline_ms)
    world.run(2 * STEP_SECONDS)
    assert_refused(world, caller, id)


@each_kind
def test_a_call_whose_deadline_is_within_what_is_left_runs(kind):
    world = StopWorld()
    world.stop()
    world.run_until(1.0)
    caller = world.caller()
    caller.call(kind, 1.0, deadline_ms=5000)
    world.finish()
    assert_served(caller)


@each_kind
def test_a_stop_in_which_calls_are_short_refuses_nothing(kind):
    """Refusals would cost callers tries although nothing would have been cut."""
    world = StopWorld()
    world.learn(kind, SHORT_SECONDS)
    world.stop()
    callers = []
    while world.port.is_open:
        caller = world.caller()
        caller.call(kind, SHORT_SECONDS)
        callers.append(caller)
        world.run(STEP_SECONDS)
    world.finish()
    assert len(callers) > 40
    for caller in callers:
        assert_served(caller)
    assert world.ended_at < 3.2


@each_kind
def test_a_call_that_just_fits_runs_to_its_end(kind):
    """A call of 4 s that comes at 2.5 s ends 1 s before the cut; none is lost for it."""
    world = StopWorld()
    world.learn(kind, 4.0)
    world.stop()
    world.run_until(2.5)
    caller = world.caller()
    caller.call(kind, 4.0)
    world.finish()
    assert_served(caller)


@each_kind
def test_a_call_that_came_before_the_stop_runs_to_its_end(kind):
    world = StopWorld()
    caller = world.caller()
    caller.call(kind, LONG_SECONDS)
    world.run(0.5)
    world.stop()
    world.finish()
    assert_served(caller)


@each_kind
def test_pipelined_requests_are_served_or_not_processed(kind):
    """What stands behind an answer that closes its connection must not run."""
    world = StopWorld()
    world.learn(kind, 1.0)
    world.stop()
    world.run_until(0.5)
    caller = world.caller()
    first = caller.request(kind, 1.0)
    second = caller.request(kind, 1.0)
    second_id = caller.id
    caller.send(first + second)
    world.finish()
    assert_served(caller)
    assert caller.response.headers[b"connection"] == b"close"
    assert second_id not in world.engines.got


@each_kind
def test_a_pipelined_request_after_an_answer_that_had_begun_is_refused_if_too_long(
    kind,
):
    world = StopWorld()
    world.learn(kind, LONG_SECONDS)
    caller = world.caller()
    caller.send(caller.request("stream-once", 5.0) + caller.request(kind, LONG_SECONDS))
    id = caller.id
    world.run(1.0)
    world.stop()
    world.run_until(4.5)
    assert caller.responses[0].is_whole
    assert_refused(world, caller, id)


@each_kind
@pytest.mark.parametrize("is_route_known", [True, False])
@pytest.mark.parametrize("deadline_ms", [None, 2000])
def test_a_body_that_is_sent_slowly_is_refused_before_it_is_too_late(
    kind, is_route_known, deadline_ms
):
    world = StopWorld()
    if is_route_known:
        world.learn(kind, 1.0)
    world.stop()
    world.run_until(1.0)
    caller = world.caller()
    body = b"b" * 4000
    data = caller.request(kind, 1.0, body=body, deadline_ms=deadline_ms)
    caller.send_slowly(data, 20.0)
    id = caller.id
    world.run_until(7.25)
    response = caller.response
    assert (response.status, response.is_whole) == (503, True)
    assert response.headers[b"connection"] == b"close"
    assert id not in world.engines.got
    world.finish()


def test_a_head_that_is_sent_slowly_is_refused_before_the_end():
    """A connection that is closed amid a head tells its caller nothing."""
    world = StopWorld()
    world.learn("plain-once", SHORT_SECONDS)
    caller = world.caller()
    data = caller.request("plain-once", SHORT_SECONDS)
    world.stop()
    world.run_until(2.5)
    caller.send_slowly(data, 20.0)
    world.run_until(6.5)
    assert not caller.is_closed
    world.run_until(7.3)
    assert (caller.response.status, caller.response.is_whole) == (503, True)
    assert caller.response.headers[b"connection"] == b"close"
    world.finish()
    assert caller.id not in world.engines.got


@each_kind
def test_a_request_that_is_read_in_the_last_tenth_of_a_second_is_refused(kind):
    world = StopWorld()
    world.learn(kind, SHORT_SECONDS)
    blocker = world.caller()
    blocker.call("plain-once", 30.0)
    world.run(STEP_SECONDS)
    world.stop()
    world.run_until(7.4)
    caller = world.caller()
    id = caller.call(kind, SHORT_SECONDS)
    world.run(STEP_SECONDS)
    assert caller.response.status == 503
    assert id not in world.engines.got
    world.finish()


def test_a_kept_connection_that_is_busy_until_the_last_moment_is_served_or_refused():
    """Its caller sends the next request as soon as it has read an answer."""
    world = StopWorld()
    world.learn("plain-once", 0.3)
    callers = [world.caller()]
    ids = [callers[-1].call("plain-once", 0.3)]
    world.stop()
    while not world.reactor.hasStopped and world.since_stop < GRACE_SECONDS:
        world.run(STEP_SECONDS)
        caller = callers[-1]
        if caller.responses and (caller.is_closed or not world.port.is_open):
            if not world.port.is_open:
                continue
            callers.append(world.caller())
            ids.append(callers[-1].call("plain-once", 0.3))
        elif caller.responses:
            ids.append(caller.call("plain-once", 0.3))
    assert world.ended_at < 3.5
    assert len(callers) > 5
    for caller in callers:
        assert_served(caller)


class PendingAdmission:
    """Admissions that wait, as for an owner or for an append."""

    def __init__(self) -> None:
        self.waiting = []

    def request(self, call, route, listener) -> None:
        self.waiting.append((call, listener))


class RecordingTicket:
    """Records whether the reservation of a call was released."""

    cached_engine = ""
    granted_events = None
    is_released = False

    def watch_grant(self, grown) -> None:
        pass

    def relayed(self, events: int, waiting: int) -> None:
        raise AssertionError("events of a call that did not run")

    def never_ran(self) -> None:
        self.is_released = True

    def interrupted(self, events: int) -> None:
        raise AssertionError("charged for a call that did not run")


@each_kind
@pytest.mark.parametrize("is_known", [True, False])
def test_a_call_that_waits_for_its_admission_is_refused_when_it_can_not_end(
    kind, is_known
):
    world = StopWorld()
    if is_known:
        world.learn(kind, 2.0)
    services = world.components.ingress._services
    admission = PendingAdmission()
    msgspec.structs.force_setattr(services, "admission", admission)
    caller = world.caller()
    id = caller.call(kind, 2.0, deadline_ms=20000)
    world.run(0.5)
    world.stop()
    world.run_until(5.5)
    assert_refused(world, caller, id)
    ((_, listener),) = admission.waiting
    ticket = RecordingTicket()
    listener.admitted(ticket, b"")
    assert ticket.is_released
    assert id not in world.engines.got
    world.finish()


@each_kind
def test_a_call_that_is_admitted_too_late_is_not_sent(kind):
    world = StopWorld()
    world.learn(kind, 2.0)
    admission = PendingAdmission()
    services = world.components.ingress._services
    msgspec.structs.force_setattr(services, "admission", admission)
    caller = world.caller()
    id = caller.call(kind, 2.0)
    world.run(STEP_SECONDS)
    world.stop()
    world.run_until(5.0)
    for _, listener in admission.waiting:
        listener.admitted(NO_ACCOUNT, b"")
    world.run(2 * STEP_SECONDS)
    assert_refused(world, caller, id)


@each_kind
def test_a_call_whose_engine_is_not_connected_is_refused_when_it_can_not_end(kind):
    """Nothing of it has left the process, so it has not run."""
    world = StopWorld()
    world.learn(kind, 2.0)
    blocker = world.caller()
    blocker.call("plain-again" if kind == "plain-once" else "plain-once", 30.0)
    world.run(0.1)
    world.stop()
    world.run_until(4.9)
    world.engines.is_connecting = True
    caller = world.caller()
    id = caller.call(kind, 2.0)
    world.run(STEP_SECONDS)
    assert not caller.responses
    world.run(0.25)
    assert_refused(world, caller, id)


@each_kind
def test_a_call_is_not_sent_again_if_the_next_attempt_can_not_end(kind):
    world = StopWorld()
    world.learn(kind, 5.0)
    caller = world.caller()
    id = caller.call(kind, 5.0)
    world.run(STEP_SECONDS)
    world.stop()
    world.run_until(3.0)
    world.engines.got[id][0].break_off()
    world.run(2 * STEP_SECONDS)
    assert len(world.engines.got[id]) == 1
    assert [response.status for response in caller.responses] in ([502], [200])
    assert not caller.responses[0].is_whole or caller.responses[0].status == 502


@pytest.mark.parametrize("length", [1000, 100_000])
def test_an_answer_in_a_send_buffer_is_waited_for(length):
    """The exchange has ended when its last byte has left the process."""
    world = StopWorld()
    caller = world.caller(bytes_per_second=0.0)
    caller.call("plain-once", SHORT_SECONDS, length=length)
    world.run(1.0)
    world.stop()
    world.run_until(3.5)
    assert world.ended_at is None
    caller.bytes_per_second = 60_000
    world.finish()
    assert_served(caller, length)
    assert world.ended_at < 5.6


def test_an_answer_of_two_megabytes_is_read_for_as_long_as_the_stop_allows():
    world = StopWorld()
    caller = world.caller(bytes_per_second=60_000)
    caller.call("plain-once", SHORT_SECONDS, length=2_000_000)
    world.run(28.0)
    world.stop()
    world.finish()
    assert_served(caller, 2_000_000)


@pytest.mark.parametrize("kind", PLAIN)
def test_long_reads_count_as_the_duration_of_their_calls(kind):
    """Engines of 0.1 s, callers that need 3 s more to read 180 KB."""
    world = StopWorld()
    for _ in range(5):
        world.caller(60_000).call(kind, SHORT_SECONDS, length=180_000)
    world.run(4.0)
    blocker = world.caller()
    blocker.call("plain-once", 7.0, deadline_ms=7000)
    world.stop()
    world.run_until(4.8)
    caller = world.caller(60_000)
    id = caller.call(kind, SHORT_SECONDS, length=180_000)
    world.run(2 * STEP_SECONDS)
    assert_refused(world, caller, id)


@pytest.mark.parametrize("kind", PLAIN)
def test_callers_that_do_not_read_have_no_short_calls_refused(kind):
    """What an engine waits for a caller tells nothing of other calls of the route."""
    world = StopWorld()
    for length in (200_000, 1_000_000):
        world.caller(0.0).call(kind, SHORT_SECONDS, length=length)
    world.learn(kind, SHORT_SECONDS)
    world.run(20.0)
    world.stop()
    world.run_until(2.0)
    caller = world.caller()
    caller.call(kind, SHORT_SECONDS)
    world.run(0.3)
    assert_served(caller)
    world.finish()


@pytest.mark.parametrize("kind", ["stream-once", "stream-again"])
def test_a_stream_whose_events_still_come_is_cut_last(kind):
    """What runs at an engine has until shortly before the exit."""
    world = StopWorld()
    caller = world.caller()
    caller.call(kind, 30.0)
    world.run(1.0)
    world.stop()
    with captured() as messages:
        world.run_until(GRACE_SECONDS - EXIT_SECONDS - 0.2)
        assert not caller.is_closed
        world.finish()
    assert world.ended_at >= GRACE_SECONDS - EXIT_SECONDS - 0.11
    assert not caller.response.is_whole
    (cut,) = of(messages, CallCutByStop)
    assert cut["route"] == kind
    (ended,) = of(messages, DrainEnded)
    assert (ended["served"], ended["refused"], ended["cut"]) == (0, 0, 1)


@pytest.mark.parametrize("kind", PLAIN)
def test_a_plain_call_that_is_cut_gets_an_answer_that_promises_nothing(kind):
    world = StopWorld()
    caller = world.caller()
    caller.call(kind, 30.0)
    world.run(0.1)
    world.stop()
    world.finish()
    assert (caller.response.status, caller.response.is_whole) == (502, True)


def test_an_idle_connection_is_closed_only_if_nothing_of_a_request_was_received():
    world = StopWorld()
    world.learn("plain-once", SHORT_SECONDS)
    idle, begun, whole = world.caller(), world.caller(), world.caller()
    world.stop()
    world.run_until(2.5)
    data = begun.request("plain-once", SHORT_SECONDS)
    begun.send(data[:1])
    whole.call("plain-once", SHORT_SECONDS)
    world.run_until(2.8)
    assert idle.is_closed
    assert not begun.is_closed
    begun.send(data[1:])
    world.finish()
    assert idle.responses == []
    assert_served(begun)
    assert_served(whole)


def test_a_refusal_reaches_a_caller_that_still_sends():
    """A connection that is closed amid a body is reset, and the 503 may be lost."""
    world = StopWorld()
    world.stop()
    world.run_until(1.0)
    caller = world.caller()
    data = caller.request("plain-once", 1.0, body=b"b" * 4000)
    caller.send(data[:-2000])
    world.run(0.2)
    assert caller.response.status == 503
    assert not caller.is_closed
    caller.send(data[-2000:])
    world.run(1.1)
    assert caller.is_closed
    assert caller.id not in world.engines.got


def test_a_second_signal_and_a_reload_have_no_effect(tmp_path, monkeypatch):
    """A shorter grace period in a settings file that is read meanwhile changes nothing."""
    changed = tmp_path / "node.conf"
    changed.write_text(TEXT.replace("grace_period_s=8", "grace_period_s=1"))
    monkeypatch.setenv("NOTCHARCH_NODE_FILE", str(changed))
    world = StopWorld()
    caller = world.caller()
    caller.call("plain-once", 4.0)
    world.stop()
    world.run_until(1.0)
    world.process.on_reload_signal()
    world.run_until(2.0)
    world.process.on_stop_signal()
    world.run_until(4.6)
    assert_served(caller)
    world.finish()
    assert world.ended_at < 4.7


def test_a_stop_without_requests_ends_soon_after_the_port_is_closed():
    world = StopWorld()
    world.stop()
    world.finish()
    assert not world.port.is_open
    assert 2.55 <= world.ended_at <= 2.75


def test_a_stop_before_the_port_is_open_ends_at_once():
    reactor = MemoryReactorClock()
    settings = read_settings(TEXT).ok_value
    process = Process(settings, reactor, None, ALL_MECHANISMS)
    process.on_stop_signal()
    process.on_stop_signal()
    reactor.advance(0.2)
    assert reactor.hasStopped


class ReactorThatDoesNotRunYet(MemoryReactorClock):
    """A reactor before its start, which can't be stopped."""

    def __init__(self) -> None:
        super().__init__()
        self.is_started = False

    def stop(self) -> None:
        if not self.is_started:
            raise ReactorNotRunning
        super().stop()


def test_a_stop_before_the_reactor_runs_ends_it_at_its_start():
    reactor = ReactorThatDoesNotRunYet()
    settings = read_settings(TEXT).ok_value
    process = Process(settings, reactor, None, ALL_MECHANISMS)
    process.on_stop_signal()
    reactor.is_started = True
    for hook, arguments, keywords in reactor.whenRunningHooks:
        hook(*arguments, **keywords)
    assert reactor.hasStopped


def test_a_stop_before_the_first_table_ends_at_once():
    """Its port is closed at once; it waits for the store alone, which does not answer."""
    world = StopWorld()
    world.components.ingress.router = None
    world.stop()
    assert not world.port.is_open
    world.run(MAX_LEAVE_SECONDS + 2 * STEP_SECONDS)
    assert not world.port.is_open
    assert world.ended_at is not None


@each_kind
def test_a_refusal_is_logged_with_what_was_known(kind):
    world = StopWorld()
    world.learn(kind, LONG_SECONDS)
    world.stop()
    world.run_until(2.0)
    with captured() as messages:
        id = world.caller().call(kind, LONG_SECONDS)
        world.finish()
    (refused,) = of(messages, CallRefusedForStop)
    assert refused["request"] == id
    assert refused["runs"] == 0
    assert 5.0 < refused["seconds_left"] < 5.6
    assert 6.9 < refused["expected_seconds"] < 7.3
    (ended,) = of(messages, DrainEnded)
    assert (ended["served"], ended["refused"], ended["cut"]) == (0, 1, 0)


@each_kind
def test_a_connection_opened_just_before_the_port_closes_is_answered(kind):
    """Guards against a reset of a connection whose first request is on its way."""
    world = StopWorld()
    world.learn(kind, 0.1)
    world.stop()
    world.run_until(2.55)
    caller = world.caller()
    world.run_until(2.75)
    assert not caller.is_closed
    caller.call(kind, 0.1)
    world.finish()
    assert_served(caller)


def test_a_connection_that_brings_no_request_does_not_delay_the_stop():
    world = StopWorld()
    world.stop()
    world.run_until(2.55)
    caller = world.caller()
    world.finish()
    assert caller.is_closed
    assert world.ended_at < 3.1
