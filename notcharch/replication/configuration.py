"""Changes of a group's configuration, one member at a time.

Two successive configurations differ by one member, so any majority of the one
meets any majority of the other. A change begins only after the one before it and
an entry of the leader's own epoch are committed.
"""

import enum

import msgspec

from notcharch.replication.picture import Picture
from notcharch.values.identifiers import Member
from notcharch.wire.messages.replication import Configuration


class ChangeKind(enum.Enum):
    """What the leader should do next about the members."""

    ADD = "add"
    REMOVE = "remove"
    TRANSFER = "transfer"


class ConfigurationChange(msgspec.Struct, frozen=True):
    """The next step: add or remove a member, or let it lead."""

    kind: ChangeKind
    member: Member


def majority_of(configuration: Configuration) -> int:
    """Give the number of members that make a majority."""
    return len(configuration.members) // 2 + 1


def can_have_majority(configuration: Configuration, lost: frozenset[Member]) -> bool:
    """Tell whether the members outside `lost` may still be a majority."""
    remaining = [member for member in configuration.members if member not in lost]
    return len(remaining) >= majority_of(configuration)


def with_member(configuration: Configuration, member: Member) -> Configuration:
    """Give the next version with a member more."""
    members = tuple(sorted({*configuration.members, member}))
    return Configuration(configuration.version + 1, members)


def without_member(configuration: Configuration, member: Member) -> Configuration:
    """Give the next version with a member less."""
    members = tuple(other for other in configuration.members if other != member)
    return Configuration(configuration.version + 1, members)


def next_change(
    configuration: Configuration,
    picture: Picture,
    own: Member,
    replica_count: int,
    settled: bool,
) -> ConfigurationChange | None:
    """Choose the next step from the configuration to the picture's targets.

    `settled` says that the targets have not changed for a while: only then are
    members moved that are neither leaving nor certainly dead.
    """
    if own in picture.leaving:
        heir = _heir(configuration, picture, own)
        if heir is not None:
            return ConfigurationChange(ChangeKind.TRANSFER, heir)
    removal = _certain_removal(configuration, picture, own)
    if removal is not None:
        return ConfigurationChange(ChangeKind.REMOVE, removal)
    addition = _addition(configuration, picture, replica_count, settled)
    if addition is not None:
        return ConfigurationChange(ChangeKind.ADD, addition)
    reduction = _reduction(configuration, picture, own, replica_count)
    if reduction is not None:
        return reduction
    return _placement_of_leader(configuration, picture, own) if settled else None


def _placement_of_leader(
    configuration: Configuration, picture: Picture, own: Member
) -> ConfigurationChange | None:
    """Let the first target lead, so that leadership is spread like the replicas."""
    if not picture.targets or picture.targets[0] == own:
        return None
    if picture.targets[0] not in configuration.members:
        return None
    return ConfigurationChange(ChangeKind.TRANSFER, picture.targets[0])


def _certain_removal(
    configuration: Configuration, picture: Picture, own: Member
) -> Member | None:
    for member in configuration.members:
        if member in picture.dead and member != own:
            return member
    return None


def _addition(
    configuration: Configuration, picture: Picture, replica_count: int, settled: bool
) -> Member | None:
    staying = [
        member for member in configuration.members if member not in picture.leaving
    ]
    if len(staying) >= replica_count and not settled:
        return None
    if len(configuration.members) > replica_count:
        return None
    for target in picture.targets:
        if target not in configuration.members and target not in picture.leaving:
            return target
    return None


def _reduction(
    configuration: Configuration, picture: Picture, own: Member, replica_count: int
) -> ConfigurationChange | None:
    surplus = [m for m in configuration.members if m not in picture.targets]
    too_many = len(configuration.members) > replica_count
    candidates = surplus if too_many else [m for m in surplus if m in picture.leaving]
    if not candidates or len(configuration.members) == 1:
        return None
    victim = min(candidates, key=lambda member: _worth(member, picture))
    if victim != own:
        return ConfigurationChange(ChangeKind.REMOVE, victim)
    heir = _heir(configuration, picture, own)
    if heir is None:
        return None
    return ConfigurationChange(ChangeKind.TRANSFER, heir)


def _worth(member: Member, picture: Picture) -> int:
    if member not in picture.alive:
        return 0
    return 1 if member in picture.leaving else 2


def _heir(configuration: Configuration, picture: Picture, own: Member) -> Member | None:
    """Give the best other member to lead, live and staying."""
    ranked = sorted(configuration.members, key=picture.rank_of)
    for member in ranked:
        is_staying = member in picture.alive and member not in picture.leaving
        if member != own and is_staying:
            return member
    return None
