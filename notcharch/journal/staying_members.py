"""Asks other members of a group whether they stay, or leave the group as well."""

import math
from random import Random

import msgspec
from result import Ok, Result
from twisted.internet.defer import Deferred

from notcharch.errors import Problem
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.owner_messages import AskOwners, OwnersSeen
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

ASKED_MEMBERS = 3
"""Members that are asked at a time: all daemons that stop ask, so each asks only a few."""
REQUEST_TIMEOUT_SECONDS = 0.3
"""Timeout of a request to a member."""

Reply = Result[Message, Problem]


class MembersAsked(msgspec.Struct, frozen=True):
    """The answer of some members."""

    asked: int
    """How many members were asked; 0 if no other is known."""
    is_any_staying: bool


class StayingMembers:
    """Finds a member that takes over what a leaving one releases."""

    def __init__(
        self,
        random: Random,
        network: PeerNetwork,
        directory: OwnerDirectory,
        group: str,
    ) -> None:
        """Ask the members of a group that `directory` knows, and other connected peers.

        A member that owns no partition is known by its connection alone.
        """
        self._random = random
        self._network = network
        self._directory = directory
        self._group = group

    def ask(self) -> "Deferred[MembersAsked]":
        """Ask a few random members; fires with the first that stays, or after all replies.

        A member that does not reply is not counted as staying.
        """
        known = {*self._directory.peers(), *self._network.connected_peers()}
        peers = sorted(known - {self._network.own_member.daemon})
        asked = self._random.sample(peers, min(len(peers), ASKED_MEMBERS))
        pending = PendingAnswers(len(asked))
        for peer in asked:
            reply = self._network.request(
                peer, AskOwners(self._group), REQUEST_TIMEOUT_SECONDS
            )
            reply.addCallback(pending.on_reply)
        return pending.result


class PendingAnswers:
    """The replies to one question."""

    def __init__(self, asked: int) -> None:
        """Wait for the replies of so many members."""
        self._asked = asked
        self._missing = asked
        self.result: Deferred[MembersAsked] = Deferred()
        if not asked:
            self.result.callback(MembersAsked(0, is_any_staying=False))

    def on_reply(self, reply: Reply) -> None:
        """Count a reply, or a failure to get one."""
        self._missing -= 1
        is_staying = _is_staying(reply)
        if not self.result.called and (is_staying or not self._missing):
            self.result.callback(MembersAsked(self._asked, is_staying))


def _is_staying(reply: Reply) -> bool:
    """Return whether a reply is that of a member which stays.

    A process that is not in the group knows no owners and replies with an infinite age.
    """
    if not isinstance(reply, Ok) or not isinstance(reply.ok_value, OwnersSeen):
        return False
    seen = reply.ok_value
    return not seen.is_leaving and math.isfinite(seen.age_seconds)
