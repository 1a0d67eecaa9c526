"""A caller gets no more events than are granted, and all of them in the end."""

import pytest

from notcharch.calls.interface import MAY_HAVE_RUN, TIMED_OUT
from notcharch.calls.waiting_output import STORED_COPIES
from notcharch.http.buffered_bytes import BufferedBytes
from notcharch.http.client import ResponseFailure
from notcharch.values.framing import Framing
from tests.unit.calls.world import World

EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, 7)]
ALL = b"".join(EVENTS)


class GrantingAdmission:
    """Admits at once, and is the ticket; tests grant events and store the turn."""

    cached_engine = ""

    def __init__(self, granted: int | None) -> None:
        self.granted_events = granted
        self.reports: list[str] = []
        self.relays: list[tuple[int, int]] = []
        self.grown = None
        self.then = None

    def request(self, call, route, listener):
        listener.admitted(self, call.body)

    def engine_started(self, engine_id):
        pass

    def watch_grant(self, grown):
        self.grown = grown

    def grant(self, events):
        self.granted_events = events
        self.grown()

    def relayed(self, events, waiting):
        self.relays.append((events, waiting))

    def never_ran(self):
        self.reports.append("never ran")

    def interrupted(self, events):
        self.reports.append(f"interrupted after {events}")

    def completed(self, output, events, then):
        self.reports.append(f"completed {events}")
        self.output = output
        self.then = then


def granted(events: int | None, **changes):
    admission = GrantingAdmission(events)
    world = World(is_stream=True, admission=admission, **changes)
    world.sent[0].begin()
    return world, admission


def relayed(*numbers: int) -> bytes:
    return b"".join(EVENTS[number - 1] for number in numbers)


def test_events_beyond_the_grant_wait_until_it_grows():
    """A lost gateway would leave events relayed that no owner counts."""
    world, admission = granted(2)
    world.sent[0].listener.data_received(relayed(1, 2, 3, 4))
    assert world.reply.data == relayed(1, 2)
    admission.grant(3)
    assert world.reply.data == relayed(1, 2, 3)
    world.sent[0].listener.data_received(relayed(5))
    assert world.reply.data == relayed(1, 2, 3)
    admission.grant(None)
    assert world.reply.data == relayed(1, 2, 3, 4, 5)
    assert admission.relays == [(2, 2), (3, 1), (3, 2), (5, 0)]


def test_each_relay_is_told_to_the_ticket():
    """A ticket that hears nothing asks for no further grant."""
    world, admission = granted(None)
    for number in (1, 2):
        world.sent[0].listener.data_received(relayed(number))
    assert admission.relays == [(1, 0), (2, 0)]


def test_the_head_is_relayed_with_the_first_event_that_is():
    """A head that is sent early leaves a cut where an error response was possible."""
    world, admission = granted(0)
    world.sent[0].listener.data_received(relayed(1))
    assert world.reply.head is None
    admission.grant(1)
    assert world.reply.head is not None
    assert world.reply.data == relayed(1)


def test_the_end_of_a_stream_waits_for_the_grant():
    """An end before its last events would look complete."""
    world, admission = granted(1)
    world.sent[0].listener.data_received(ALL)
    world.sent[0].listener.completed()
    assert (world.reply.data, world.reply.end) == (relayed(1), "")
    admission.grant(4)
    assert (world.reply.data, world.reply.end) == (relayed(1, 2, 3, 4), "")
    assert admission.reports == []
    admission.grant(6)
    assert world.reply.data == ALL
    assert admission.reports == ["completed 6"]
    admission.then.durable()
    assert world.reply.end == "finished"


def test_a_stored_turn_covers_the_events_that_wait():
    """Its record counts all events, so a second append would only delay the end."""
    world, admission = granted(1, stores_turns=True)
    world.sent[0].listener.data_received(ALL + b": end\n")
    world.sent[0].listener.completed()
    assert admission.reports == ["completed 6"]
    assert admission.output == ALL
    assert world.reply.data == relayed(1)
    admission.grant(2)
    assert world.reply.data == relayed(1, 2)
    admission.then.durable()
    assert (world.reply.data, world.reply.end) == (ALL + b": end\n", "finished")
    assert admission.relays[-1] == (6, 0)


def test_events_of_a_turn_that_is_not_stored_are_not_relayed():
    """Nothing would count them."""
    world, admission = granted(1, stores_turns=True)
    world.sent[0].listener.data_received(ALL)
    world.sent[0].listener.completed()
    admission.then.not_durable()
    assert (world.reply.data, world.reply.end) == (relayed(1), "aborted")


def test_a_turn_that_is_not_stored_ends_in_an_answer_if_nothing_was_relayed():
    """The connection was closed without any response."""
    world, admission = granted(0, stores_turns=True)
    world.sent[0].listener.data_received(ALL)
    world.sent[0].listener.completed()
    admission.then.not_durable()
    assert (world.reply.end, world.reply.data) == ("refused", b"")
    assert world.reply.refusal.status == MAY_HAVE_RUN.status


@pytest.mark.parametrize("is_complete", [True, False])
def test_a_caller_that_leaves_is_charged_for_what_it_got(is_complete):
    """Events that wait were not handed out; to charge them ends programs early."""
    world, admission = granted(2)
    world.sent[0].listener.data_received(ALL)
    if is_complete:
        world.sent[0].listener.completed()
    world.reply.disconnect()
    admission.grant(6)
    assert world.reply.data == relayed(1, 2)
    assert admission.reports == ["interrupted after 2"]
    assert world.in_flight == 0


@pytest.mark.parametrize("is_complete", [True, False])
def test_a_deadline_ends_the_wait_for_a_grant(is_complete):
    """A stream must not wait for a store that is down beyond its deadline."""
    world, admission = granted(1)
    world.sent[0].listener.data_received(ALL)
    if is_complete:
        world.sent[0].listener.completed()
    world.clock.advance(2.1)
    assert (world.reply.data, world.reply.end) == (relayed(1), "aborted")
    assert admission.reports == ["interrupted after 1"]


@pytest.mark.parametrize("is_complete", [True, False])
def test_a_deadline_before_the_first_grant_ends_in_an_answer(is_complete):
    """A connection that is closed without a response tells its caller nothing."""
    world, admission = granted(0)
    world.sent[0].listener.data_received(ALL)
    if is_complete:
        world.sent[0].listener.completed()
    world.clock.advance(2.1)
    assert world.reply.refusal == TIMED_OUT
    assert admission.reports == ["interrupted after 0"]


def test_an_engine_that_breaks_while_events_wait_ends_the_stream():
    """A stream that can't go on is cut, and charged as far as it was relayed."""
    world, admission = granted(1)
    world.sent[0].listener.data_received(ALL)
    world.sent[0].listener.failed(ResponseFailure.RESET)
    assert (world.reply.data, world.reply.end) == (relayed(1), "aborted")
    assert admission.reports == ["interrupted after 1"]


def test_an_engine_that_breaks_before_the_first_grant_ends_in_an_answer():
    """The status must not promise that the call has not run."""
    world, admission = granted(0)
    world.sent[0].listener.data_received(relayed(1))
    world.sent[0].listener.failed(ResponseFailure.RESET)
    assert world.reply.refusal == MAY_HAVE_RUN
    assert admission.reports == ["interrupted after 0"]


@pytest.mark.parametrize("first_grant", [0, 1])
def test_a_resumed_stream_goes_on_after_the_last_event_received(first_grant):
    """Events that wait would come twice if the next engine made them again."""
    world, admission = granted(first_grant, is_resumable=True, max_engines=2)
    world.sent[0].listener.data_received(relayed(1, 2) + EVENTS[2][:4])
    world.sent[0].listener.failed(ResponseFailure.RESET)
    assert world.sent[1].header(b"after") == b"2"
    world.sent[1].begin()
    world.sent[1].listener.data_received(relayed(3))
    assert world.reply.data == relayed(*range(1, first_grant + 1))
    admission.grant(2)
    assert world.reply.data == relayed(1, 2)
    assert world.reply.head.get(b"seal") == world.sent[0].engine.id.encode()
    world.sent[1].listener.completed()
    admission.grant(3)
    admission.then.durable()
    assert (world.reply.data, world.reply.end) == (relayed(1, 2, 3), "finished")


def test_an_error_of_a_resumed_run_does_not_replace_events_that_wait():
    """An engine's error page must not follow events of the stream."""
    world, admission = granted(0, is_resumable=True, max_engines=2)
    world.sent[0].listener.data_received(relayed(1))
    world.sent[0].listener.failed(ResponseFailure.RESET)
    world.sent[1].respond(500, b"an error page")
    assert (world.reply.refusal, world.reply.data) == (MAY_HAVE_RUN, b"")
    assert admission.reports == ["interrupted after 0"]


def test_an_unframed_stream_whose_events_wait_has_begun():
    """It was taken for one that broke off before its first event."""
    admission = GrantingAdmission(0)
    world = World(is_stream=True, admission=admission)
    world.sent[0].begin(framing=Framing.CONNECTION)
    world.sent[0].listener.data_received(relayed(1))
    world.sent[0].listener.completed()
    assert world.reply.end == ""


def test_events_that_wait_count_among_all_answers():
    """Streams that wait for a store that is down would take memory without a bound."""
    answers = BufferedBytes(1024 * 1024)
    world, admission = granted(1, answers=answers)
    world.sent[0].listener.data_received(ALL)
    waiting = answers.total
    assert waiting >= len(ALL) - len(EVENTS[0])
    world.sent[0].listener.completed()
    assert answers.total == waiting
    admission.grant(3)
    assert 0 < answers.total < waiting
    admission.grant(6)
    assert answers.total == 0


def test_the_events_that_wait_count_beside_the_output_that_is_stored():
    """Both are held until the turn is durable."""
    answers = BufferedBytes(1024 * 1024)
    world, admission = granted(0, answers=answers, stores_turns=True)
    world.sent[0].listener.data_received(ALL)
    world.sent[0].listener.completed()
    assert answers.total >= (STORED_COPIES + 1) * len(ALL)
    admission.then.durable()
    assert answers.total == 0


@pytest.mark.parametrize("is_complete", [True, False])
def test_of_the_streams_that_wait_the_largest_is_given_up_above_the_bound(is_complete):
    """Memory for answers is bounded, also for events that wait."""
    answers = BufferedBytes(40 * 1024)
    event = b"data: %s\n\n" % (b"x" * 1000)
    large, admission = granted(1, answers=answers)
    large.sent[0].listener.data_received(event * 30)
    if is_complete:
        large.sent[0].listener.completed()
    small, _ = granted(1, answers=answers)
    small.sent[0].listener.data_received(event * 15)
    large.clock.advance(0)
    assert (large.reply.data, large.reply.end) == (event, "aborted")
    assert admission.reports == ["interrupted after 1"]
    assert small.reply.end == ""


@pytest.mark.parametrize("is_complete", [True, False])
@pytest.mark.parametrize("first_grant", [0, 1])
def test_a_planned_stop_cuts_a_stream_that_waits_for_a_grant(is_complete, first_grant):
    """A stop that never ends is killed, and the events that wait are not charged."""
    world, admission = granted(first_grant, has_stop=True)
    world.sent[0].listener.data_received(ALL)
    if is_complete:
        world.sent[0].listener.completed()
    world.stop.begin(1.0)
    world.stop.refuse_late()
    assert world.reply.end == ""
    world.stop.cut_all()
    assert world.reply.end == ("aborted" if first_grant else "refused")
    assert admission.reports == [f"interrupted after {first_grant}"]
    assert world.stop.counts.cut == 1


def test_a_stream_that_gets_its_grant_during_a_planned_stop_is_served():
    """Planned work must not cut streams that could end."""
    world, admission = granted(1, has_stop=True)
    world.sent[0].listener.data_received(ALL)
    world.sent[0].listener.completed()
    world.stop.begin(1.0)
    world.stop.refuse_late()
    admission.grant(6)
    admission.then.durable()
    assert (world.reply.data, world.reply.end) == (ALL, "finished")
    assert world.stop.counts.served == 1
