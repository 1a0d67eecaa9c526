"""Graceful shutdown: when it stops accepting, and when it ends."""

from twisted.internet.task import Clock

from notcharch.http.drain import Drain, DrainTimes

TIMES = DrainTimes(accept_seconds=2.6, max_seconds=7.3)


class Server:
    """A server that records the calls of its drain."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.requests = 0
        self.is_accepting = True
        self.ended: tuple[int, float] | None = None
        Drain(self.clock, self, TIMES).begin()

    def requests_in_flight(self):
        return self.requests

    def stop_accepting(self):
        self.is_accepting = False

    def close_idle(self):
        pass

    def stopped(self, requests_in_flight, seconds):
        self.ended = (requests_in_flight, round(seconds, 1))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)


def test_new_callers_come_until_the_others_know():
    server = Server()
    server.run(2.5)
    assert server.is_accepting
    assert server.ended is None
    server.run(0.5)
    assert not server.is_accepting
    assert server.ended is not None


def test_callers_that_keep_coming_are_refused_although_work_is_under_way():
    """With too few ready daemons, the platform routes callers to all of them."""
    server = Server()
    server.requests = 5
    server.run(3.0)
    assert not server.is_accepting
    assert server.ended is None
    server.requests = 0
    server.run(0.3)
    assert server.ended is not None
    assert server.ended[0] == 0


def test_what_is_under_way_is_waited_for():
    server = Server()
    server.requests = 1
    server.run(5.0)
    assert server.ended is None
    server.requests = 0
    server.run(0.05)
    assert server.ended is None  # the last response may still be in the send buffer
    server.run(0.2)
    assert server.ended is not None


def test_a_stop_ends_in_time_whatever_runs():
    server = Server()
    server.requests = 1
    server.run(7.6)
    assert server.ended is not None
    requests_in_flight, seconds = server.ended
    assert requests_in_flight == 1
    assert 7.3 <= seconds <= 7.5
