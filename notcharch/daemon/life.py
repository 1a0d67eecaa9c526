"""The life of a daemon, as a machine that does no I/O.

```
starting --become_ready--> live --begin_drain--> draining --finish--> stopped
    |                        ^----cancel_drain-----+  ^
    +------------------begin_drain--------------------+
```

Every input returns the state that the daemon is then in; an input that does not
fit the state changes nothing.
"""

import enum
from typing import Protocol

from automat import TypeMachineBuilder


class LifeState(enum.Enum):
    """What a daemon says of itself."""

    STARTING = "starting"
    LIVE = "live"
    DRAINING = "draining"
    STOPPED = "stopped"


class LifeInputs(Protocol):
    """What happens to a daemon."""

    def become_ready(self) -> LifeState:
        """Record that a table is in force and the machine list was read."""

    def begin_drain(self) -> LifeState:
        """Take nothing new from now on."""

    def cancel_drain(self) -> LifeState:
        """Take new work again."""

    def finish(self) -> LifeState:
        """Record that everything was handed over."""

    def look(self) -> LifeState:
        """Change nothing."""


class LifeCore:
    """The machine keeps no data of its own."""


def _build() -> TypeMachineBuilder[LifeInputs, LifeCore]:
    builder = TypeMachineBuilder(LifeInputs, LifeCore)
    states = {state: builder.state(state.value) for state in LifeState}
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
        LifeInputs.look,
    )
    for before, machine_state in states.items():
        for life_input in inputs:
            after = changes.get((before, life_input), before)
            machine_state.upon(life_input).to(states[after]).returns(after)
    return builder


new_life = _build().build()
"""Builds the machine of one daemon: `new_life(LifeCore())`."""
