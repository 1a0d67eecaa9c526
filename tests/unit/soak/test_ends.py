"""Each end of a process is told from those that the soak asked for."""

import signal

import pytest

from deploy.soak.ends import (
    MOST_START_SECONDS,
    EndKind,
    ProcessEnd,
    has_default_action,
)

KILLED, HUNG_UP, TERMINATED = -signal.SIGKILL, -signal.SIGHUP, -signal.SIGTERM


def kind(status: int, **changes) -> EndKind:
    return ProcessEnd("d0", status, 100, **changes).kind


@pytest.mark.parametrize(
    ("status", "changes"),
    [
        (KILLED, {"is_killed": True}),
        (KILLED, {"is_killed": True, "stop_after": 9.0}),
        (0, {"stop_after": 9.0}),
        (0, {"stop_after": 0.01}),
        (TERMINATED, {"stop_after": 0.01, "stop_met_default": True}),
        (TERMINATED, {"stop_after": MOST_START_SECONDS, "stop_met_default": True}),
    ],
)
def test_ends_that_the_soak_asked_for(status, changes):
    assert kind(status, **changes) is EndKind.ASKED


@pytest.mark.parametrize(
    ("status", "changes"),
    [
        (0, {}),
        (1, {}),
        (2, {}),
        (-signal.SIGSEGV, {}),
        (KILLED, {}),
        (0, {"is_killed": True}),
        (1, {"is_killed": True}),
        (1, {"stop_after": 9.0}),
        (2, {"stop_after": 0.01}),
        (TERMINATED, {}),
        (TERMINATED, {"stop_after": 0.01}),
        (TERMINATED, {"stop_after": MOST_START_SECONDS + 1, "stop_met_default": True}),
        (HUNG_UP, {}),
        (HUNG_UP, {"stop_after": 0.01}),
    ],
)
def test_any_other_end_is_an_own_one_whatever_its_status(status, changes):
    assert kind(status, **changes) is EndKind.OWN


def test_a_reload_signal_that_met_its_default_action_ended_it_before_the_program():
    assert kind(HUNG_UP, reloaded_before_program_ms=4) is EndKind.BEFORE_PROGRAM
    assert kind(1, reloaded_before_program_ms=4) is EndKind.OWN


@pytest.mark.parametrize(
    ("ignored", "caught", "is_default"),
    [
        ("0000000000001000", "0000000000000002", True),
        ("0000000000001001", "0000000000000002", False),
        ("0000000000001000", "0000000000004003", False),
    ],
)
def test_the_default_action_of_the_reload_signal_is_read_from_the_kernel(
    ignored, caught, is_default
):
    status = f"Name:\tpython3\nSigIgn:\t{ignored}\nSigCgt:\t{caught}\n"
    assert has_default_action(status, signal.SIGHUP) is is_default
