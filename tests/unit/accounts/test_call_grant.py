"""What a gateway asks of the owner while a call that is granted in parts runs."""

import gc
import weakref

import pytest

from notcharch.accounts.call_grant import PREFETCH_EVENTS
from notcharch.accounts.grant_wait import LOGGED_WAIT_SECONDS
from notcharch.accounts.messages import (
    WHOLE_CALL,
    GrantRaised,
    KeepTurn,
    NotOwner,
    RaiseGrant,
    SettleCall,
    TurnNotStorable,
    UsageDoubted,
)
from notcharch.accounts.metrics import GRANT_WAIT_SECONDS
from notcharch.accounts.request_retry import RETRY_INTERVAL_SECONDS
from tests.unit.accounts.granting_owner import (
    EVENT_TOKENS,
    MOST_EVENTS,
    GrantedCall,
)
from tests.unit.accounts.world import Listener

GRANTED = 6 * EVENT_TOKENS


def test_the_admission_states_the_tokens_of_an_event():
    """Guards against parts for a call whose turn is not kept, which is granted as a whole."""
    kept = GrantedCall(GRANTED, stores_turns=True)
    assert kept.admission.event_tokens == EVENT_TOKENS
    assert GrantedCall(GRANTED).admission.event_tokens == 0


@pytest.mark.parametrize(
    ("granted", "changes", "events"),
    [
        (WHOLE_CALL, {}, None),
        (GRANTED, {}, 6),
        (GRANTED + EVENT_TOKENS - 1, {}, 6),
        (0, {}, 0),
        (MOST_EVENTS * EVENT_TOKENS, {}, None),
        (0, {"max_tokens": 0}, None),
        (GRANTED, {"tokens_per_event": 0}, None),
    ],
)
def test_a_grant_covers_whole_events_and_that_of_the_maximum_everything(
    granted, changes, events
):
    """A stream beyond its maximum would wait for a grant that no owner can give."""
    assert GrantedCall(granted, **changes).account.granted_events == events


def test_nothing_is_asked_for_a_call_that_is_granted_whole():
    """Each call of an older owner would cost requests that it does not know."""
    call = GrantedCall(WHOLE_CALL)
    call.account.engine_started("e")
    call.relayed(MOST_EVENTS + 5)
    assert call.requests == []


def test_more_is_asked_for_before_the_grant_is_used_up():
    """A stream would wait for an append at the end of each grant."""
    call = GrantedCall(GRANTED)
    call.account.engine_started("e")
    call.relayed(6 - PREFETCH_EVENTS)
    assert call.requests == []
    call.relayed(6 - PREFETCH_EVENTS + 1)
    assert call.requests == [
        RaiseGrant(
            call.account.partition,
            "p",
            "c1",
            most_tokens=MOST_EVENTS * EVENT_TOKENS,
            budget_tokens=1000,
            event_tokens=EVENT_TOKENS,
            granted_tokens=GRANTED,
            relayed_tokens=4 * EVENT_TOKENS,
            wanted_tokens=5 * EVENT_TOKENS,
        )
    ]


def test_a_grant_of_few_events_is_raised_once_the_engine_runs():
    """The first events would wait; a call that no engine runs needs no grant."""
    call = GrantedCall(EVENT_TOKENS)
    assert call.requests == []
    call.account.engine_started("e")
    assert call.requests[0].wanted_tokens == EVENT_TOKENS


def test_the_next_event_is_wanted_however_many_wait():
    """An owner grants what is wanted: all that waits would be doubted beyond one call."""
    call = GrantedCall(GRANTED)
    call.relayed(6, waiting=4)
    assert call.requests[0].relayed_tokens == 6 * EVENT_TOKENS
    assert call.requests[0].wanted_tokens == 7 * EVENT_TOKENS
    call = GrantedCall(GRANTED, max_tokens=GRANTED + 1)
    call.relayed(6, waiting=1)
    assert call.requests[0].wanted_tokens == GRANTED + 1


def test_one_request_is_open_at_a_time():
    """Each event would cost a request while an append is slow."""
    call = GrantedCall(GRANTED)
    for events in (4, 5, 6):
        call.relayed(events)
    call.relayed(6, waiting=2)
    assert len(call.requests) == 1
    call.owner.raise_to(7)
    assert len(call.requests) == 2
    assert call.requests[1].granted_tokens == 7 * EVENT_TOKENS
    assert call.requests[1].wanted_tokens == 7 * EVENT_TOKENS
    call.owner.raise_to(12)
    assert len(call.requests) == 2


def test_a_raised_grant_is_told_and_never_shrinks():
    """A late reply of a former owner must not stop a stream that goes on."""
    call = GrantedCall(GRANTED)
    call.relayed(5)
    call.owner.raise_to(10)
    assert (call.growths, call.account.granted_events) == ([10], 10)
    call.relayed(9)
    call.owner.raise_to(8)
    assert (call.growths, call.account.granted_events) == ([10], 10)
    call.relayed(10)
    call.owner.answer(GrantRaised(WHOLE_CALL))
    assert call.growths == [10, None]
    call.relayed(MOST_EVENTS)
    assert len(call.requests) == 3


@pytest.mark.parametrize(
    "reply", [None, NotOwner(), NotOwner(store_outage_seconds=1.0), UsageDoubted(1.0)]
)
def test_a_request_without_a_decision_is_repeated_while_the_call_lives(reply):
    """An owner's change, or an outage of the store, ended streams at their deadline."""
    call = GrantedCall(GRANTED)
    call.relayed(6, waiting=1)
    for requests in range(1, 40):
        assert len(call.requests) == requests
        call.owner.answer(reply)
        call.relayed(6, waiting=1 + requests)
        assert len(call.requests) == requests
        call.clock.advance(RETRY_INTERVAL_SECONDS)
    call.owner.raise_to(7)
    assert call.growths == [7]


def test_a_reply_that_grants_nothing_more_is_asked_again():
    """A stream that waits would stand still; asked at once, requests would never end."""
    call = GrantedCall(GRANTED)
    call.relayed(6, waiting=1)
    call.owner.raise_to(6)
    assert len(call.requests) == 1
    call.clock.advance(RETRY_INTERVAL_SECONDS)
    assert len(call.requests) == 2


@pytest.mark.parametrize("end", ["never_ran", "interrupted", "completed"])
@pytest.mark.parametrize("is_answered", [True, False])
def test_the_end_of_a_call_ends_its_requests(end, is_answered):
    """An owner would take the call as running again, and reserve its maximum."""
    call = GrantedCall(GRANTED)
    call.relayed(6)
    if is_answered:
        call.owner.answer(None)
    if end == "never_ran":
        call.account.never_ran()
    elif end == "interrupted":
        call.account.interrupted(6)
    else:
        call.account.completed(b"", 6, Listener())
    call.clock.advance(10.0)
    if not is_answered:
        call.owner.raise_to(9)
    call.relayed(6)
    assert (len(call.requests), call.growths) == (1, [])
    (notice,) = call.owner.notices
    assert isinstance(notice, SettleCall)
    assert not call.clock.getDelayedCalls()


def test_a_turn_that_is_being_stored_asks_for_no_more():
    """Its record counts all events; an open request still lets events go on."""
    call = GrantedCall(GRANTED, stores_turns=True)
    call.relayed(6, waiting=4)
    call.account.completed(b"data: a\n\n" * 10, 10, Listener())
    raise_grant, keep = call.requests
    assert isinstance(raise_grant, RaiseGrant)
    assert isinstance(keep, KeepTurn)
    assert keep.tokens == 10 * EVENT_TOKENS
    call.owner.raise_to(8)
    assert call.growths == [8]
    call.relayed(8, waiting=2)
    assert len(call.requests) == 2


def test_a_turn_that_the_log_refuses_is_charged_for_what_was_relayed():
    """The events that wait never reach the caller."""
    call = GrantedCall(GRANTED, stores_turns=True)
    call.relayed(6, waiting=4)
    call.account.completed(b"data: a\n\n" * 10, 10, Listener(may_be_given_up=True))
    call.owner.open[1].callback(TurnNotStorable())
    (notice,) = call.owner.notices
    assert notice.tokens == 6 * EVENT_TOKENS
    assert not call.clock.getDelayedCalls()


class Lines:
    """The events that are logged."""

    def __init__(self, monkeypatch) -> None:
        self.events = []
        monkeypatch.setattr("notcharch.accounts.grant_wait.emit", self.events.append)

    @property
    def names(self) -> list[str]:
        return [type(event).__name__ for event in self.events]


def waits() -> float:
    return GRANT_WAIT_SECONDS._sum.get()


def test_a_wait_for_a_grant_is_logged_with_its_end(monkeypatch):
    """A stream that stands still left no trace of why."""
    lines, before = Lines(monkeypatch), waits()
    call = GrantedCall(GRANTED)
    call.relayed(6, waiting=1)
    call.clock.advance(LOGGED_WAIT_SECONDS / 2)
    call.relayed(6, waiting=2)
    call.clock.advance(LOGGED_WAIT_SECONDS / 2)
    assert lines.names == ["GrantAwaited"]
    (line,) = lines.events
    assert (line.request, line.program, line.owner) == ("c1", "p", "d1")
    assert (line.granted_tokens, line.relayed_tokens, line.waiting_tokens) == (
        GRANTED,
        6 * EVENT_TOKENS,
        2 * EVENT_TOKENS,
    )
    call.clock.advance(1.0)
    call.relayed(8, waiting=0)
    assert lines.names == ["GrantAwaited", "GrantWaitEnded"]
    assert lines.events[1].waited_seconds == pytest.approx(1.1)
    assert waits() - before == pytest.approx(1.1)
    call.clock.advance(10.0)
    assert len(lines.events) == 2


def test_a_short_wait_is_measured_and_not_logged(monkeypatch):
    """Streams that wait for appends as a rule would fill the log."""
    lines, before = Lines(monkeypatch), waits()
    call = GrantedCall(GRANTED)
    call.relayed(6, waiting=2)
    call.clock.advance(0.05)
    call.relayed(7, waiting=1)
    call.clock.advance(0.06)
    call.relayed(8, waiting=0)
    call.clock.advance(10.0)
    assert lines.events == []
    assert waits() - before == pytest.approx(0.11)


def test_a_call_that_ends_in_its_wait_logs_no_further_line(monkeypatch):
    """A timer that outlives its call logs a wait of a stream that is over."""
    lines, before = Lines(monkeypatch), waits()
    call = GrantedCall(GRANTED)
    call.relayed(6, waiting=2)
    call.clock.advance(0.2)
    call.account.interrupted(6)
    call.clock.advance(10.0)
    assert lines.names == ["GrantAwaited"]
    assert waits() - before == pytest.approx(0.2)


@pytest.fixture
def no_collector():
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures("no_collector")
@pytest.mark.parametrize("is_admitted", [True, False])
def test_an_account_is_freed_with_its_call_and_not_by_the_collector(is_admitted):
    """A cycle with the grant keeps the bodies of ended and of refused calls."""
    call = GrantedCall(GRANTED)
    if is_admitted:
        call.relayed(6, waiting=1)
        call.account.interrupted(6)
        call.owner.open.clear()
    else:
        call.account.watch_grant(int)  # a call that is not admitted has no listener
    ended = weakref.ref(call.account)
    del call
    assert ended() is None
