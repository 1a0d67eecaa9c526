"""Faults to order: what they are, and how a target's exchanges suffer from them."""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec
from result import Err, Ok, Result
from twisted.internet.interfaces import IReactorTime

FOREVER = float("inf")


class FaultKind(enum.Enum):
    """Every fault, with the meaning of its `argument`."""

    DOWN = "down"
    """Not reachable, or 503 of a service; seconds, none until cleared."""

    SLOW = "slow"
    """Each reply comes later; seconds added."""

    HANG = "hang"
    """Requests have no effect and are never answered; seconds, none until cleared."""

    REFUSE = "refuse"
    """The next requests are refused without effect; their number, 1."""

    ANSWER_LOST = "answer_lost"
    """The answers of the next effects are lost; their number, 1."""

    LAG = "lag"
    """Machine list: seconds behind the truth. Engine: seconds cache events are late."""

    EVENT_LOSS = "event_loss"
    """Engine: part of the cache events that is lost, 0.0 … 1.0."""

    FREEZE_LOAD = "freeze_load"
    """Engine: the load report no longer changes."""

    SLOW_STEPS = "slow_steps"
    """Engine: the factor by which each step is longer."""

    STALL = "stall"
    """Engine: nothing progresses until cleared."""

    BREAK_STREAMS = "break_streams"
    """Engine, once: the connections of all open streams are cut."""

    RESTART = "restart"
    """Engine, once: forgets everything; seconds that it is down, 0."""

    LEAVE = "leave"
    """Engine: announced as leaving, until cleared."""


TRANSPORT_FAULTS = frozenset(
    {
        FaultKind.DOWN,
        FaultKind.SLOW,
        FaultKind.HANG,
        FaultKind.REFUSE,
        FaultKind.ANSWER_LOST,
    }
)


class Fault(msgspec.Struct, frozen=True):
    """An order of a fault; `target` is an engine's or service's name."""

    target: str
    fault: FaultKind
    argument: float | None = None


class Verdict(enum.Enum):
    """What happens to a request before it has any effect."""

    PROCEED = "proceed"
    DOWN = "down"
    HANG = "hang"
    REFUSE = "refuse"


class TransportFaults:
    """The faults of the exchanges with one target; timed ones end by themselves."""

    def __init__(self, clock: IReactorTime) -> None:
        """Begin without faults."""
        self._clock = clock
        self.on_down: Callable[[], None] = _nothing
        """Called when `down` is ordered or cleared; it ends in time by itself."""

        self._forget()

    def clear(self) -> None:
        """End all faults."""
        self._forget()
        self.on_down()

    def _forget(self) -> None:
        self.slow_seconds = 0.0
        self._down_until = 0.0
        self._hangs_until = 0.0
        self._refusals = 0
        self._lost_answers = 0

    def order(self, fault: FaultKind, argument: float | None) -> None:
        """Begin one of `TRANSPORT_FAULTS`."""
        if fault is FaultKind.DOWN:
            self._down_until = self._end_of(argument)
            self.on_down()
        elif fault is FaultKind.HANG:
            self._hangs_until = self._end_of(argument)
        elif fault is FaultKind.SLOW:
            self.slow_seconds = argument or 0.0
        elif fault is FaultKind.REFUSE:
            self._refusals = _count(argument)
        elif fault is FaultKind.ANSWER_LOST:
            self._lost_answers = _count(argument)

    @property
    def down(self) -> bool:
        """Whether nothing reaches the target now."""
        return self._clock.seconds() < self._down_until

    @property
    def down_seconds(self) -> float | None:
        """How long it stays down, None when nobody knows."""
        left = self._down_until - self._clock.seconds()
        return None if left == FOREVER else max(0.0, left)

    def before_effect(self) -> Verdict:
        """Decide about a request that arrives; uses up a refusal."""
        if self.down:
            return Verdict.DOWN
        if self._clock.seconds() < self._hangs_until:
            return Verdict.HANG
        if self._refusals:
            self._refusals -= 1
            return Verdict.REFUSE
        return Verdict.PROCEED

    def loses_answer(self) -> bool:
        """Decide about the answer of an effect; uses up a loss."""
        if not self._lost_answers:
            return False
        self._lost_answers -= 1
        return True

    def _end_of(self, seconds: float | None) -> float:
        return FOREVER if seconds is None else self._clock.seconds() + seconds


def _nothing() -> None:
    """Ignore the call."""


def _count(argument: float | None) -> int:
    return 1 if argument is None else int(argument)


class FaultTarget(Protocol):
    """Something that faults can be ordered for."""

    def order_fault(self, fault: FaultKind, argument: float | None) -> bool:
        """Begin a fault; False when this target cannot have it."""

    def clear_faults(self) -> None:
        """End all active faults."""


class ServiceFaults:
    """The fault target of a service that has transport faults only."""

    def __init__(self, clock: IReactorTime) -> None:
        """Begin without faults."""
        self.transport = TransportFaults(clock)

    def order_fault(self, fault: FaultKind, argument: float | None) -> bool:
        """Begin a transport fault."""
        if fault not in TRANSPORT_FAULTS:
            return False
        self.transport.order(fault, argument)
        return True

    def clear_faults(self) -> None:
        """End all faults."""
        self.transport.clear()


class FaultBoard:
    """All targets by name; the control interface and tests order faults here."""

    def __init__(self) -> None:
        """Begin without targets."""
        self._targets: dict[str, FaultTarget] = {}

    def add(self, name: str, target: FaultTarget) -> None:
        """Register a target."""
        self._targets[name] = target

    def order(self, fault: Fault) -> Result[None, str]:
        """Begin a fault, or say why it cannot be."""
        target = self._targets.get(fault.target)
        if target is None:
            known = ", ".join(sorted(self._targets))
            return Err(f"no target {fault.target!r}; there are: {known}")
        if not target.order_fault(fault.fault, fault.argument):
            return Err(f"{fault.target} cannot have the fault {fault.fault.value}")
        return Ok(None)

    def clear(self) -> None:
        """End all active faults of all targets."""
        for target in self._targets.values():
            target.clear_faults()
