"""Requests that are refused before they are read: what callers, logs and the memory see."""

import gc
import weakref

import msgspec
import pytest

from notcharch.calls.call_memory import CALL_BYTES, SMALL_CALL_BYTES
from notcharch.events.calls import RequestNotRead
from notcharch.http.exchange import Uploads
from notcharch.http.request_room import WAITING_BYTES, RequestRoom
from notcharch.http.server import ServerFactory
from notcharch.platform.process_memory import max_waiting_requests
from notcharch.platform.settings import BYTES_PER_MEGABYTE
from notcharch.values.memory_pool import MemoryPool
from tests.unit.events.capture import captured
from tests.unit.platform.test_hostile_callers import Caller

POOL_BYTES = 2_000_000


class Uploader(Caller):
    """A caller of a daemon with little memory for requests."""

    def __init__(self, former: "Uploader | None" = None) -> None:
        super().__init__()
        if former is None:
            self.held = MemoryPool(POOL_BYTES).holder("calls")
            services = msgspec.structs.replace(self.ingress._services, held=self.held)
            self.ingress._services = services
            self.room = RequestRoom(
                services.clock,
                self.held,
                call_bytes=CALL_BYTES,
                small_bytes=SMALL_CALL_BYTES,
                max_waiting=1,
            )
        else:
            self.ingress, self.sender = former.ingress, former.sender
            self.held, self.room = former.held, former.room
        self.clock = self.ingress._services.clock
        factory = ServerFactory(
            self.ingress, self.clock, uploads=Uploads(self.room, self.ingress)
        )
        self.connection = factory.buildProtocol(None)
        self.connection.makeConnection(self.transport)

    def upload(self, id: str, length: int, sent: int, *headers: str) -> None:
        lines = ["POST /open/x HTTP/1.1", "Host: h.example", *headers]
        lines += [f"X-Notcharch-Request-Id: {id}", f"Content-Length: {length}"]
        self.connection.dataReceived(
            "\r\n".join([*lines, "", ""]).encode() + b"x" * sent
        )


def refusals(messages):
    number = RequestNotRead.number
    return [m for m in messages if m["event_number"] == number]


@pytest.mark.parametrize(("deadline_ms", "seconds"), [(4000, 1.0), (60_000, 3.0)])
def test_a_request_without_room_is_told_and_logged_that_it_has_not_run(
    deadline_ms, seconds
):
    first = Uploader()
    first.upload("1", 1_200_000, 1_199_999)
    second = Uploader(first)
    with captured() as messages:
        second.upload("2", 1_200_000, 10, f"X-Notcharch-Deadline-Ms: {deadline_ms}")
        first.clock.advance(seconds - 0.01)
        assert second.status == 0
        first.clock.advance(0.01)
    assert second.status == 503
    answer = second.transport.value()
    assert b"Retry-After: 0.500\r\n" in answer
    assert b"X-Notcharch-Request-Id: 2\r\n" in answer
    assert answer.endswith(b'{"error":"no memory for it now"}')
    (event,) = refusals(messages)
    assert (event["request"], event["route"], event["cause"]) == (
        "2",
        "open",
        "no memory",
    )
    assert (event["body_bytes"], event["waited_seconds"]) == (1_200_000, seconds)
    assert first.sender.sent == []


def test_a_body_that_comes_too_slowly_is_refused_at_the_calls_deadline():
    caller = Uploader()
    caller.upload("1", 1_200_000, 10, "X-Notcharch-Deadline-Ms: 2000")
    with captured() as messages:
        caller.clock.advance(2.0)
    assert caller.status == 503
    assert b"Retry-After: 0.100\r\n" in caller.transport.value()
    (event,) = refusals(messages)
    assert (event["cause"], event["seconds"]) == ("its time is over", 2.0)
    assert caller.held.held == 0


def test_a_length_over_the_limit_is_refused_at_the_head():
    caller = Uploader()
    caller.upload("1", 5_000_000, 0)
    assert caller.status == 413
    assert caller.held.held == 0


def test_a_call_takes_over_what_its_request_holds_and_counts_it_once():
    caller = Uploader()
    caller.upload("1", 1_000_000, 999_999)
    before = caller.held.held
    assert 1_000_000 + CALL_BYTES <= before <= 1_000_000 + CALL_BYTES + 1000
    caller.connection.dataReceived(b"x")
    (sent,) = caller.sender.sent
    assert len(sent.body) == 1_000_000
    assert caller.held.held == before
    sent.respond(200, b"done")
    assert caller.held.held == caller.room.large == 0


@pytest.fixture
def no_collector():
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures("no_collector")
def test_a_body_is_freed_with_its_call_and_not_by_the_collector():
    """Cycles of objects kept the bodies of ended calls: a peak of 211 MB in place of 118."""
    caller = Uploader()
    caller.upload("1", 100_000, 100_000)
    (sent,) = caller.sender.sent
    run = sent.listener
    call = run._listener
    ended = [weakref.ref(one) for one in (run, call, call._reply._exchange)]
    sent.respond(200, b"done")
    caller.sender.sent.clear()
    sent.listener = None  # the stand-in's own cycle
    del sent, run, call
    assert [one() for one in ended] == [None] * 3


@pytest.mark.parametrize("megabytes", [130, 260, 330])
def test_what_was_read_of_requests_that_wait_is_half_of_the_connections_buffers(
    megabytes,
):
    limit = megabytes * BYTES_PER_MEGABYTE
    most = max_waiting_requests(limit)
    assert most >= 30
    assert most * WAITING_BYTES <= limit / 32
