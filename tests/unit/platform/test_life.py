"""The states of a process's life: each input in each state."""

import pytest

from notcharch.platform.life import LifeCore, LifeState, new_life

INPUTS = (
    "settings_read",
    "ports_open",
    "become_ready",
    "lose_readiness",
    "begin_drain",
    "finish",
    "fail",
)
WAYS = {
    "waiting_for_settings": (),
    "opening_ports": ("settings_read",),
    "loading": ("settings_read", "ports_open"),
    "serving": ("settings_read", "ports_open", "become_ready"),
    "draining": ("settings_read", "ports_open", "begin_drain"),
    "stopped": ("begin_drain", "finish"),
    "failed": ("fail",),
}
"""The inputs that lead to each state."""
CHANGES = {
    ("waiting_for_settings", "settings_read"): "opening_ports",
    ("waiting_for_settings", "begin_drain"): "draining",
    ("waiting_for_settings", "fail"): "failed",
    ("opening_ports", "ports_open"): "loading",
    ("opening_ports", "begin_drain"): "draining",
    ("opening_ports", "fail"): "failed",
    ("loading", "become_ready"): "serving",
    ("loading", "begin_drain"): "draining",
    ("loading", "fail"): "failed",
    ("serving", "lose_readiness"): "loading",
    ("serving", "begin_drain"): "draining",
    ("serving", "fail"): "failed",
    ("draining", "finish"): "stopped",
    ("draining", "fail"): "failed",
}


def life_in(state):
    life = new_life(LifeCore())
    for name in WAYS[state]:
        getattr(life, name)()
    return life


def test_each_state_is_reached():
    assert set(WAYS) == {state.value for state in LifeState}
    for state in WAYS:
        assert life_in(state).current_state().value == state


@pytest.mark.parametrize("name", INPUTS)
@pytest.mark.parametrize("state", WAYS)
def test_each_input_in_each_state(state, name):
    """Guards against a process that serves after its stop, or forgets a defect."""
    life = life_in(state)
    expected = CHANGES.get((state, name), state)
    assert getattr(life, name)().value == expected
    assert life.current_state().value == expected
