"""Fills state machines whose inputs all return the state that results."""

import enum
from collections.abc import Iterable, Mapping
from typing import Any

from automat import TypeMachineBuilder


def add_transitions(
    builder: TypeMachineBuilder[Any, Any],
    states: type[enum.Enum],
    inputs: Iterable[Any],
    changes: Mapping[tuple[Any, Any], enum.Enum],
) -> None:
    """Define every input in every state; the first state is the initial one.

    `changes` has the resulting state by state and input. An input that is not in it leaves
    the state as it is. Each input returns the resulting state.
    """
    machine_states = {state: builder.state(state.value) for state in states}
    every_input = tuple(inputs)
    for before, machine_state in machine_states.items():
        for machine_input in every_input:
            after = changes.get((before, machine_input), before)
            machine_state.upon(machine_input).to(machine_states[after]).returns(after)
