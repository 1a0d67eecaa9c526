"""Checks the programs' state against the oracle, and the oracle against bugs."""

from contextlib import ExitStack
from unittest.mock import patch

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.stateful.programs.breaks import (
    BREAKS,
    BREAKS_OF_RELEASES,
    LATE_CONFIRMATION,
)
from tests.stateful.programs.machine import (
    GATEWAYS,
    LIMITS,
    ProgramsMachine,
    ReleasesMachine,
)

SMALL_CHUNK_BYTES = 400
COMMON_SETTINGS = {
    "deadline": None,
    "derandomize": True,
    "database": None,
    "suppress_health_check": list(HealthCheck),
}


def small_chunks():
    return patch("notcharch.programs.history.SEALED_CHUNK_BYTES", SMALL_CHUNK_BYTES)


@pytest.mark.parametrize("machine", [ProgramsMachine, ReleasesMachine])
def test_the_state_does_as_told(machine):
    with small_chunks():
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=150, stateful_step_count=50, **COMMON_SETTINGS
            ),
        )


def assert_caught(machine, patches):
    run_settings = settings(
        max_examples=1000,
        stateful_step_count=50,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        **COMMON_SETTINGS,
    )
    with ExitStack() as stack:
        stack.enter_context(small_chunks())
        for target, replacement in patches:
            stack.enter_context(patch(target, replacement))
        with pytest.raises(AssertionError):
            run_state_machine_as_test(machine, settings=run_settings)


@pytest.mark.parametrize("name", BREAKS)
def test_a_deliberate_break_is_caught(name):
    assert_caught(ProgramsMachine, BREAKS[name])


@pytest.mark.parametrize("name", BREAKS_OF_RELEASES)
def test_a_deliberate_break_of_releases_is_caught(name):
    assert_caught(ReleasesMachine, BREAKS_OF_RELEASES[name])


def confirm_an_old_release_late():
    """Confirm the release of an exhausted program after more calls and its end."""
    machine = ReleasesMachine()
    machine.create(0, child=False)
    call = {"number": 0, "repeatable": True, "gateway": GATEWAYS[0], "steps": 4}
    call |= {"engine": "engine-1", "completion": 90, "bytes_a_token": 9}
    machine.go_on(limit=LIMITS[0], **call)
    machine.ask_releases()
    assert machine.asked
    machine.go_on(limit=LIMITS[-1], **call)
    machine.end(0, "stop", "late")
    machine.memory_of_ended_programs_is_owed()


def test_a_late_confirmation_confirms_no_newer_release():
    """Runs a fixed sequence that random steps seldom reach."""
    confirm_an_old_release_late()
    with patch(*LATE_CONFIRMATION), pytest.raises(AssertionError, match="stays held"):
        confirm_an_old_release_late()
