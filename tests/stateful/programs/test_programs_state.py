"""The programs' state against the oracle, and the breaks that it must catch."""

from contextlib import ExitStack
from unittest.mock import patch

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.stateful.programs.breaks import BREAKS
from tests.stateful.programs.machine import ProgramsMachine

SMALL_CHUNK_BYTES = 400
COMMON = {
    "deadline": None,
    "derandomize": True,
    "database": None,
    "suppress_health_check": list(HealthCheck),
}


def small_chunks():
    return patch("notcharch.programs.history.SEALED_CHUNK_BYTES", SMALL_CHUNK_BYTES)


def test_the_state_does_as_told():
    with small_chunks():
        run_state_machine_as_test(
            ProgramsMachine,
            settings=settings(max_examples=150, stateful_step_count=50, **COMMON),
        )


@pytest.mark.parametrize("name", BREAKS)
def test_a_deliberate_break_is_caught(name):
    found = settings(
        max_examples=1000,
        stateful_step_count=50,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        **COMMON,
    )
    with ExitStack() as stack:
        stack.enter_context(small_chunks())
        for target, replacement in BREAKS[name]:
            stack.enter_context(patch(target, replacement))
        with pytest.raises(AssertionError):
            run_state_machine_as_test(ProgramsMachine, settings=found)
