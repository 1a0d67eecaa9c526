"""The lifecycle of a daemon, as a state machine without I/O.

```
starting --become_ready--> live --begin_drain--> draining --finish--> stopped
    |                        ^----cancel_drain-----+  ^
    +------------------begin_drain--------------------+
```

Every input returns the resulting state. An input that is not valid in the current
state is ignored.
"""

import enum
from typing import Protocol

from automat import TypeMachineBuilder

from notcharch.values.state_machine import add_transitions


class LifeState(enum.Enum):
    """The states of a daemon's lifecycle, as reported to operators."""

    STARTING = "starting"
    LIVE = "live"
    DRAINING = "draining"
    STOPPED = "stopped"


class LifeInputs(Protocol):
    """The inputs of the state machine."""

    def become_ready(self) -> LifeState:
        """Record that a table is in force and the machine list was read."""

    def begin_drain(self) -> LifeState:
        """Stop accepting new work."""

    def cancel_drain(self) -> LifeState:
        """Accept new work again."""

    def finish(self) -> LifeState:
        """Record that engines and partitions were handed over."""

    def current_state(self) -> LifeState:
        """Return the current state without changing it."""


class LifeCore:
    """The state machine's data, which is empty."""


def _build() -> TypeMachineBuilder[LifeInputs, LifeCore]:
    builder = TypeMachineBuilder(LifeInputs, LifeCore)
    changes = {
        (LifeState.STARTING, LifeInputs.become_ready): LifeState.LIVE,
        (LifeState.STARTING, LifeInputs.begin_drain): LifeState.DRAINING,
        (LifeState.LIVE, LifeInputs.begin_drain): LifeState.DRAINING,
        (LifeState.DRAINING, LifeInputs.cancel_drain): LifeState.LIVE,
        (LifeState.DRAINING, LifeInputs.finish): LifeState.STOPPED,
    }
    inputs = (
        LifeInputs.become_ready,
        LifeInputs.begin_drain,
        LifeInputs.cancel_drain,
        LifeInputs.finish,
        LifeInputs.current_state,
    )
    add_transitions(builder, LifeState, inputs, changes)
    return builder


new_life = _build().build()
"""Creates the state machine of one daemon: `new_life(LifeCore())`."""
