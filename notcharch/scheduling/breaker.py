"""A circuit breaker: after repeated failures nothing is tried for a while.

closed → (failures in a row) → open → (pause over) → half-open, in which one
try decides: a success closes the breaker, a failure opens it for twice as long.
"""

from typing import Protocol

import msgspec
from automat import TypeMachineBuilder


class BreakerPolicy(msgspec.Struct, frozen=True):
    """When to open, and for how many seconds."""

    failures_to_open: int = 5
    first_pause_seconds: float = 2.0
    longest_pause_seconds: float = 60.0


class _BreakerMachine(Protocol):
    """The inputs of the breaker's machine."""

    def trip(self) -> None:
        """Note too many failures in a row."""

    def pause_over(self) -> None:
        """Note that the pause after opening has passed."""

    def probe_succeeded(self) -> None:
        """Note that the one try worked."""

    def probe_failed(self) -> None:
        """Note that the one try failed."""

    def permits(self) -> bool:
        """Tell whether something may be tried now."""

    def probing(self) -> bool:
        """Tell whether the next outcome decides."""


class _Core:
    """What the machine keeps: whether the one probe is under way."""

    probe_running = False


_builder = TypeMachineBuilder(_BreakerMachine, _Core)
_closed = _builder.state("closed")
_open = _builder.state("open")
_half_open = _builder.state("half_open")

for _state, _input, _target in (
    (_closed, _BreakerMachine.trip, _open),
    (_closed, _BreakerMachine.pause_over, _closed),
    (_closed, _BreakerMachine.probe_succeeded, _closed),
    (_closed, _BreakerMachine.probe_failed, _closed),
    (_open, _BreakerMachine.trip, _open),
    (_open, _BreakerMachine.pause_over, _half_open),
    (_open, _BreakerMachine.probe_succeeded, _open),
    (_open, _BreakerMachine.probe_failed, _open),
    (_half_open, _BreakerMachine.trip, _open),
    (_half_open, _BreakerMachine.pause_over, _half_open),
    (_half_open, _BreakerMachine.probe_succeeded, _closed),
    (_half_open, _BreakerMachine.probe_failed, _open),
):
    _state.upon(_input).to(_target).returns(None)


@_closed.upon(_BreakerMachine.permits).loop()
def _closed_permits(machine: _BreakerMachine, core: _Core) -> bool:
    return True


@_open.upon(_BreakerMachine.permits).loop()
def _open_permits(machine: _BreakerMachine, core: _Core) -> bool:
    return False


@_half_open.upon(_BreakerMachine.permits).loop()
def _half_open_permits(machine: _BreakerMachine, core: _Core) -> bool:
    return not core.probe_running


for _state, _result in ((_closed, False), (_open, False), (_half_open, True)):
    _state.upon(_BreakerMachine.probing).loop().returns(_result)

_build_machine = _builder.build()


class CircuitBreaker:
    """Counts failures and keeps the times around the machine.

    While the breaker is closed the machine is not asked: this is on every call's way.
    """

    def __init__(self, policy: BreakerPolicy) -> None:
        """Start closed."""
        self._policy = policy
        self._core = _Core()
        self._machine = _build_machine(self._core)
        self._closed = True
        self._failures = 0
        self._pause_seconds = policy.first_pause_seconds
        self._open_until = 0.0

    def permits(self, now: float) -> bool:
        """Tell whether something may be tried now; changes nothing but the time."""
        if self._closed:
            return True
        if now >= self._open_until:
            self._machine.pause_over()
        return self._machine.permits()

    def permits_again_at(self) -> float:
        """Give the time at which an open breaker permits the next try."""
        return self._open_until

    def started(self) -> None:
        """Note that a permitted try began; half-open permits only one."""
        if not self._closed and self._machine.probing():
            self._core.probe_running = True

    def succeeded(self) -> None:
        """Note a success."""
        self._failures = 0
        if not self._closed and self._machine.probing():
            self._core.probe_running = False
            self._machine.probe_succeeded()
            self._closed = True
            self._pause_seconds = self._policy.first_pause_seconds

    def failed(self, now: float) -> None:
        """Note a failure."""
        self._failures += 1
        if self._machine.probing():
            self._core.probe_running = False
            self._machine.probe_failed()
            self._pause_seconds = min(
                2 * self._pause_seconds, self._policy.longest_pause_seconds
            )
            self._open_until = now + self._pause_seconds
        elif self._failures >= self._policy.failures_to_open:
            self._failures = 0
            self._closed = False
            self._machine.trip()
            self._open_until = now + self._pause_seconds

    def abandoned(self) -> None:
        """Note that a try ended without saying anything about the other side."""
        self._core.probe_running = False
