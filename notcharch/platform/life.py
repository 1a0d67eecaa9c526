"""The life of a daemon's process on the platform, as a state machine without I/O.

```
waiting_for_settings --settings_read--> opening_ports --ports_open--> loading
loading --become_ready--> serving --lose_readiness--> loading
any of these --begin_drain--> draining --finish--> stopped
any but stopped --fail--> failed
```

Every input returns the resulting state. An input that is not valid in the current state
is ignored.
"""

import enum
from typing import Protocol

from automat import TypeMachineBuilder

from notcharch.values.state_machine import add_transitions


class LifeState(enum.Enum):
    """The states of a process's life, as reported to operators."""

    WAITING_FOR_SETTINGS = "waiting_for_settings"
    OPENING_PORTS = "opening_ports"
    LOADING = "loading"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"
    FAILED = "failed"


class LifeInputs(Protocol):
    """The inputs of the state machine."""

    def settings_read(self) -> LifeState:
        """Record that the settings are valid."""

    def ports_open(self) -> LifeState:
        """Record that the ports of peers, callers and probes are open."""

    def become_ready(self) -> LifeState:
        """Record that the tables are loaded and fresh."""

    def lose_readiness(self) -> LifeState:
        """Record that the tables are no longer fresh."""

    def begin_drain(self) -> LifeState:
        """Stop accepting new callers."""

    def finish(self) -> LifeState:
        """Record that nothing is in flight any more."""

    def fail(self) -> LifeState:
        """Record a defect after which the process can't go on."""

    def current_state(self) -> LifeState:
        """Return the current state without changing it."""


class LifeCore:
    """The state machine's data, which is empty."""


BEFORE_DRAIN = (
    LifeState.WAITING_FOR_SETTINGS,
    LifeState.OPENING_PORTS,
    LifeState.LOADING,
    LifeState.SERVING,
)
"""The states of a process that was not told to stop."""

BEFORE_PORTS = (LifeState.WAITING_FOR_SETTINGS, LifeState.OPENING_PORTS)
"""The states in which the platform sends no callers and never did."""

ENDED = (LifeState.STOPPED, LifeState.FAILED)
"""The states without a way out."""


def _build() -> TypeMachineBuilder[LifeInputs, LifeCore]:
    builder = TypeMachineBuilder(LifeInputs, LifeCore)
    changes = {
        (
            LifeState.WAITING_FOR_SETTINGS,
            LifeInputs.settings_read,
        ): LifeState.OPENING_PORTS,
        (LifeState.OPENING_PORTS, LifeInputs.ports_open): LifeState.LOADING,
        (LifeState.LOADING, LifeInputs.become_ready): LifeState.SERVING,
        (LifeState.SERVING, LifeInputs.lose_readiness): LifeState.LOADING,
        (LifeState.DRAINING, LifeInputs.finish): LifeState.STOPPED,
        (LifeState.DRAINING, LifeInputs.fail): LifeState.FAILED,
    }
    for state in BEFORE_DRAIN:
        changes[state, LifeInputs.begin_drain] = LifeState.DRAINING
        changes[state, LifeInputs.fail] = LifeState.FAILED
    inputs = (
        LifeInputs.settings_read,
        LifeInputs.ports_open,
        LifeInputs.become_ready,
        LifeInputs.lose_readiness,
        LifeInputs.begin_drain,
        LifeInputs.finish,
        LifeInputs.fail,
        LifeInputs.current_state,
    )
    add_transitions(builder, LifeState, inputs, changes)
    return builder


new_life = _build().build()
"""Creates the state machine of one process: `new_life(LifeCore())`."""
