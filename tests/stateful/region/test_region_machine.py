"""The whole core under two faults at once, on virtual time."""

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.stateful.region.machine import RegionMachine

EXAMPLES = 12
STEPS = 30


def test_region_keeps_its_promises_under_two_faults():
    run_state_machine_as_test(
        RegionMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
