"""The messages that the exchange costs, by its rules and in the stand-in.

The figures in docs/design/hard-load.md come from `Cost`.
"""

import msgspec
import pytest

from notcharch.scheduling.load_trackers import ASKED_TRACKERS, tracker_count
from tests.unit.engine_load.world import LoadWorld

REFRESHES_PER_SECOND = 2.0


class Cost(msgspec.Struct, frozen=True):
    """Messages a second of a service, when its engines are spread evenly."""

    daemons: int
    members: int
    calls_per_daemon: float
    run_seconds: float = 0.2

    @property
    def trackers(self) -> int:
        return tracker_count(self.members)

    @property
    def requests_sent(self) -> float:
        """By one daemon; each is answered."""
        return self.calls_per_daemon * min(ASKED_TRACKERS, self.trackers)

    @property
    def notices_sent(self) -> float:
        """By one daemon: a start, an end, and refreshes of the calls in flight."""
        in_flight = self.calls_per_daemon * self.run_seconds
        return 2 * self.calls_per_daemon + REFRESHES_PER_SECOND * in_flight

    @property
    def requests_answered(self) -> float:
        """By one tracker."""
        return self.daemons * self.requests_sent / self.trackers

    @property
    def notices_received(self) -> float:
        """By one tracker."""
        return self.daemons * self.notices_sent / self.trackers


@pytest.mark.parametrize(
    ("members", "sent", "answered", "received"),
    [(300, (15, 12), 180, 144), (48, (15, 12), 1125, 900)],
)
def test_messages_at_300_daemons(members, sent, answered, received):
    """300 daemons with 5 calls a second each must not overload the busiest tracker."""
    cost = Cost(300, members, 5.0)
    assert (cost.requests_sent, cost.notices_sent) == pytest.approx(sent)
    assert cost.requests_answered == pytest.approx(answered)
    assert cost.notices_received == pytest.approx(received)


def test_messages_of_one_daemon_do_not_grow_with_the_daemons():
    """Nothing may grow with the square of the daemons."""
    costs = [Cost(count, count, 5.0) for count in (60, 300, 1000)]
    assert len({cost.requests_sent for cost in costs}) == 1
    assert len({cost.notices_sent for cost in costs}) == 1
    assert max(cost.requests_answered for cost in costs) <= 180


def test_the_exchange_keeps_to_the_rules():
    """Figures of the rules are worth nothing if the code sends more."""
    world = LoadWorld(daemons=60, engines=40)
    world.fabric.traffic.clear()
    seconds = 4.0
    world.offer(seconds, 300)
    cost = Cost(60, 60, world.dispatched / seconds / 60)
    # A tracker that asks or reports to itself sends no message.
    requests = world.traffic("AskEngineLoads")
    most = ASKED_TRACKERS * world.dispatched
    assert 0.85 * most <= requests <= most
    notices = world.traffic("EngineCallsChanged") / seconds / 60
    assert 0.85 * cost.notices_sent <= notices <= 1.05 * cost.notices_sent
    answered = [
        world.traffic("EngineLoadsSeen", tracker) / seconds
        for tracker in world.trackers()
    ]
    assert max(answered) <= 1.25 * cost.requests_answered
