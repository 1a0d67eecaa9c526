"""What a ledger grants, counts and hands over of calls that are granted in parts."""

import msgspec
import pytest

from notcharch.accounts.grants import first_grant, least_grant, raised_grant
from notcharch.accounts.ledger import Ledger, Verdict
from notcharch.accounts.messages import RaiseGrant
from notcharch.accounts.records import (
    AccountDoubt,
    AccountHandedOver,
    AllowanceGiven,
    BoundRaised,
    CallGrant,
    decode,
    encode,
)
from notcharch.accounts.written_record import WrittenRecord
from notcharch.journal.entries import Outcome

EVENT = 10
MOST = 400
BUDGET = 1000


class OlderDoubt(msgspec.Struct, frozen=True, array_like=True):
    """`AccountDoubt` as older builds know it."""

    under_way: dict[str, int] = {}
    unproven_tokens: int = 0


class OlderBound(
    msgspec.Struct, frozen=True, array_like=True, tag_field="kind", tag="bound"
):
    """`BoundRaised` as older builds know it."""

    program: str
    bound_tokens: int
    written_at: int = 0
    used_tokens: int = 0
    doubt: OlderDoubt | None = None


class OlderAllowance(
    msgspec.Struct, frozen=True, array_like=True, tag_field="kind", tag="allowance"
):
    """`AllowanceGiven` as older builds know it."""

    permille: int
    written_at: int = 0
    call_tokens: int = 0


def begin(ledger: Ledger, call: str, *, event_tokens: int = EVENT) -> BoundRaised:
    """Let a call in by a bound of its own; return the record."""
    asked = ("p", call, MOST, BUDGET, 0.0)
    verdict = ledger.admit(*asked, event_tokens=event_tokens)
    assert verdict is Verdict.NEEDS_BOUND
    record = ledger.raised_bound(
        "p", call, MOST, 0.0, written_at=1, event_tokens=event_tokens, keeps_turns=True
    )
    write(ledger, record)
    assert ledger.admit(*asked, event_tokens=event_tokens) is Verdict.ADMITTED
    return record


def write(ledger: Ledger, record: BoundRaised) -> None:
    written = WrittenRecord(Outcome.DURABLE, 1)
    ledger.on_account_written("p", record.bound_tokens, written)


def ask(
    ledger: Ledger,
    call: str,
    *,
    granted: int,
    relayed: int,
    wanted: int = 0,
    takes_less: bool = False,
):
    request = RaiseGrant(
        0, "p", call, MOST, BUDGET, EVENT, granted, relayed, wanted or granted + EVENT
    )
    verdict = ledger.raise_grant(
        request, 0.0, is_proven=True, gateway=None, takes_less=takes_less
    )
    return verdict, request


def raise_durably(ledger: Ledger, call: str, *, granted: int, relayed: int):
    verdict, request = ask(ledger, call, granted=granted, relayed=relayed)
    assert verdict is Verdict.NEEDS_BOUND
    record = ledger.raised_bound_of_grant(request, 0.0, written_at=2)
    assert record is not None
    write(ledger, record)
    verdict, _ = ask(ledger, call, granted=granted, relayed=relayed)
    assert verdict is Verdict.ADMITTED
    return record


def successor_of(record) -> Ledger:
    ledger = Ledger()
    ledger.replay(decode(encode(record)), 0.0, 5)
    ledger.doubt_all_calls()
    return ledger


@pytest.mark.parametrize(
    ("slack", "event_tokens", "expected"),
    [(400, 10, 200), (170, 10, 80), (15, 10, 10), (-50, 10, 10), (400, 0, 400)],
)
def test_a_first_grant_is_half_of_the_slack_in_whole_events(
    slack, event_tokens, expected
):
    """Guards against grants that use up one call's maximum, and against none at all."""
    assert first_grant(slack, event_tokens, 400) == expected


def test_a_raised_grant_is_half_of_the_slack_beyond_what_was_relayed():
    """Guards against a fast engine whose waiting events take all of the slack."""
    assert raised_grant(100, 10, granted=200, relayed=190) == 240
    assert raised_grant(100, 10, granted=200, relayed=100) == 200
    assert raised_grant(-30, 10, granted=200, relayed=200) == 210


def test_a_call_goes_on_with_one_more_event():
    """Guards against a call that waits for room for all events that wait."""
    assert least_grant(10, granted=200, wanted=500) == 210
    assert least_grant(10, granted=200, wanted=200) == 200
    assert least_grant(10, granted=395, wanted=400) == 400


def test_the_record_of_a_turn_covers_half_of_the_slack_ahead():
    """Guards against a next call that waits for an append, and against more in doubt."""
    ledger = Ledger()
    begin(ledger, "c")
    state = ledger.state_after_turn("p", "c", 50)
    assert state is not None
    assert (state.used_tokens, state.bound_tokens) == (50, 50 + MOST // 2)


@pytest.mark.parametrize(("budget", "ahead"), [(1650, MOST), (1640, 0)])
def test_the_record_of_an_older_gateways_turn_leaves_room_for_three_calls(
    budget, ahead
):
    """Guards against a doubted call for a program that can't afford it."""
    ledger = Ledger()
    ledger.allowance.on_durable(AllowanceGiven(1000, 0, 0, 1000), 0.0)
    verdict = ledger.admit("p", "c", MOST, budget, 0.0)
    assert verdict is Verdict.ADMITTED
    state = ledger.state_after_turn("p", "c", 450)
    assert state is not None
    assert state.bound_tokens == 450 + ahead


def test_the_bound_covers_what_is_granted():
    """Guards against a doubt of a whole call for one that was granted a part."""
    record = begin(Ledger(), "c")
    assert record.bound_tokens == MOST // 2
    program = successor_of(record).program("p", 0.0)
    assert (program.certain, program.committed) == (0, MOST // 2)


def test_the_next_owner_counts_relayed_tokens_as_used():
    """Guards against tokens that are relayed and doubted."""
    ledger = Ledger()
    begin(ledger, "c")
    record = raise_durably(ledger, "c", granted=200, relayed=180)
    program = successor_of(record).program("p", 0.0)
    assert program.certain == 180
    assert program.committed == ledger.granted("p", "c") == 380


def test_relayed_tokens_never_fall():
    """Guards against a late request that makes certain tokens doubted."""
    ledger = Ledger()
    begin(ledger, "c")
    raise_durably(ledger, "c", granted=200, relayed=180)
    ask(ledger, "c", granted=200, relayed=100, takes_less=True)
    assert ledger.program("p", 0.0).reserved["c"].relayed == 180


def test_an_unknown_call_is_taken_out_of_the_doubt():
    """Guards against a former owner's grant that counts twice."""
    ledger = Ledger()
    ledger.replay(BoundRaised("p", 300, 1, 100), 0.0, 5)
    assert ledger.program("p", 0.0).doubted == 200
    verdict, _ = ask(ledger, "c", granted=150, relayed=140, wanted=150, takes_less=True)
    assert verdict is Verdict.ADMITTED
    program = ledger.program("p", 0.0)
    assert (program.used, program.doubted) == (100, 50)
    assert program.committed == 100 + 50 + MOST
    ledger.complete_call("p", "c", 160, 0.0, engine="")
    assert (program.used, program.doubted, program.committed) == (260, 50, 310)


def test_a_call_for_which_there_is_no_room_is_not_decided():
    """Guards against a lost owner's call that goes on beyond the budget and one call."""
    ledger = Ledger()
    ledger.replay(BoundRaised("p", 1000, 1, 600), 0.0, 5)
    begin(ledger, "new")
    program = ledger.program("p", 0.0)
    assert program.committed == 600 + 400 + MOST
    verdict, _ = ask(ledger, "old", granted=100, relayed=90)
    assert verdict is Verdict.DOUBTED
    assert program.committed <= BUDGET + MOST
    assert program.certain == 600 + MOST + 100


def test_a_call_that_has_ended_is_not_taken_up():
    """Guards against a reservation by a request that comes after the call's end."""
    ledger = Ledger()
    begin(ledger, "c")
    ledger.complete_call("p", "c", 50, 0.0, engine="")
    verdict, _ = ask(ledger, "c", granted=200, relayed=40)
    assert verdict is Verdict.GIVEN_UP
    assert ledger.program("p", 0.0).committed == 50


def test_a_call_that_is_let_in_again_keeps_its_grant():
    """Guards against a smaller grant in the answer to a repeated request."""
    ledger = Ledger()
    begin(ledger, "c")
    raise_durably(ledger, "c", granted=200, relayed=180)
    granted = ledger.granted("p", "c")
    verdict = ledger.admit("p", "c", MOST, BUDGET, 0.0, event_tokens=EVENT)
    assert verdict is Verdict.ADMITTED
    assert ledger.granted("p", "c") == granted
    assert ledger.program("p", 0.0).committed == MOST


def test_a_planned_move_hands_grants_over():
    """Guards against a grant that is counted as a whole call after a move."""
    ledger = Ledger()
    begin(ledger, "c")
    raise_durably(ledger, "c", granted=200, relayed=180)
    handed_over, _ = [
        *ledger.handover_records(0.0, 3, lambda _: False),
        None,
    ]
    assert isinstance(handed_over, AccountHandedOver)
    assert handed_over.grants == {"c": CallGrant(380, 180)}
    successor = Ledger()
    successor.replay(decode(encode(handed_over)), 0.0, 5)
    program = successor.program("p", 0.0)
    assert program.committed == program.certain == MOST
    successor.doubt_all_calls()
    assert (program.certain, program.committed) == (180, 380)


def test_an_older_build_counts_the_maximum_of_a_call():
    """Guards against an older successor that counts less than was granted."""
    ledger = Ledger()
    begin(ledger, "c")
    record = raise_durably(ledger, "c", granted=200, relayed=180)
    older = msgspec.msgpack.decode(encode(record), type=OlderBound)
    assert older.doubt == OlderDoubt({"c": MOST})
    counted = older.used_tokens + sum(older.doubt.under_way.values())
    assert max(counted, older.bound_tokens) >= ledger.granted("p", "c")


def test_an_older_build_reads_the_allowance():
    """Guards against an older successor that can't read a record and serves no turn."""
    older = msgspec.msgpack.decode(
        encode(AllowanceGiven(500, 7, call_permille=500)), type=OlderAllowance
    )
    assert older == OlderAllowance(500, 7, 0)


def test_the_record_of_an_older_build_grants_its_calls_as_a_whole():
    """Guards against a successor that counts less than an older owner granted."""
    record = BoundRaised("p", 500, 1, 100, AccountDoubt({"c": MOST}))
    program = successor_of(record).program("p", 0.0)
    assert (program.certain, program.committed) == (100, 500)


def test_a_gateway_of_an_older_build_is_granted_all_after_a_part():
    """Guards against a whole grant that no bound covers."""
    ledger = Ledger()
    begin(ledger, "c")
    verdict = ledger.admit("p", "c", MOST, BUDGET, 0.0)
    assert verdict is Verdict.NEEDS_BOUND
    record = ledger.raised_bound("p", "c", MOST, 0.0, written_at=2, keeps_turns=True)
    assert record.bound_tokens == MOST


def test_a_kept_turn_of_a_lost_owner_waits_where_it_would_exceed_the_budget():
    """Guards against a turn that is answered beyond its grant when others took the room."""
    doubt = AccountDoubt({"old": MOST}, 0, {"old": CallGrant(100)})
    ledger = successor_of(BoundRaised("p", 1000, 1, 600, doubt))
    begin(ledger, "new")
    assert ledger.can_keep("p", "old", 100)
    assert not ledger.can_keep("p", "old", 110)
    ledger.complete_call("p", "new", 10, 0.0, engine="")
    assert ledger.can_keep("p", "old", MOST)


def test_a_whole_turn_beyond_its_grant_counts_as_a_whole():
    """Guards against tokens of a kept turn that nobody counts after a loss."""
    ledger = Ledger()
    ledger.replay(BoundRaised("p", 300, 1, 100), 0.0, 5)
    begin(ledger, "other")
    state = ledger.state_after_turn("p", "old", 350)
    assert state is not None
    assert state.used_tokens == 450
    ledger.complete_call("p", "old", 350, 0.0, engine="", is_kept=True)
    program = ledger.program("p", 0.0)
    assert (program.used, program.doubted) == (450, 0)


def test_many_lost_calls_are_summed_and_lose_no_token():
    """Guards against an account that grows with each lost call."""
    ledger = Ledger()
    for number in range(30):
        admitted = ledger.admit("p", f"c{number}", 10, 10**6, 0.0)
        if admitted is Verdict.NEEDS_BOUND:
            record = ledger.raised_bound("p", f"c{number}", 10, 0.0, written_at=1)
            write(ledger, record)
            ledger.admit("p", f"c{number}", 10, 10**6, 0.0)
    program = ledger.program("p", 0.0)
    assert program.committed == 300
    program.doubt_calls(13.0, lambda _: False)
    assert len(program.reserved) < 10
    assert (program.committed, program.certain) == (300, 0)
