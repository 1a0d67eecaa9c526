"""How random lives are run, the same ones at each run, and how breaks are caught."""

import pytest
from hypothesis import HealthCheck, settings

RUN = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def assert_caught(break_it, scenario, monkeypatch):
    """Break the program on purpose; the scenario has to notice."""
    break_it(monkeypatch)
    with pytest.raises(AssertionError):
        scenario()
