"""Elections: who votes for whom, and when a member stands."""

import random

from notcharch.replication.configuration import majority_of
from notcharch.replication.picture import Picture
from notcharch.values.identifiers import Epoch, Member
from notcharch.wire.messages.replication import Configuration, VoteRequest

RANK_SECONDS = 0.25
"""How much longer each further replica waits before it stands."""

JITTER_SECONDS = 0.1
ROUND_SECONDS = 0.5
"""How long a candidate waits for votes before it asks again."""


class Ballot:
    """The votes of one round for one candidate."""

    def __init__(self, epoch: Epoch, prospective: bool) -> None:
        """Begin without votes; a prospective round changes nothing in the voters."""
        self.epoch = epoch
        self.prospective = prospective
        self._granted: set[Member] = set()

    def grant(self, voter: Member) -> None:
        """Count a vote; a second one of the same member changes nothing."""
        self._granted.add(voter)

    def is_won(self, configuration: Configuration) -> bool:
        """Tell whether a majority of the configuration's own members voted."""
        votes = self._granted.intersection(configuration.members)
        return len(votes) >= majority_of(configuration)


def is_up_to_date(request: VoteRequest, last_epoch: Epoch, last_index: int) -> bool:
    """Tell whether the candidate holds at least what the voter holds."""
    return (request.last_epoch, request.last_index) >= (last_epoch, last_index)


def standing_delay(
    own: Member, configuration: Configuration, picture: Picture, source: random.Random
) -> float:
    """Give how long to wait before standing, in seconds: live replicas in order."""
    live = [member for member in configuration.members if member in picture.alive]
    ranked = sorted(live, key=lambda member: (picture.rank_of(member), member))
    rank = ranked.index(own) if own in ranked else len(ranked)
    if rank == 0:
        return 0.0
    return rank * RANK_SECONDS + source.random() * JITTER_SECONDS
