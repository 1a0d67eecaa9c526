"""Who may found or rebuild a group, from what peers and the log service say. Pure.

A group is rebuilt only when no member that holds something of it can be elected
any more, whatever happens. docs/design/replication.md argues why this is safe.
"""

import enum
from collections.abc import Callable

import msgspec

from notcharch.replication.archive_replay import ArchiveReplay
from notcharch.replication.configuration import can_have_majority, majority_of
from notcharch.replication.log import Position
from notcharch.values.identifiers import Member
from notcharch.wire.messages.replication import (
    Configuration,
    GroupDescription,
    Holding,
)

RANK_SECONDS = 1.0
"""How much longer each further replica waits before it claims."""


class Evidence(msgspec.Struct, frozen=True):
    """What is known of a partition whose leader is missing.

    `descriptions` has an entry for this member and for each that answered;
    `unanswered` are live members that did not. `archive` is None while the log
    service cannot be read. `is_region_majority` tells whether most daemons that
    are not certainly dead are seen. `waited_seconds` counts from the loss.
    """

    own: Member
    descriptions: dict[Member, GroupDescription]
    unanswered: frozenset[Member]
    archive: ArchiveReplay | None
    targets: tuple[Member, ...]
    is_dead: Callable[[Member], bool]
    is_region_majority: bool
    waited_seconds: float


UNSEEN_SECONDS = 30.0
"""How long a claim waits for members that may live but are not seen.

Such a member cannot be elected, but it may hold commands that no other one and
no archive holds.
"""


class WaitReason(enum.Enum):
    """Why nothing is claimed now."""

    LED = "led"
    CLAIM_UNDER_WAY = "claim_under_way"
    ELECTABLE = "electable"
    UNANSWERED = "unanswered"
    LOG_UNREADABLE = "log_unreadable"
    MINORITY_OF_REGION = "minority_of_region"
    MEMBERS_NOT_CERTAINLY_DEAD = "members_not_certainly_dead"
    UNSEEN_HOLDER = "unseen_holder"
    ANOTHER_CLAIMS = "another_claims"


class Claim(msgspec.Struct, frozen=True):
    """This member should claim the generation with the configuration."""

    generation: int
    configuration: Configuration


class Superseded(msgspec.Struct, frozen=True):
    """A group that this member left without knowing it goes on without it."""

    configuration: Configuration


class Wait(msgspec.Struct, frozen=True):
    """Ask again later."""

    reason: WaitReason

    @property
    def needs_archive(self) -> bool:
        """Tell whether the log service has to be read to decide."""
        return self.reason is WaitReason.LOG_UNREADABLE


Decision = Claim | Superseded | Wait


def decide(evidence: Evidence) -> Decision:
    """Choose what to do about a partition without a leader."""
    for description in evidence.descriptions.values():
        if description.leading:
            return _beside_leader(evidence, description)
        if description.holding is Holding.CLAIMING:
            return Wait(WaitReason.CLAIM_UNDER_WAY)
    holders = {
        member: description
        for member, description in evidence.descriptions.items()
        if description.holding is Holding.STATE
    }
    if any(_is_electable(member, evidence) for member in holders):
        return Wait(WaitReason.ELECTABLE)
    return _without_leader(evidence, holders)


def _beside_leader(evidence: Evidence, leading: GroupDescription) -> Decision:
    own = evidence.descriptions[evidence.own]
    configuration = leading.configuration
    if own.holding is not Holding.STATE or configuration is None:
        return Wait(WaitReason.LED)
    if evidence.own in configuration.members or leading.epoch < own.epoch:
        return Wait(WaitReason.LED)
    return Superseded(configuration)


def _is_electable(candidate: Member, evidence: Evidence) -> bool:
    """Tell whether a majority of its configuration may yet vote for a holder."""
    description = evidence.descriptions[candidate]
    configuration = description.configuration
    if configuration is None or candidate not in configuration.members:
        return False
    voters = [
        member
        for member in configuration.members
        if _may_vote(member, position_of(description), evidence)
    ]
    return len(voters) >= majority_of(configuration)


def _may_vote(voter: Member, candidate: Position, evidence: Evidence) -> bool:
    if evidence.is_dead(voter):
        return False
    description = evidence.descriptions.get(voter)
    return description is None or position_of(description) <= candidate


def position_of(description: GroupDescription) -> Position:
    """Give the position of a member's log."""
    return Position(description.last_epoch, description.last_index)


def _without_leader(
    evidence: Evidence, holders: dict[Member, GroupDescription]
) -> Decision:
    archive = evidence.archive
    if archive is None:
        return Wait(WaitReason.LOG_UNREADABLE)
    if archive.generation == 0:
        return _genesis(evidence)
    if evidence.unanswered:
        return Wait(WaitReason.UNANSWERED)
    if not evidence.is_region_majority:
        return Wait(WaitReason.MINORITY_OF_REGION)
    if _may_archived_group_live(evidence, archive):
        return Wait(WaitReason.MEMBERS_NOT_CERTAINLY_DEAD)
    if _may_unseen_hold_more(evidence, holders, archive):
        return Wait(WaitReason.UNSEEN_HOLDER)
    claim = Claim(archive.generation + 1, Configuration(1, (evidence.own,)))
    return _by_best(evidence, holders, archive, claim)


def _genesis(evidence: Evidence) -> Decision:
    """Claim a partition that nobody ever claimed: every blank member is right."""
    claim = Claim(1, Configuration(1, tuple(sorted(evidence.targets))))
    return _in_turn(evidence, claim)


def _unseen(configuration: Configuration, evidence: Evidence) -> list[Member]:
    """Give the members that may live, but neither answered nor were asked."""
    return [
        member
        for member in configuration.members
        if member not in evidence.descriptions and not evidence.is_dead(member)
    ]


def _may_archived_group_live(evidence: Evidence, archive: ArchiveReplay) -> bool:
    """Tell whether the group that the archive tells of may elect an unseen member.

    A member that answered with nothing is no candidate, but it has a vote.
    """
    configuration = archive.configuration
    if configuration is None or not _unseen(configuration, evidence):
        return False
    dead = frozenset(filter(evidence.is_dead, configuration.members))
    return can_have_majority(configuration, dead)


def _may_unseen_hold_more(
    evidence: Evidence, holders: dict[Member, GroupDescription], archive: ArchiveReplay
) -> bool:
    """Tell whether to wait for members that may come back with more than is here."""
    if evidence.waited_seconds >= UNSEEN_SECONDS:
        return False
    known = [description.configuration for description in holders.values()]
    known.append(archive.configuration)
    return any(
        _unseen(configuration, evidence)
        for configuration in known
        if configuration is not None
    )


def _by_best(
    evidence: Evidence,
    holders: dict[Member, GroupDescription],
    archive: ArchiveReplay,
    claim: Claim,
) -> Decision:
    """Let the member with the best log claim; in turn if the archive is best."""
    best = max(map(position_of, holders.values()), default=None)
    archived = Position(archive.last_epoch, archive.last_index)
    if best is None or best < archived:
        return _in_turn(evidence, claim)
    own = holders.get(evidence.own)
    if own is not None and position_of(own) == best:
        # Another log may be as good, but its holder need not know that there is
        # no leader. If both claim, the log service decides.
        return claim
    return Wait(WaitReason.ANOTHER_CLAIMS)


def _in_turn(evidence: Evidence, claim: Claim) -> Decision:
    """Claim at once as the first replica, later as a further one."""
    if evidence.own not in evidence.targets:
        return Wait(WaitReason.ANOTHER_CLAIMS)
    rank = evidence.targets.index(evidence.own)
    if evidence.waited_seconds < rank * RANK_SECONDS:
        return Wait(WaitReason.ANOTHER_CLAIMS)
    return claim
