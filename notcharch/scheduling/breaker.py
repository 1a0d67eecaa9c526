"""A circuit breaker: stops attempts for a while after repeated failures.

closed → (consecutive failures) → open → (pause elapsed) → half-open, in which one probe
is allowed: its success closes the breaker, its failure opens it for twice as long.
"""

from typing import Protocol

import msgspec
from automat import TypeMachineBuilder


class BreakerPolicy(msgspec.Struct, frozen=True):
    """When to open the breaker, and for how many seconds."""

    failures_to_open: int = 5
    first_pause_seconds: float = 2.0
    longest_pause_seconds: float = 60.0


class _BreakerMachine(Protocol):
    """The inputs of the breaker's state machine."""

    def trip(self) -> None:
        """Handle too many consecutive failures."""

    def pause_over(self) -> None:
        """Handle the end of the pause after opening."""

    def probe_succeeded(self) -> None:
        """Handle the success of the probe."""

    def probe_failed(self) -> None:
        """Handle the failure of the probe."""

    def permits(self) -> bool:
        """Return whether an attempt is allowed now."""

    def probing(self) -> bool:
        """Return whether the next outcome is that of the probe."""


class _Core:
    """The data of the state machine: whether the probe is running."""

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
    """Counts failures and keeps the timers of the state machine.

    While the breaker is closed the state machine isn't consulted, because every call
    passes here.
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
        """Return whether an attempt is allowed now."""
        if self._closed:
            return True
        if now >= self._open_until:
            self._machine.pause_over()
        return self._machine.permits()

    def permits_again_at(self) -> float:
        """Return the time at which an open breaker allows the next attempt."""
        return self._open_until

    def started(self) -> None:
        """Record that an allowed attempt started; half-open allows only one."""
        if not self._closed and self._machine.probing():
            self._core.probe_running = True

    def succeeded(self) -> None:
        """Record a success."""
        self._failures = 0
        if not self._closed and self._machine.probing():
            self._core.probe_running = False
            self._machine.probe_succeeded()
            self._closed = True
            self._pause_seconds = self._policy.first_pause_seconds

    def failed(self, now: float) -> None:
        """Record a failure."""
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
        """Record an attempt that ended without a success or failure."""
        self._core.probe_running = False
