"""Lookup of routes and services, and the choice among engines."""

from collections import Counter
from random import Random

import pytest
from twisted.internet.task import Clock

from notcharch.calls.engines import (
    LAST_RESORT_SECONDS,
    EnginePool,
    PoolPolicy,
)
from notcharch.calls.event_stream import EventFramer, data_lines
from notcharch.calls.interface import Engine, OpaqueCall, Route, ServiceShare
from notcharch.calls.routing import (
    Router,
    RouteTable,
    route_identity,
    service_of,
    stable_identity,
)
from notcharch.http.exchange import ServerLimits
from notcharch.http.messages import RequestHead, end_to_end
from notcharch.scheduling.engine_health import INTERVAL_EXPIRY_SECONDS, SILENCE_FACTOR
from notcharch.scheduling.engine_routing import (
    AFFINITY_SLACK_CALLS,
    CACHED_ENGINE_SLACK_CALLS,
)
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.shared_suspicions import (
    LOCAL_RESPONSE_SECONDS,
    MAX_SUSPICION_SECONDS,
    MAX_SUSPICIONS_PER_MESSAGE,
    SharedSuspicions,
    Suspicion,
)
from tests.unit.calls.world import SERVICE, engine


def route(host: str, prefix: str, *shares: ServiceShare) -> Route:
    return Route(prefix, host, prefix, shares or (ServiceShare("s", 1.0),), False)


def table(*routes: Route) -> Router:
    return Router(RouteTable(1, routes, {}, ServerLimits()))


@pytest.mark.parametrize(
    ("host", "path", "found"),
    [
        ("h", "/a/x", "/a/"),
        ("h", "/a/b/x", "/a/b/"),
        ("h", "/a/b", "/a/"),
        ("h", "/a/b/", "/a/b/"),
        ("H", "/a/bb/x", "/a/"),
        ("h:80", "/a/x", "/a/"),
        ("h", "/a", None),
        ("h", "/b/", None),
        ("g", "/a/x", None),
        ("h", "", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, found):
    router = table(route("h", "/a/"), route("h", "/a/b/"), route("other", "/b/"))
    chosen = router.find(host, path)
    assert (chosen.path_prefix if chosen else None) == found


def call(number: int, program: str = "") -> OpaqueCall:
    head = RequestHead(b"GET", b"/", [])
    return OpaqueCall(str(number), head, b"", 0.0, program=program)


def test_shares_follow_weights_and_programs_stay():
    split = route("h", "/", ServiceShare("big", 90), ServiceShare("small", 10))
    counts = Counter(service_of(split, call(number)) for number in range(5000))
    assert 0.08 < counts["small"] / 5000 < 0.12
    assert len({service_of(split, call(number, "p")) for number in range(50)}) == 1


def test_a_route_is_known_since_it_has_its_services():
    first, other = ServiceShare("s", 1.0), ServiceShare("t", 1.0)
    kept, moved = route("h", "/a/", first), route("h", "/b/", first)
    before = Router(table(kept, moved).table, None, 10.0)
    after = Router(table(kept, route("h", "/b/", other)).table, before, 20.0)
    assert after.since(route_identity(kept), 30.0) == 10.0
    assert after.since(route_identity(moved), 30.0) == 30.0
    assert after.since(route_identity(route("h", "/b/", other)), 30.0) == 20.0


def test_a_changed_weight_is_another_identity():
    shares = ServiceShare("s", 90), ServiceShare("t", 10)
    changed = ServiceShare("s", 50), ServiceShare("t", 50)
    split = route("h", "/", *shares)
    assert route_identity(split) != route_identity(route("h", "/", *changed))


def test_a_split_that_an_attempts_id_decides_proves_no_service():
    shares = ServiceShare("s", 90), ServiceShare("t", 10)
    split = route("h", "/", *shares)
    assert stable_identity(split, call(1)) == ""
    assert stable_identity(split, call(1, "p")) == route_identity(split)
    assert stable_identity(route("h", "/"), call(1)) != ""


def pool(*engines, zone: str = "z") -> EnginePool:
    made = EnginePool(Clock(), Nearness(zone), Random(3))
    made.replace(engines)
    return made


def test_all_daemons_of_a_zone_give_a_program_the_same_home():
    engines = [engine(name, zone="xy"[place % 2]) for place, name in enumerate("abcd")]
    for zone in "xy":
        preferred = {
            pool(*engines, zone=zone).choose(SERVICE, "program", ()) for _ in range(3)
        }
        assert len(preferred) == 1
        assert preferred.pop().zone == zone


def test_a_kept_home_is_left_only_when_it_is_much_busier():
    made = pool(engine("near"), engine("far", zone="y"))
    for _ in range(CACHED_ENGINE_SLACK_CALLS):
        made.call_started("far")
    assert made.choose(SERVICE, "program", (), "far").id == "far"
    made.call_started("far")
    assert made.choose(SERVICE, "program", (), "far").id == "near"
    assert made.choose(SERVICE, "program", ("far",), "far").id == "near"
    assert made.choose(SERVICE, "program", (), "gone").id == "near"


def test_a_zone_without_engines_uses_those_of_others():
    made = pool(engine("a", zone="x"), engine("b", zone="y"), zone="z")
    assert made.choose(SERVICE, "program", ()) is not None


def test_a_busy_zone_hands_calls_to_others():
    made = pool(engine("near"), engine("far", zone="y"))
    for _ in range(AFFINITY_SLACK_CALLS + 1):
        made.call_started("near")
    assert made.choose(SERVICE, "program", ()).id == "far"


def test_homes_are_spread():
    made = pool(*[engine(name) for name in "abcd"])
    counts = Counter(made.choose(SERVICE, f"p{n}", ()).id for n in range(400))
    assert min(counts.values()) > 50


def test_a_home_that_is_much_busier_than_others_is_left():
    made = pool(*[engine(name) for name in "ab"])
    preferred_engine = made.choose(SERVICE, "p", ()).id
    for _ in range(AFFINITY_SLACK_CALLS + 1):
        made.call_started(preferred_engine)
    assert made.choose(SERVICE, "p", ()).id != preferred_engine


def test_calls_without_a_home_go_to_the_least_busy_engine_of_the_own_zone():
    made = pool(engine("near"), engine("far", zone="y"))
    assert made.choose(SERVICE, "", ()).id == "near"
    made.call_started("near")
    assert made.choose(SERVICE, "", ()).id == "far"


def test_a_failed_engine_is_passed_over_for_a_while():
    clock = Clock()
    made = EnginePool(clock, Nearness("z"), Random(1))
    made.replace([engine("a"), engine("b")])
    made.engine_failed("a")
    assert {made.choose(SERVICE, "", ()).id for _ in range(20)} == {"b"}
    clock.advance(1.1)
    assert {made.choose(SERVICE, "", ()).id for _ in range(20)} == {"a", "b"}


def test_an_engine_that_fails_again_is_passed_over_for_longer():
    clock = Clock()
    made = EnginePool(clock, Nearness("z"), Random(1))
    made.replace([engine("a"), engine("b")])
    for seconds in (1.0, 2.0, 4.0, 4.0):
        made.engine_failed("a")
        clock.advance(seconds - 0.01)
        assert {made.choose(SERVICE, "", ()).id for _ in range(20)} == {"b"}
        clock.advance(0.02)
        assert {made.choose(SERVICE, "", ()).id for _ in range(20)} == {"a", "b"}
    made.call_started("a")
    made.response_received("a")
    made.call_ended("a")
    made.engine_failed("a")
    clock.advance(1.01)
    assert {made.choose(SERVICE, "", ()).id for _ in range(20)} == {"a", "b"}


def served(made: EnginePool, clock: Clock, name: str, *gaps: float) -> None:
    """Let an engine serve a call with these intervals between events."""
    made.call_started(name)
    for gap in gaps:
        clock.advance(gap)
        made.response_received(name, gap)
    made.call_ended(name)


def test_an_engine_that_is_silent_for_longer_than_usual_is_passed_over():
    clock = Clock()
    made = EnginePool(clock, Nearness("z"), Random(1))
    made.replace([engine("a"), engine("b")])
    for _ in range(5):
        served(made, clock, "a", 0.3, 0.05)
        served(made, clock, "b", 0.3, 0.05)
    made.call_started("a")
    clock.advance(0.3 * SILENCE_FACTOR - 0.02)
    assert made.choose(SERVICE, "p", (), "a").id == "a"
    clock.advance(0.04)
    assert made.choose(SERVICE, "p", (), "a").id == "b"
    made.response_received("a")  # no longer silent
    assert made.choose(SERVICE, "p", (), "a").id == "a"


def test_nobody_is_blamed_when_all_engines_are_silent():
    clock = Clock()
    made = EnginePool(clock, Nearness("z"), Random(1))
    made.replace([engine("a"), engine("b")])
    made.call_started("a")
    made.call_started("b")
    clock.advance(5.0)
    assert made.choose(SERVICE, "p", (), "a").id == "a"


def test_an_engine_without_calls_in_flight_is_not_silent():
    clock = Clock()
    made = EnginePool(clock, Nearness("z"), Random(1))
    made.replace([engine("a"), engine("b")])
    served(made, clock, "a", 0.1)
    clock.advance(20.0)
    assert made.choose(SERVICE, "p", (), "a").id == "a"
    made.call_started("a")
    assert made.choose(SERVICE, "p", (), "a").id == "a"


def test_an_engine_whose_events_come_slowly_is_passed_over_until_its_pace_is_old():
    clock = Clock()
    made = EnginePool(clock, Nearness("z"), Random(1))
    made.replace([engine(name) for name in "abcd"])
    for _ in range(3):
        for name in "bcd":
            served(made, clock, name, 0.02, 0.02)
        served(made, clock, "a", 0.08, 0.08)
    assert made.choose(SERVICE, "p", (), "a").id != "a"
    assert made.choose(SERVICE, "p", (), "b").id == "b"
    clock.advance(INTERVAL_EXPIRY_SECONDS)
    assert made.choose(SERVICE, "p", (), "a").id == "a"


def test_engines_that_are_slow_together_are_not_passed_over():
    clock = Clock()
    made = EnginePool(clock, Nearness("z"), Random(1))
    made.replace([engine(name) for name in "abcd"])
    for name in "abcd":
        served(made, clock, name, 0.02, 0.02)
    for name in "abcd":
        served(made, clock, name, *[0.1] * 8)
    assert made.choose(SERVICE, "p", (), "a").id == "a"


def suspecting(*names: str) -> tuple[EnginePool, Clock, SharedSuspicions]:
    clock = Clock()
    suspicions = SharedSuspicions()
    made = EnginePool(clock, Nearness("z"), Random(1), suspicions=suspicions)
    made.replace([engine(name) for name in "abcdef"])
    suspicions.merge(tuple(Suspicion(name, 2.0) for name in names), clock.seconds())
    return made, clock, suspicions


def test_an_engine_that_a_peer_suspects_is_passed_over_as_long_as_the_peer_says():
    made, clock, _ = suspecting("a")
    assert made.choose(SERVICE, "p", (), "a").id != "a"
    clock.advance(2.1)
    assert made.choose(SERVICE, "p", (), "a").id == "a"


def test_own_answers_count_for_more_than_what_peers_suspect():
    made, clock, _ = suspecting("a")
    served(made, clock, "a", 0.05)
    assert made.choose(SERVICE, "p", (), "a").id == "a"
    clock.advance(LOCAL_RESPONSE_SECONDS)
    assert made.choose(SERVICE, "p", (), "a").id != "a"


def test_peers_that_suspect_too_many_engines_are_not_believed():
    made, _, _ = suspecting("a", "b", "c")
    assert made.choose(SERVICE, "p", (), "a").id == "a"


def test_own_failures_are_told_and_what_is_told_only_gets_shorter():
    made, clock, suspicions = suspecting()
    made.engine_failed("b")
    assert suspicions.to_send(clock.seconds()) == (Suspicion("b", 1.0),)
    clock.advance(0.4)
    assert suspicions.to_send(clock.seconds()) == (Suspicion("b", 0.6),)
    clock.advance(0.6)
    assert suspicions.to_send(clock.seconds()) == ()
    assert not suspicions.has_any


def test_little_is_told_and_nothing_is_believed_for_long():
    now = 5.0
    board = SharedSuspicions()
    board.merge(tuple(Suspicion(f"e{n}", 100.0 + n) for n in range(20)), now)
    assert len(board.to_send(now)) == MAX_SUSPICIONS_PER_MESSAGE
    assert not board.is_suspected("e1", now + MAX_SUSPICION_SECONDS)


def test_without_sharing_nothing_is_told_or_believed():
    board = SharedSuspicions(is_shared=False)
    board.suspect("a", 10.0)
    board.merge((Suspicion("b", 2.0),), 0.0)
    assert board.to_send(0.0) == ()
    assert not board.has_any


def test_a_failed_engine_is_better_than_none():
    made = pool(engine("a"))
    made.engine_failed("a")
    assert made.choose(SERVICE, "", ()).id == "a"


def draining(name: str) -> Engine:
    return Engine(name, SERVICE, "h", 1, "z", 1, is_draining=True)


def test_leaving_and_tried_engines_get_no_call():
    made = pool(draining("a"), engine("b"), engine("c"))
    assert made.choose(SERVICE, "p", ("b",)).id == "c"
    assert made.choose(SERVICE, "p", ("b", "c")) is None


def test_engines_that_all_vanish_at_once_are_a_last_resort_for_a_moment():
    """After an outage of the store the list is empty although all engines live."""
    clock = Clock()
    made = EnginePool(clock, Nearness("z"), Random(1))
    made.replace([engine("a"), engine("b"), engine("c")])
    preferred_engine = made.choose(SERVICE, "p", ()).id
    assert made.replace([]) == []
    assert made.choose(SERVICE, "p", ()).id == preferred_engine
    clock.advance(0.7)
    made.replace([engine("a")])
    assert made.choose(SERVICE, "p", ("a",)) is not None
    clock.advance(0.5)
    assert made.choose(SERVICE, "p", ("a",)) is None
    assert sorted(made.replace([engine("a")])) == ["b", "c"]


def test_the_last_engines_that_leave_get_calls_for_a_moment_only():
    clock = Clock()
    made = EnginePool(clock, Nearness("z"), Random(1))
    made.replace([engine("a")])
    made.replace([draining("a")])
    assert made.choose(SERVICE, "p", ()).id == "a"
    clock.advance(LAST_RESORT_SECONDS + 0.01)
    made.replace([draining("a")])
    assert made.choose(SERVICE, "p", ()) is None


def test_an_engine_that_was_leaving_when_it_was_first_seen_gets_nothing():
    made = EnginePool(Clock(), Nearness("z"), Random(1))
    made.replace([draining("a")])
    assert made.choose(SERVICE, "p", ()) is None


def test_engines_that_leave_get_nothing_where_leaving_is_quick():
    made = EnginePool(
        Clock(), Nearness("z"), Random(1), PoolPolicy(last_resort_seconds=0.0)
    )
    made.replace([engine("a")])
    made.replace([draining("a")])
    assert made.choose(SERVICE, "p", ()) is None


def test_an_engine_that_is_listed_again_stays():
    clock = Clock()
    made = EnginePool(clock, Nearness("z"), Random(1))
    made.replace([engine("a")])
    made.replace([])
    clock.advance(1.0)
    made.replace([engine("a")])
    clock.advance(10.0)
    assert made.choose(SERVICE, "p", ()).id == "a"


def test_the_ids_of_engines_that_went_are_told():
    clock = Clock()
    made = EnginePool(clock, Nearness("z"), Random(1))
    made.replace([engine("a"), engine("b")])
    assert made.replace([engine("b")]) == []
    clock.advance(2.0)
    assert made.replace([engine("b")]) == ["a"]


def test_events_are_cut_at_their_ends_in_any_pieces():
    text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
    for size in range(1, 9):
        framer = EventFramer()
        given = b"".join(
            framer.feed(text[at : at + size]) for at in range(0, len(text), size)
        )
        assert given == text[: text.rindex(b"id: 3")]
        assert (framer.events, framer.last_id) == (2, b"2")
        assert framer.remainder() == b"id: 3\nda"


@pytest.mark.parametrize("line_end", [b"\r\n", b"\r"])
@pytest.mark.parametrize("size", range(1, 12))
def test_events_whose_lines_end_otherwise_are_cut_at_their_ends(line_end, size):
    lf_text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
    text = lf_text.replace(b"\n", line_end)
    framer = EventFramer()
    given = b""
    for at in range(0, len(text), size):
        given += framer.feed(text[at : at + size])
    assert given + framer.remainder() == text
    assert (framer.events, framer.last_id) == (2, b"2")
    assert framer.remainder().lstrip(b"\n") == b"id: 3" + line_end + b"da"


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_an_event_is_complete_with_its_last_byte_or_before(line_end):
    event = b"id: 1\ndata: a\n\n".replace(b"\n", line_end)
    framer = EventFramer()
    pieces = [framer.feed(bytes((byte,))) for byte in event]
    assert framer.events == 1
    assert b"".join(pieces).rstrip() == event.rstrip()
    assert not any(pieces[:-2])


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_the_data_of_events_is_the_same_whatever_ends_their_lines(line_end):
    text = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n"
    assert data_lines(text.replace(b"\n", line_end)) == b"a\nb\nc\n"


def test_the_data_of_events_is_taken_line_by_line():
    text = b"id: 1\ndata: a\n\nx-versions: 2\nid: 2\ndata: b\ndata: c\n\n"
    assert data_lines(text) == b"a\nb\nc\n"


def test_headers_of_one_connection_are_not_passed_on():
    headers = [
        (b"Connection", b"X-Own, close"),
        (b"X-Own", b"1"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Cookie", b"a=b"),
        (b"X-Set-Here", b"1"),
    ]
    assert end_to_end(headers, (b"x-set-here",)) == [(b"Cookie", b"a=b")]
