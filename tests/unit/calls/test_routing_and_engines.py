"""Routes, shares, engines and the choice among them."""

from collections import Counter
from random import Random

import pytest
from twisted.internet.task import Clock

from notcharch.calls.engines import HOME_SLACK_CALLS, EnginePool
from notcharch.calls.event_stream import EventCutter, data_lines
from notcharch.calls.interface import OpaqueCall, Route, ServiceShare
from notcharch.calls.routing import Router, RouteTable, service_of
from notcharch.http.messages import RequestHead, end_to_end
from notcharch.http.server import ServerLimits
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


def pool(*engines, zone: str = "z") -> EnginePool:
    made = EnginePool(Clock(), zone, Random(3))
    made.replace(engines)
    return made


def test_all_daemons_give_a_program_the_same_home():
    engines = [engine(name) for name in "abcdef"]
    homes = {
        pool(*engines, zone=zone).choose(SERVICE, "program", ()).id for zone in "xyz"
    }
    assert len(homes) == 1


def test_homes_are_spread():
    made = pool(*[engine(name) for name in "abcd"])
    counts = Counter(made.choose(SERVICE, f"p{n}", ()).id for n in range(400))
    assert min(counts.values()) > 50


def test_a_home_that_is_much_busier_than_others_is_left():
    made = pool(*[engine(name) for name in "ab"])
    home = made.choose(SERVICE, "p", ()).id
    for _ in range(HOME_SLACK_CALLS + 1):
        made.began(home)
    assert made.choose(SERVICE, "p", ()).id != home


def test_calls_without_a_home_go_to_the_least_busy_engine_of_the_own_zone():
    made = pool(engine("near"), engine("far", zone="y"))
    assert made.choose(SERVICE, "", ()).id == "near"
    made.began("near")
    assert made.choose(SERVICE, "", ()).id == "far"


def test_a_failed_engine_is_passed_over_for_a_while():
    clock = Clock()
    made = EnginePool(clock, "z", Random(1))
    made.replace([engine("a"), engine("b")])
    made.failed("a")
    assert {made.choose(SERVICE, "", ()).id for _ in range(20)} == {"b"}
    clock.advance(1.1)
    assert {made.choose(SERVICE, "", ()).id for _ in range(20)} == {"a", "b"}


def test_a_failed_engine_is_better_than_none():
    made = pool(engine("a"))
    made.failed("a")
    assert made.choose(SERVICE, "", ()).id == "a"


def test_leaving_and_tried_engines_get_no_call():
    leaving = engine("a")
    leaving = type(leaving)("a", SERVICE, "h", 1, "z", 1, is_leaving=True)
    made = pool(leaving, engine("b"))
    assert made.choose(SERVICE, "p", ()).id == "b"
    assert made.choose(SERVICE, "p", ("b",)) is None


def test_the_ids_of_engines_that_went_are_told():
    made = pool(engine("a"), engine("b"))
    assert made.replace([engine("b")]) == ["a"]


def test_events_are_cut_at_their_ends_in_any_pieces():
    text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
    for size in range(1, 9):
        cutter = EventCutter()
        given = b"".join(
            cutter.take(text[at : at + size]) for at in range(0, len(text), size)
        )
        assert given == text[: text.rindex(b"id: 3")]
        assert (cutter.events, cutter.last_id) == (2, b"2")
        assert cutter.rest() == b"id: 3\nda"


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
