"""Two members that hold the same log and have no majority do not wait for ever.

A member that was being added when its group lost the majority has the former
leader's whole log. It believes that leader alive and so claims nothing itself;
only the former leader knows that it leads no more.
"""

import pytest

from notcharch.replication.arbitration import Claim, Evidence, Wait, decide
from notcharch.replication.archive_replay import ArchiveReplay
from notcharch.values.identifiers import Epoch, Member
from notcharch.wire.messages.replication import (
    Configuration,
    GroupDescription,
    Holding,
)

EPOCH = Epoch(1_000_000_002)
FORMER = Member("zone1-a", 1)
ADDED = Member("zone3-b", 1)
LOST = (Member("zone2-a", 1), Member("zone2-b", 1))
GROUP = Configuration(16, (FORMER, *LOST, ADDED))


def archive():
    replay = ArchiveReplay()
    replay.generation = 1
    replay.configuration = Configuration(15, (FORMER, *LOST))
    return replay


def holder(index, leader):
    return GroupDescription(0, Holding.STATE, EPOCH, index, EPOCH, GROUP, leader)


def evidence(own, others):
    """Put the one who decides last into the descriptions, as `Recovery` does."""
    descriptions = others | {own[0]: own[1]}
    return Evidence(
        own[0], descriptions, frozenset(), archive(), (), LOST.__contains__, True, 9.0
    )


def test_the_former_leader_claims_though_another_log_is_as_good():
    decision = decide(evidence((FORMER, holder(37, None)), {ADDED: holder(37, FORMER)}))
    assert decision == Claim(2, Configuration(1, (FORMER,)))


@pytest.mark.parametrize("ahead", [1, 5])
def test_a_better_log_is_left_to_its_holder(ahead):
    decision = decide(
        evidence((FORMER, holder(37, None)), {ADDED: holder(37 + ahead, None)})
    )
    assert isinstance(decision, Wait)
