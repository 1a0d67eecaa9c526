"""Callers' headers into calls, and calls into engines' headers."""

import pytest

from notcharch.http.messages import RequestHead, ResponseHead
from notcharch.platform.headers import PlatformEngines, answer_headers, read_call
from tests.unit.calls.world import engine

FULL = [
    (b"Host", b"h.example"),
    (b"X-Notcharch-Request-Id", b"e5b2"),
    (b"x-notcharch-program-id", b"3fa81c"),
    (b"X-Notcharch-Session-Id", b"77d20b"),
    (b"X-Notcharch-Finish-Ms", b"5200"),
    (b"X-Notcharch-Token-Budget", b"4600"),
    (b"X-Notcharch-Token-Usage", b"1840,575"),
    (b"X-Notcharch-Previous-Turn", b"9c41"),
    (b"X-Notcharch-Deadline-Ms", b"3000"),
    (b"Cookie", b"a=b; X-Notcharch-Affinity-Key=17"),
    (b"Last-Event-Id", b"12"),
    (b"Connection", b"keep-alive"),
    (b"Content-Length", b"2"),
]
DIALECT = PlatformEngines()


def read(headers):
    return read_call(RequestHead(b"POST", b"/a/b?c", headers), b"hi", 5.0)


def test_a_whole_head_is_read():
    call = read(FULL)
    assert (call.id, call.program, call.session) == ("e5b2", "3fa81c", "77d20b")
    assert (call.wait_seconds, call.program_remaining_seconds) == (3.0, 5.2)
    assert (call.max_tokens, call.budget_tokens) == (575, 4600)
    assert (call.previous_turn, call.affinity) == ("9c41", "17")
    assert call.last_event_id == b"12"


def test_a_bare_head_is_read():
    call = read([(b"Host", b"h")])
    assert (call.id, call.budget_tokens, call.wait_seconds) == ("", None, None)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"X-Notcharch-Deadline-Ms", b"soon"),
        (b"X-Notcharch-Token-Budget", b"much"),
        (b"X-Notcharch-Token-Usage", b"1,x"),
    ],
)
def test_a_header_that_cannot_be_read_is_told(name, value):
    assert read([(name, value)]) is None


def test_an_engine_gets_what_is_left_and_who_is_meant():
    head = DIALECT.request(read(FULL), engine("i-7f"), 1234)
    assert head.target == b"/a/b?c"
    assert head.get(b"x-notcharch-deadline-ms") == b"1234"
    assert head.get(b"x-notcharch-expect-instance") == b"i-7f"
    assert head.get(b"last-event-id") == b"12"
    assert head.get(b"x-notcharch-request-id") == b"e5b2"
    names = [name.lower() for name, _ in head.headers]
    assert len(names) == len(set(names))
    assert b"connection" not in names
    assert b"content-length" not in names


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, [(b"X-Notcharch-Not-Executed", b"1")], True),
        (421, [], True),
        (503, [], False),
        (200, [], False),
    ],
)
def test_only_an_engine_that_says_so_did_not_run(status, headers, not_run):
    assert DIALECT.was_not_run(ResponseHead(status, headers)) is not_run


@pytest.mark.parametrize(
    ("headers", "genuine"),
    [
        ([(b"X-Notcharch-Response-Seal", b"s"), (b"X-Notcharch-Request-Id", b"1")], 1),
        ([(b"X-Notcharch-Response-Seal", b"s")], 0),
        ([(b"X-Notcharch-Request-Id", b"1")], 0),
        (
            [
                (b"X-Notcharch-Response-Seal", b"s"),
                (b"X-Notcharch-Request-Id", b"1"),
                (b"Content-Encoding", b"gzip"),
            ],
            0,
        ),
    ],
)
def test_a_success_needs_a_seal_and_an_id(headers, genuine):
    assert DIALECT.is_genuine(ResponseHead(200, headers)) is bool(genuine)


def test_an_answer_is_told_by_its_id():
    call = read(FULL)
    own = ResponseHead(200, [(b"X-Notcharch-Request-Id", b"e5b2")])
    other = ResponseHead(200, [(b"X-Notcharch-Request-Id", b"e5b3")])
    assert DIALECT.is_response_to(call, own)
    assert not DIALECT.is_response_to(call, other)


def test_headers_of_the_engines_connection_stay_behind():
    head = ResponseHead(
        200, [(b"X-Notcharch-Response-Seal", b"s"), (b"Keep-Alive", b"timeout=5")]
    )
    assert answer_headers(head) == [(b"X-Notcharch-Response-Seal", b"s")]
