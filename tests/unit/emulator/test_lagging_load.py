"""A load report tells the state at its measuring time, not a later one."""

import pytest
from twisted.internet.task import Clock

from tests.unit.emulator.builders import RATES, answer_marker, engine, request


@pytest.mark.parametrize("steps_per_report", [1, None])
def test_run_that_ends_after_the_measurement_is_in_it(steps_per_report):
    clock = Clock()
    model = engine(clock, RATES, steps_per_report=steps_per_report)
    assert model.submit(request("r1", answer_marker(12))).is_ok()
    # Prefilled after 0.2 s, and over after 1.3 s: measured at 1.0 s, read at 1.5 s.
    for _ in range(30):
        clock.advance(0.05)
    assert model.counters.requests_finished == 1
    assert (model.load().measured_at, model.load().running) == (1.0, 1)
