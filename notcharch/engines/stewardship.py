"""The life of one daemon's stewardship of one engine. Pure.

unassigned → (hashing names this daemon) → claiming → (claim recorded) →
holding → (another process claimed) → superseded → (it is gone) → claiming.
A steward queues calls while it claims or holds, and grants only while it holds.
"""

import enum
from typing import Protocol

from automat import TypeMachineBuilder

from notcharch.values.identifiers import Epoch, Member


class StewardshipPhase(enum.Enum):
    """Where the life stands."""

    UNASSIGNED = "unassigned"
    CLAIMING = "claiming"
    HOLDING = "holding"
    SUPERSEDED = "superseded"


class _Life(Protocol):
    """The inputs of the machine."""

    def assign(self) -> None:
        """Note that hashing names this daemon."""

    def unassign(self) -> None:
        """Note that hashing names another daemon."""

    def claimed(self) -> None:
        """Note that this process's claim was recorded."""

    def superseded(self) -> None:
        """Note that another process claimed the engine later."""

    def reclaim(self) -> None:
        """Claim again although superseded."""

    def phase(self) -> StewardshipPhase:
        """Give the phase."""


class _Core:
    """The machine keeps nothing beside its state."""


_builder = TypeMachineBuilder(_Life, _Core)
_unassigned = _builder.state("unassigned")
_claiming = _builder.state("claiming")
_holding = _builder.state("holding")
_superseded = _builder.state("superseded")

for _state, _input, _target in (
    (_unassigned, _Life.assign, _claiming),
    (_unassigned, _Life.unassign, _unassigned),
    (_unassigned, _Life.claimed, _unassigned),
    (_unassigned, _Life.superseded, _unassigned),
    (_unassigned, _Life.reclaim, _unassigned),
    (_claiming, _Life.assign, _claiming),
    (_claiming, _Life.unassign, _unassigned),
    (_claiming, _Life.claimed, _holding),
    (_claiming, _Life.superseded, _superseded),
    (_claiming, _Life.reclaim, _claiming),
    (_holding, _Life.assign, _holding),
    (_holding, _Life.unassign, _unassigned),
    (_holding, _Life.claimed, _holding),
    (_holding, _Life.superseded, _superseded),
    (_holding, _Life.reclaim, _holding),
    (_superseded, _Life.assign, _superseded),
    (_superseded, _Life.unassign, _unassigned),
    (_superseded, _Life.claimed, _superseded),
    (_superseded, _Life.superseded, _superseded),
    (_superseded, _Life.reclaim, _claiming),
):
    _state.upon(_input).to(_target).returns(None)

for _state, _phase in (
    (_unassigned, StewardshipPhase.UNASSIGNED),
    (_claiming, StewardshipPhase.CLAIMING),
    (_holding, StewardshipPhase.HOLDING),
    (_superseded, StewardshipPhase.SUPERSEDED),
):
    _state.upon(_Life.phase).loop().returns(_phase)

_machine = _builder.build()


class Stewardship:
    """The claim on one engine, with its epoch and who superseded it."""

    def __init__(self, own_member: Member) -> None:
        """Begin unassigned."""
        self._own_member = own_member
        self._life = _machine(_Core())
        self._epoch = Epoch(0)
        self._confirmed_at: float | None = None
        self.superseded_by: Member | None = None
        """Who holds the claim instead, while superseded."""

    @property
    def phase(self) -> StewardshipPhase:
        """Where the life stands."""
        return self._life.phase()

    @property
    def epoch(self) -> Epoch | None:
        """The epoch of the claim while it is held, else None."""
        return self._epoch if self.phase == StewardshipPhase.HOLDING else None

    def confirmed_within(self, seconds: float, now: float) -> bool:
        """Tell whether the journal confirmed the claim lately: orders need that."""
        if self.phase != StewardshipPhase.HOLDING or self._confirmed_at is None:
            return False
        return now - self._confirmed_at <= seconds

    def assign(self, assigned: bool) -> None:
        """Take in whether hashing names this daemon."""
        if assigned:
            self._life.assign()
        else:
            self._life.unassign()

    def learn_claim(self, member: Member | None, epoch: Epoch, asked_at: float) -> None:
        """Take in the claim in force as it was at some time after `asked_at`."""
        if epoch < self._epoch:
            return
        if member == self._own_member:
            self._epoch = epoch
            self._confirmed_at = asked_at
            self._life.claimed()
        elif member is not None:
            self._epoch = epoch
            self.superseded_by = member
            self._life.superseded()

    def reclaim(self) -> None:
        """Claim again, because the process that superseded this one is gone."""
        self._life.reclaim()
