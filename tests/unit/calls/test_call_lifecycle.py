"""Outcomes of a call for the behaviours of its engines and its caller."""

import pytest

from notcharch.calls.call_lifecycle import REFUSAL_STATUSES
from notcharch.calls.interface import MAY_HAVE_RUN, NO_ENGINE, TIMED_OUT
from notcharch.http.client import ResponseFailure
from notcharch.scheduling.engine_health import MIN_SILENCE_SECONDS
from notcharch.scheduling.first_response_times import MIN_LIMIT_SECONDS
from tests.unit.calls.world import SERVICE, World

ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\ndata: b\n\n"
FAILURES = tuple(ResponseFailure)


def test_a_whole_answer_is_passed_on():
    world = World()
    world.sent[0].respond(200, b"done")
    assert (world.reply.end, world.reply.data) == ("whole", b"done")
    assert world.in_flight == 0


def test_an_error_response_of_the_engine_is_passed_on():
    world = World()
    world.sent[0].respond(500, b"sorry")
    assert world.reply.head.status == 500


@pytest.mark.parametrize("status", REFUSAL_STATUSES)
@pytest.mark.parametrize("is_stream", [False, True])
def test_an_engine_that_may_have_run_a_call_does_not_refuse_it(status, is_stream):
    """The caller would take the status as a promise that its call has not run."""
    world = World(max_engines=3, is_stream=is_stream)
    world.sent[0].respond(status, b"busy")
    assert world.reply.refusal == MAY_HAVE_RUN
    assert len(world.sent) == 1


def test_an_error_response_to_a_repeatable_call_is_passed_on():
    world = World(is_repeatable=True)
    world.sent[0].respond(503, b"busy")
    assert world.reply.head.status == 503


def test_a_refused_call_goes_to_other_engines_and_then_back():
    world = World()
    for place in range(3):
        world.sent[place].refuse()
    assert len({sent.engine.id for sent in world.sent}) == 3
    assert world.reply.refusal == NO_ENGINE
    assert world.reply.refusal.retry_after_seconds is not None


def test_an_unreachable_engine_costs_no_run():
    world = World()
    world.sent[0].listener.unreachable()
    world.sent[1].respond(200, b"done")
    assert world.reply.end == "whole"


def test_the_idle_connections_of_an_engine_that_fell_silent_are_dropped():
    world = World()
    silent = world.sent[0]
    world.clock.advance(MIN_SILENCE_SECONDS + 0.01)
    silent.listener.failed(ResponseFailure.RESET)
    assert world.sender.closed_idle == [silent.engine.id]


def test_the_idle_connections_of_an_engine_that_reset_one_are_kept():
    world = World()
    world.clock.advance(MIN_SILENCE_SECONDS - 0.01)
    world.sent[0].listener.failed(ResponseFailure.RESET)
    assert world.sender.closed_idle == []


def test_the_event_interval_of_a_stream_is_learned_from_its_complete_events():
    world = World(is_stream=True)
    sent = world.sent[0]
    sent.begin()
    for _ in range(3):
        world.clock.advance(0.1)
        sent.listener.data_received(b"id: 1\ndata: a\n\nid: 2\ndata")
        sent.listener.data_received(b": b\n\n")
    health = world.pool._states[sent.engine.id].health
    assert health.has_event_interval(world.clock.seconds())
    assert 0.0 < health.event_interval_seconds <= 0.1


OVERDUE_SECONDS = MIN_LIMIT_SECONDS + 0.01


def test_an_overdue_call_that_may_be_repeated_goes_to_another_engine():
    world = World(is_repeatable=True, max_engines=2, usual_answers=50)
    world.clock.advance(MIN_LIMIT_SECONDS - 0.01)
    assert len(world.sent) == 1
    world.clock.advance(0.02)
    first, second = world.sent
    assert first.is_abandoned
    assert second.engine.id != first.engine.id
    second.respond(200, b"done")
    assert world.reply.data == b"done"


def test_an_overdue_call_that_has_no_run_left_is_waited_for():
    world = World(is_repeatable=True, max_engines=1, usual_answers=50)
    world.clock.advance(OVERDUE_SECONDS)
    assert not world.sent[0].is_abandoned
    world.sent[0].respond(200, b"late")
    assert world.reply.data == b"late"


def test_an_overdue_call_that_must_run_once_is_waited_for_and_its_engine_avoided():
    world = World(usual_answers=50)
    world.clock.advance(OVERDUE_SECONDS)
    sent = world.sent[0]
    assert not sent.is_abandoned
    assert world.pool.choose(SERVICE, "p", (), sent.engine.id).id != sent.engine.id


def test_an_overdue_stream_is_given_up_while_its_caller_can_ask_again():
    world = World(is_stream=True, usual_answers=50)
    world.clock.advance(OVERDUE_SECONDS)
    assert world.sent[0].is_abandoned
    assert len(world.sent) == 1
    assert world.reply.refusal == MAY_HAVE_RUN


def test_a_stream_that_has_begun_is_not_overdue():
    world = World(is_stream=True, usual_answers=50)
    world.sent[0].begin()
    world.sent[0].listener.data_received(ONE)
    world.clock.advance(OVERDUE_SECONDS)
    assert not world.sent[0].is_abandoned


def test_nothing_is_given_up_before_the_usual_wait_is_known():
    world = World(is_stream=True)
    world.clock.advance(1.9)
    assert not world.sent[0].is_abandoned


def test_overdue_calls_are_given_up_out_of_a_budget():
    world = World(is_stream=True, usual_answers=50)
    while world.waits.of("r").take_retry():
        pass
    world.clock.advance(OVERDUE_SECONDS)
    assert not world.sent[0].is_abandoned


@pytest.mark.parametrize("failure", FAILURES)
def test_a_call_that_may_have_run_is_not_sent_again(failure):
    world = World(max_engines=3)
    world.sent[0].listener.failed(failure)
    assert len(world.sent) == 1
    assert world.reply.refusal == MAY_HAVE_RUN


@pytest.mark.parametrize("failure", FAILURES)
def test_a_repeatable_call_runs_on_as_many_engines_as_its_route_allows(failure):
    world = World(is_repeatable=True, max_engines=2)
    world.sent[0].listener.failed(failure)
    world.sent[1].listener.failed(failure)
    assert len(world.sent) == 2
    assert world.reply.refusal == MAY_HAVE_RUN


def test_a_success_without_a_seal_is_not_passed_on():
    world = World()
    world.sent[0].respond(200, b"forged", seal=False)
    assert world.reply.refusal == MAY_HAVE_RUN


@pytest.mark.parametrize(("wait", "timeout"), [(1.0, 3.0), (3.0, 1.0)])
def test_the_shorter_time_counts(wait, timeout):
    world = World(wait_seconds=wait, timeout_seconds=timeout)
    assert world.sent[0].header(b"left") == b"1000"
    world.clock.advance(1.01)
    assert world.reply.refusal == TIMED_OUT
    assert world.sent[0].is_abandoned
    assert world.in_flight == 0


def test_a_later_engine_gets_the_remaining_time():
    world = World()
    world.clock.advance(0.5)
    world.sent[0].refuse()
    assert world.sent[1].header(b"left") == b"1500"


def test_the_engine_of_a_caller_who_left_is_cut_off():
    world = World()
    world.reply.disconnect()
    assert world.sent[0].is_abandoned
    assert world.reply.end == ""


def stream(**changes) -> World:
    return World(is_stream=True, **changes)


def test_events_are_passed_on_as_they_become_whole():
    world = stream()
    world.sent[0].begin()
    for byte in ONE[:-1]:
        world.sent[0].listener.data_received(bytes((byte,)))
    assert world.reply.data == b""
    world.sent[0].listener.data_received(ONE[-1:] + TWO)
    assert world.reply.data == ONE + TWO
    world.sent[0].listener.completed()
    assert world.reply.end == "finished"


def test_a_broken_stream_does_not_look_whole():
    world = stream()
    world.sent[0].begin()
    world.sent[0].listener.data_received(ONE + TWO[:5])
    world.sent[0].listener.failed(ResponseFailure.CLOSED)
    assert (world.reply.end, world.reply.data) == ("aborted", ONE)


def test_a_resumable_stream_goes_on_after_its_last_whole_event():
    world = stream(is_resumable=True, max_engines=2)
    world.sent[0].begin()
    world.sent[0].listener.data_received(ONE + TWO[:5])
    world.sent[0].listener.failed(ResponseFailure.RESET)
    assert world.sent[1].header(b"after") == b"1"
    assert world.sent[1].engine.id != world.sent[0].engine.id
    world.sent[1].begin()
    world.sent[1].listener.data_received(TWO)
    world.sent[1].listener.completed()
    assert (world.reply.end, world.reply.data) == ("finished", ONE + TWO)
    assert world.reply.head.get(b"seal") == world.sent[0].engine.id.encode()


def test_a_stream_that_cannot_be_resumed_is_not():
    world = stream(is_resumable=False, max_engines=2)
    world.sent[0].begin()
    world.sent[0].listener.data_received(ONE)
    world.sent[0].listener.failed(ResponseFailure.RESET)
    assert len(world.sent) == 1
    assert (world.reply.end, world.reply.data) == ("aborted", ONE)


@pytest.mark.parametrize("part", [b"", ONE[:5]])
def test_a_stream_without_a_whole_event_ends_in_an_answer_not_in_a_cut(part):
    world = stream(is_resumable=False, max_engines=2)
    world.sent[0].begin()
    world.sent[0].listener.data_received(part)
    world.sent[0].listener.failed(ResponseFailure.RESET)
    assert (world.reply.end, world.reply.head) == ("refused", None)
    assert world.reply.refusal == MAY_HAVE_RUN


def test_a_stream_whose_first_event_is_overdue_ends_in_an_answer_not_in_a_cut():
    """An engine may send the head long before the first event."""
    world = stream(is_resumable=False, max_engines=1, usual_answers=10)
    world.sent[0].begin()
    world.clock.advance(1.0)
    assert world.sent[0].is_abandoned
    assert (world.reply.end, world.reply.refusal) == ("refused", MAY_HAVE_RUN)


def test_a_stream_that_runs_anew_before_its_first_event_has_one_head():
    world = stream(is_resumable=True, max_engines=2)
    world.sent[0].begin()
    world.sent[0].listener.data_received(ONE[:5])
    world.sent[0].listener.failed(ResponseFailure.RESET)
    assert world.sent[1].header(b"after") is None
    world.sent[1].begin()
    world.sent[1].listener.data_received(ONE)
    world.sent[1].listener.completed()
    assert (world.reply.end, world.reply.data) == ("finished", ONE)
    assert world.reply.head.get(b"seal") == world.sent[1].engine.id.encode()


def test_a_stream_without_events_is_whole_all_the_same():
    world = stream()
    world.sent[0].begin()
    world.sent[0].listener.completed()
    assert (world.reply.end, world.reply.data) == ("finished", b"")
    assert world.reply.head is not None


def test_a_resumed_run_that_fails_does_not_spoil_the_stream():
    world = stream(is_resumable=True, max_engines=2)
    world.sent[0].begin()
    world.sent[0].listener.data_received(ONE)
    world.sent[0].listener.failed(ResponseFailure.RESET)
    world.sent[1].respond(500, b"an error page")
    assert (world.reply.end, world.reply.data) == ("aborted", ONE)


def test_a_resumed_run_without_a_seal_does_not_reach_the_caller():
    world = stream(is_resumable=True, max_engines=2)
    world.sent[0].begin()
    world.sent[0].listener.data_received(ONE)
    world.sent[0].listener.failed(ResponseFailure.RESET)
    world.sent[1].begin(seal=False)
    world.sent[1].listener.data_received(TWO)
    world.sent[1].listener.completed()
    assert (world.reply.end, world.reply.data) == ("aborted", ONE)


def test_a_stream_without_a_seal_never_begins():
    world = stream()
    world.sent[0].begin(seal=False)
    world.sent[0].listener.data_received(ONE)
    world.sent[0].listener.completed()
    assert world.reply.refusal == MAY_HAVE_RUN
    assert world.reply.data == b""


class ManualAdmission:
    """Admits on `admit`, and is the ticket that records the reports."""

    def __init__(self) -> None:
        self.reports: list[str] = []
        self.then = None
        self.listener = None
        self.cached_engine = ""
        self.engines: list[str] = []
        self.granted_events = None

    def watch_grant(self, grown):
        pass

    def relayed(self, events, waiting):
        pass

    def engine_started(self, engine_id):
        self.engines.append(engine_id)

    def request(self, call, route, admission_listener):
        self.listener = admission_listener

    def admit(self):
        self.listener.admitted(self, b"whole body")

    def never_ran(self):
        self.reports.append("never ran")

    def interrupted(self, events):
        self.reports.append(f"interrupted after {events}")

    def completed(self, output, events, then):
        self.reports.append(f"completed {output!r} {events}")
        self.then = then


def manually_admitted(**changes):
    admission = ManualAdmission()
    return stream(admission=admission, stores_turns=True, **changes), admission


def test_an_admitted_call_runs_with_the_body_of_its_admission():
    world, admission = manually_admitted()
    assert world.sent == []
    admission.admit()
    assert world.sent[0].body == b"whole body"


def test_the_end_waits_until_it_is_durable():
    world, admission = manually_admitted()
    admission.admit()
    world.sent[0].begin()
    world.sent[0].listener.data_received(ONE + TWO)
    world.sent[0].listener.completed()
    assert admission.reports == [f"completed {ONE + TWO!r} 2"]
    assert (world.reply.end, world.reply.data) == ("", ONE + TWO)
    admission.then.durable()
    assert world.reply.end == "finished"


def test_an_end_that_is_not_durable_in_time_is_not_shown():
    world, admission = manually_admitted()
    admission.admit()
    world.sent[0].begin()
    world.sent[0].listener.data_received(ONE)
    world.sent[0].listener.completed()
    world.clock.advance(2.1)
    assert world.reply.end == "aborted"
    admission.then.durable()
    assert world.reply.end == "aborted"


@pytest.mark.parametrize(
    ("act", "expected"),
    [
        (
            lambda sent: sent.listener.failed(ResponseFailure.RESET),
            "interrupted after 0",
        ),
        (lambda sent: sent.respond(500), "interrupted after 0"),
    ],
)
def test_the_events_of_a_failed_run_are_charged(act, expected):
    world, admission = manually_admitted()
    admission.admit()
    act(world.sent[0])
    assert admission.reports == [expected]


def test_a_call_that_never_ran_is_not_charged():
    world, admission = manually_admitted(engines=("a",))
    admission.admit()
    world.sent[0].refuse()
    assert admission.reports == ["never ran"]


def test_a_caller_who_leaves_midway_is_charged_for_what_it_got():
    world, admission = manually_admitted()
    admission.admit()
    world.sent[0].begin()
    world.sent[0].listener.data_received(ONE + TWO)
    world.reply.disconnect()
    assert admission.reports == ["interrupted after 2"]


def test_an_admission_that_comes_too_late_is_given_back():
    world, admission = manually_admitted()
    world.clock.advance(2.1)
    assert world.reply.refusal == NO_ENGINE
    admission.admit()
    assert admission.reports == ["never ran"]
    assert world.sent == []


def test_a_caller_who_left_is_not_waited_for():
    world, admission = manually_admitted()
    assert admission.listener.awaits_admission
    world.reply.disconnect()
    assert not admission.listener.awaits_admission


def test_a_program_goes_where_its_prefix_is():
    for cached_engine in "abc":
        world, admission = manually_admitted()
        admission.cached_engine = cached_engine
        admission.admit()
        assert world.sent[0].engine.id == cached_engine
        world.sent[0].begin()
        assert admission.engines == [cached_engine]


def test_a_program_whose_cached_engine_rejects_it_runs_at_another():
    world, admission = manually_admitted()
    admission.cached_engine = "b"
    admission.admit()
    world.sent[0].refuse()
    world.sent[1].begin()
    assert admission.engines == [world.sent[1].engine.id]
    assert admission.engines != ["b"]


def test_how_long_a_run_takes_is_learned_of_each_engine():
    world = World(is_stream=True, engines=("a",))
    for _ in range(3):
        world.pool.first_event_received("a", 0.1)
    sent = world.sent[0]
    sent.begin()
    world.clock.advance(0.1)
    for _ in range(4):
        sent.listener.data_received(b"id: 1\ndata: a\n\n")
        world.clock.advance(0.05)
    sent.listener.completed()
    state = world.pool._states["a"]
    assert world.pool._service(SERVICE).mean_events == 4.0
    assert state.run_seconds == pytest.approx(0.1 + 3 * 0.05)


def test_the_speed_of_an_engine_that_answered_little_is_not_known():
    world = World(engines=("a",))
    world.pool.first_event_received("a", 0.1)
    assert world.pool._states["a"].run_seconds is None
