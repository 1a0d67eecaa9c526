"""Who may found or rebuild a group: a table of cases."""

import msgspec
import pytest

from notcharch.replication.arbitration import (
    UNSEEN_SECONDS,
    Claim,
    Evidence,
    Superseded,
    Wait,
    WaitReason,
    decide,
)
from notcharch.replication.archive_replay import ArchiveReplay
from notcharch.values.identifiers import Member
from notcharch.wire.messages.replication import (
    Configuration,
    GroupDescription,
    Holding,
)

A, B, C, D = (Member(name, 1) for name in "abcd")
ABC = Configuration(1, (A, B, C))
EPOCH = 1_000_000_000
NOTHING = GroupDescription(0, Holding.NOTHING)
CLAIMING = GroupDescription(0, Holding.CLAIMING)


def holds(index, configuration=ABC, epoch=EPOCH, leading=False, holding=Holding.STATE):
    return GroupDescription(
        0, holding, epoch, index, epoch, configuration, leading=leading
    )


def archive(generation=1, index=0, configuration=ABC):
    replay = ArchiveReplay()
    replay.generation = generation
    replay.last_index = index
    replay.last_epoch = EPOCH if index else 0
    replay.configuration = configuration
    return replay


def evidence(descriptions, **changes):
    given = Evidence(
        own=A,
        descriptions=descriptions,
        unanswered=frozenset(),
        archive=archive(),
        targets=(A, B, C),
        is_dead=lambda member: False,
        is_region_majority=True,
        waited_seconds=0.0,
    )
    return msgspec.structs.replace(given, **changes)


def dead(*members):
    return lambda member: member in members


BLANK = {A: NOTHING, B: NOTHING, C: NOTHING}
CASES = {
    "fresh region": (
        evidence(BLANK, archive=archive(0, configuration=None)),
        Claim(1, ABC),
    ),
    "fresh region, an unanswered peer cannot hold anything": (
        evidence(
            {A: NOTHING},
            unanswered=frozenset({B}),
            archive=archive(0, configuration=None),
        ),
        Claim(1, ABC),
    ),
    "fresh region, not the first replica": (
        evidence(BLANK, archive=archive(0, configuration=None), targets=(B, A, C)),
        WaitReason.ANOTHER_CLAIMS,
    ),
    "fresh region, the first replica does not claim": (
        evidence(
            BLANK,
            archive=archive(0, configuration=None),
            targets=(B, A, C),
            waited_seconds=1.0,
        ),
        Claim(1, ABC),
    ),
    "somebody leads": (
        evidence({A: NOTHING, B: holds(5, leading=True)}),
        WaitReason.LED,
    ),
    "somebody leads without this member": (
        evidence({A: holds(3), B: holds(5, Configuration(2, (B, C)), leading=True)}),
        Superseded(Configuration(2, (B, C))),
    ),
    "a leader of an older epoch says nothing": (
        evidence(
            {
                A: holds(3, epoch=EPOCH + 1),
                B: holds(5, Configuration(2, (B, C)), leading=True),
            }
        ),
        WaitReason.LED,
    ),
    "a claim is under way": (
        evidence({A: NOTHING, B: CLAIMING}),
        WaitReason.CLAIM_UNDER_WAY,
    ),
    "an election is possible": (
        evidence({A: holds(3), B: holds(3)}, is_dead=dead(C)),
        WaitReason.ELECTABLE,
    ),
    "a blank member has a vote": (
        evidence({A: holds(3), B: NOTHING}, is_dead=dead(C)),
        WaitReason.ELECTABLE,
    ),
    "a member that did not answer may vote": (
        evidence({A: holds(3)}, is_dead=dead(C)),
        WaitReason.ELECTABLE,
    ),
    "one survivor": (
        evidence({A: holds(3)}, is_dead=dead(B, C)),
        Claim(2, Configuration(1, (A,))),
    ),
    "one survivor, log service down": (
        evidence({A: holds(3)}, is_dead=dead(B, C), archive=None),
        WaitReason.LOG_UNREADABLE,
    ),
    "one survivor, a live daemon did not answer": (
        evidence({A: holds(3)}, is_dead=dead(B, C), unanswered=frozenset({D})),
        WaitReason.UNANSWERED,
    ),
    "one survivor in the smaller part of the region": (
        evidence({A: holds(3)}, is_dead=dead(B, C), is_region_majority=False),
        WaitReason.MINORITY_OF_REGION,
    ),
    "another survivor has more": (
        evidence(
            {A: holds(3), D: holds(4, Configuration(2, (B, C, D)))},
            is_dead=dead(B, C),
        ),
        WaitReason.ANOTHER_CLAIMS,
    ),
    "the archive has more": (
        evidence({A: holds(3)}, is_dead=dead(B, C), archive=archive(index=9)),
        Claim(2, Configuration(1, (A,))),
    ),
    "all restarted": (
        evidence({A: NOTHING}, is_dead=dead(A, B, C)),
        Claim(2, Configuration(1, (A,))),
    ),
    "blank, and a member of the archived group may be elected": (
        evidence({A: NOTHING, D: NOTHING}, is_dead=dead(C)),
        WaitReason.MEMBERS_NOT_CERTAINLY_DEAD,
    ),
    "blank, and an unseen member may hold more": (
        evidence({A: NOTHING, D: NOTHING}, is_dead=dead(A, C)),
        WaitReason.UNSEEN_HOLDER,
    ),
    "blank, and the unseen member does not come": (
        evidence(
            {A: NOTHING, D: NOTHING},
            is_dead=dead(A, C),
            waited_seconds=UNSEEN_SECONDS,
        ),
        Claim(2, Configuration(1, (A,))),
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_decision(case):
    given, expected = CASES[case]
    if isinstance(expected, WaitReason):
        expected = Wait(expected)
    assert decide(given) == expected
