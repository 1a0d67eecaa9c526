"""The role of a member in its group, as a state machine."""

import enum
from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder


class Role(enum.Enum):
    """What a member does in its group."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    UNCONFIRMED = "unconfirmed"
    """Leads, but must not serve its state: entries of earlier leaders may be
    missing in it, or it was paused and another leader may exist."""

    LEADER = "leader"


LEADING = frozenset({Role.UNCONFIRMED, Role.LEADER})


class RoleMachine(Protocol):
    """What changes a member's role."""

    def stand(self) -> None:
        """Ask for votes."""

    def win(self) -> None:
        """Lead, after a majority voted or a claim was won."""

    def confirm(self) -> None:
        """Know that the whole state is applied, so that it may be served."""

    def doubt(self) -> None:
        """Not be sure any more of still leading, after a pause."""

    def follow(self) -> None:
        """Give up standing or leading."""


class RoleHolder:
    """Keeps the machine's state where the hot path can read it cheaply."""

    def __init__(self) -> None:
        """Begin as a follower."""
        self.role = Role.FOLLOWER
        self.is_leading = False
        """Whether this member leads, confirmed or not."""
        self.moves: RoleMachine = _FACTORY(self)


_MOVES: tuple[tuple[Callable[[RoleMachine], None], dict[Role, Role]], ...] = (
    (
        RoleMachine.stand,
        {Role.FOLLOWER: Role.CANDIDATE, Role.CANDIDATE: Role.CANDIDATE},
    ),
    (
        RoleMachine.win,
        {Role.FOLLOWER: Role.UNCONFIRMED, Role.CANDIDATE: Role.UNCONFIRMED},
    ),
    (RoleMachine.confirm, {Role.UNCONFIRMED: Role.LEADER, Role.LEADER: Role.LEADER}),
    (
        RoleMachine.doubt,
        {Role.UNCONFIRMED: Role.UNCONFIRMED, Role.LEADER: Role.UNCONFIRMED},
    ),
    (RoleMachine.follow, dict.fromkeys(Role, Role.FOLLOWER)),
)


def _build() -> TypeMachineBuilder[RoleMachine, RoleHolder]:
    builder = TypeMachineBuilder(RoleMachine, RoleHolder)
    states = {role: builder.state(role.value) for role in Role}
    for trigger, targets in _MOVES:
        for origin, target in targets.items():
            transition = states[origin].upon(trigger).to(states[target])
            transition(_recorder(target))
    return builder


def _recorder(role: Role) -> Callable[[RoleMachine, RoleHolder], None]:
    def record(_machine: RoleMachine, holder: RoleHolder) -> None:
        holder.role = role
        holder.is_leading = role in LEADING

    return record


_FACTORY = _build().build()
