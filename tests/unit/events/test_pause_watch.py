"""A process that stood still says so."""

import pytest
from twisted.internet.task import Clock

from notcharch.events.pause_watch import PauseWatch
from notcharch.events.process import ProcessPaused
from tests.unit.events.capture import captured, of


@pytest.mark.parametrize(
    ("gaps", "told"), [((1.0, 1.2, 0.8), []), ((1.0, 3.5, 0.5, 1.0), [2.5])]
)
def test_a_late_tick_tells_of_a_pause(gaps, told):
    clock = Clock()
    watch = PauseWatch(clock, "m", 1.0)
    with captured() as messages:
        for seconds in gaps:
            clock.advance(seconds)
            watch.tick()
    assert [message["seconds"] for message in of(messages, ProcessPaused)] == told
