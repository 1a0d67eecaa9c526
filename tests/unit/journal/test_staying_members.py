"""Which members count as staying."""

import math
from random import Random

import pytest
from msgspec import Raw
from result import Err, Ok
from twisted.internet.defer import Deferred

from notcharch.errors import Problem, ProblemCode
from notcharch.journal.owner_messages import OwnersSeen
from notcharch.journal.staying_members import (
    ASKED_MEMBERS,
    MembersAsked,
    StayingMembers,
)
from notcharch.values.identifiers import DaemonName, Incarnation, Member
from notcharch.wire.codec import MessageCodec
from notcharch.wire.messages.base import Message

STAYS = Ok(OwnersSeen(0.1, {}))
LEAVES = Ok(OwnersSeen(0.1, {}, is_leaving=True))
NO_MEMBER = Ok(OwnersSeen(math.inf, {}))
OTHER_KIND = Ok(Message())
FAILURE = Err(Problem.of(ProblemCode.UNAVAILABLE, "no connection"))


class Network:
    """Records the requests, whose replies are given later."""

    own_member = Member(DaemonName("d0"), Incarnation(1))

    def __init__(self) -> None:
        self.replies: dict[DaemonName, Deferred] = {}
        self.connected: tuple[DaemonName, ...] = ()

    def connected_peers(self):
        return self.connected

    def request(self, destination, _message, _timeout_seconds):
        self.replies[destination] = Deferred()
        return self.replies[destination]


class Directory:
    """Knows some owners."""

    def __init__(self, daemons: int) -> None:
        self.daemons = daemons

    def peers(self):
        return tuple(DaemonName(f"d{number}") for number in range(self.daemons))


def ask(daemons: int, connected=()) -> tuple[Network, list[MembersAsked]]:
    network = Network()
    network.connected = connected
    members = StayingMembers(Random(1), network, Directory(daemons), "g")
    answers: list[MembersAsked] = []
    members.ask().addCallback(answers.append)
    return network, answers


def test_a_daemon_that_knows_no_other_is_told_so_at_once():
    """Guards against a question that is never answered."""
    network, answers = ask(1)
    assert not network.replies
    assert answers == [MembersAsked(0, is_any_staying=False)]


def test_a_few_members_are_asked_however_many_there_are():
    """Guards against messages that grow with the square of the daemons."""
    network, _ = ask(300)
    assert len(network.replies) == ASKED_MEMBERS
    assert DaemonName("d0") not in network.replies


def test_the_first_member_that_stays_is_enough():
    """Guards against a handover that waits for members that do not reply."""
    network, answers = ask(300)
    first, second, _ = network.replies.values()
    first.callback(LEAVES)
    assert not answers
    second.callback(STAYS)
    assert answers == [MembersAsked(ASKED_MEMBERS, is_any_staying=True)]


def test_a_connected_daemon_is_asked_although_it_owns_nothing():
    """Guards against partitions that are kept while only daemons without any stay."""
    network, _ = ask(1, connected=(DaemonName("d0"), DaemonName("d7")))
    assert list(network.replies) == [DaemonName("d7")]


@pytest.mark.parametrize("reply", [LEAVES, NO_MEMBER, OTHER_KIND, FAILURE])
def test_replies_that_show_no_member_which_stays(reply):
    """Guards against a handover to nobody."""
    network, answers = ask(3)
    for pending in network.replies.values():
        assert not answers
        pending.callback(reply)
    assert answers == [MembersAsked(2, is_any_staying=False)]


def test_an_older_build_counts_as_staying():
    """Guards against a slower handover while builds are mixed."""
    network, answers = ask(2)
    older = b'{"type":"OwnersSeen","age_seconds":0.1,"owners":{}}'
    reply = MessageCodec((OwnersSeen,)).decode_message(Raw(older))
    (pending,) = network.replies.values()
    pending.callback(reply)
    assert answers == [MembersAsked(1, is_any_staying=True)]
