"""Graceful shutdown: when it stops accepting, and when it ends."""

from twisted.internet.task import Clock

from notcharch.http.drain import Drain, DrainTimes

TIMES = DrainTimes(accept_seconds=2.6, cut_seconds=7.3, max_seconds=7.4)


class Server:
    """A server that records the calls of its drain."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.connections = 0
        self.is_accepting = True
        self.cut_at: float | None = None
        self.ended: float | None = None
        self.events: list[str] = []
        Drain(self.clock, self, TIMES).begin()

    def open_connections(self):
        return self.connections

    def refuse_late(self):
        self.events.append("refuse late")

    def stop_accepting(self):
        self.is_accepting = False

    def close_idle(self):
        assert not self.is_accepting

    def cut(self):
        assert self.cut_at is None
        self.cut_at = round(self.clock.seconds(), 1)
        self.events.append("cut")

    def stopped(self, seconds):
        assert self.ended is None
        self.ended = round(seconds, 1)

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
    server.connections = 5
    server.run(3.0)
    assert not server.is_accepting
    assert server.ended is None
    server.connections = 0
    server.run(0.3)
    assert server.ended is not None
    assert server.cut_at is None


def test_what_is_under_way_is_waited_for_until_its_connection_is_closed():
    """A connection is open until its last byte has left, so nothing is guessed."""
    server = Server()
    server.connections = 1
    server.run(5.0)
    assert server.ended is None
    server.connections = 0
    server.run(0.15)
    assert server.ended is not None


def test_a_stop_ends_in_time_whatever_runs():
    server = Server()
    server.connections = 1
    server.run(7.6)
    assert server.cut_at == 7.3
    assert server.ended == 7.4


def test_what_is_late_is_refused_from_the_beginning_to_the_cut():
    """Calls that wait become late at any moment, also while connections are accepted."""
    server = Server()
    server.connections = 1
    assert server.events == ["refuse late"]
    server.run(1.0)
    assert len(server.events) >= 10
    server.run(6.6)
    cut = server.events.index("cut")
    assert cut > 60
    assert server.events[cut - 1] == "refuse late"
