"""The state machine of one daemon's stewardship of one engine. No I/O.

unassigned → (hashing assigns this daemon) → claiming → (claim recorded) →
holding → (another process claimed) → superseded → (it left) → claiming.
A steward queues calls while claiming or holding, and grants only while holding.
"""

import enum
from typing import Protocol

from automat import TypeMachineBuilder

from notcharch.values.identifiers import Epoch, Member


class StewardshipPhase(enum.Enum):
    """The states of a stewardship."""

    UNASSIGNED = "unassigned"
    CLAIMING = "claiming"
    HOLDING = "holding"
    SUPERSEDED = "superseded"


class _StewardshipMachine(Protocol):
    """The inputs of the machine."""

    def assign(self) -> None:
        """Process the assignment of the engine to this daemon."""

    def unassign(self) -> None:
        """Process the assignment of the engine to another daemon."""

    def claimed(self) -> None:
        """Process a recorded claim of this process."""

    def superseded(self) -> None:
        """Process a later claim by another process."""

    def reclaim(self) -> None:
        """Claim again after being superseded."""

    def phase(self) -> StewardshipPhase:
        """Return the current phase."""


class _Core:
    """The machine has no data besides its state."""


_builder = TypeMachineBuilder(_StewardshipMachine, _Core)
_unassigned = _builder.state("unassigned")
_claiming = _builder.state("claiming")
_holding = _builder.state("holding")
_superseded = _builder.state("superseded")

for _state, _input, _target in (
    (_unassigned, _StewardshipMachine.assign, _claiming),
    (_unassigned, _StewardshipMachine.unassign, _unassigned),
    (_unassigned, _StewardshipMachine.claimed, _unassigned),
    (_unassigned, _StewardshipMachine.superseded, _unassigned),
    (_unassigned, _StewardshipMachine.reclaim, _unassigned),
    (_claiming, _StewardshipMachine.assign, _claiming),
    (_claiming, _StewardshipMachine.unassign, _unassigned),
    (_claiming, _StewardshipMachine.claimed, _holding),
    (_claiming, _StewardshipMachine.superseded, _superseded),
    (_claiming, _StewardshipMachine.reclaim, _claiming),
    (_holding, _StewardshipMachine.assign, _holding),
    (_holding, _StewardshipMachine.unassign, _unassigned),
    (_holding, _StewardshipMachine.claimed, _holding),
    (_holding, _StewardshipMachine.superseded, _superseded),
    (_holding, _StewardshipMachine.reclaim, _holding),
    (_superseded, _StewardshipMachine.assign, _superseded),
    (_superseded, _StewardshipMachine.unassign, _unassigned),
    (_superseded, _StewardshipMachine.claimed, _superseded),
    (_superseded, _StewardshipMachine.superseded, _superseded),
    (_superseded, _StewardshipMachine.reclaim, _claiming),
):
    _state.upon(_input).to(_target).returns(None)

for _state, _phase in (
    (_unassigned, StewardshipPhase.UNASSIGNED),
    (_claiming, StewardshipPhase.CLAIMING),
    (_holding, StewardshipPhase.HOLDING),
    (_superseded, StewardshipPhase.SUPERSEDED),
):
    _state.upon(_StewardshipMachine.phase).loop().returns(_phase)

_new_machine = _builder.build()


class Stewardship:
    """The claim on one engine, with its epoch and who superseded it."""

    def __init__(self, own_member: Member) -> None:
        """Start unassigned."""
        self._own_member = own_member
        self._machine = _new_machine(_Core())
        self._epoch = Epoch(0)
        self._confirmed_at: float | None = None
        self.superseded_by: Member | None = None
        """The process that holds the claim while this one is superseded."""

    @property
    def phase(self) -> StewardshipPhase:
        """The current phase."""
        return self._machine.phase()

    @property
    def epoch(self) -> Epoch | None:
        """The epoch of the claim while this process holds it, else None."""
        return self._epoch if self.phase == StewardshipPhase.HOLDING else None

    def confirmed_within(self, seconds: float, now: float) -> bool:
        """Return whether the journal confirmed the claim in the last `seconds`."""
        if self.phase != StewardshipPhase.HOLDING or self._confirmed_at is None:
            return False
        return now - self._confirmed_at <= seconds

    def assign(self, assigned: bool) -> None:
        """Record whether hashing assigns the engine to this daemon."""
        if assigned:
            self._machine.assign()
        else:
            self._machine.unassign()

    def learn_claim(
        self, member: Member | None, epoch: Epoch, requested_at: float
    ) -> None:
        """Record the claim in force, as read at some time after `requested_at`."""
        if epoch < self._epoch:
            return
        if member == self._own_member:
            self._epoch = epoch
            self._confirmed_at = requested_at
            self._machine.claimed()
        elif member is not None:
            self._epoch = epoch
            self.superseded_by = member
            self._machine.superseded()

    def reclaim(self) -> None:
        """Claim again after being superseded."""
        self._machine.reclaim()
