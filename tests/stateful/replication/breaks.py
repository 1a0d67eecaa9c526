"""Deliberate breaks of the agreement, to show that the tests would notice them."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

import msgspec

from notcharch.replication import candidate, commit, leader, reconfiguration
from notcharch.replication.candidate import Candidate
from notcharch.replication.election import Ballot
from notcharch.replication.follower import Follower
from notcharch.replication.replica import Replica


class Break(msgspec.Struct, frozen=True):
    """Replaces one function of the core by a wrong one.

    `found_at` is an example that was seen to notice it, to save the search.
    """

    owner: Any
    name: str
    wrong: Callable[..., Any]
    found_at: int

    def applied(self) -> AbstractContextManager[object]:
        return patch.object(self.owner, self.name, self.wrong)


def _commit_alone(held, configuration):
    return max(held)


def _commit_by_count_only(log, held, epoch, commit_index):
    index = commit.majority_index(held, log.configuration)
    return max(index, commit_index)


def _any_vote_wins(self, configuration):
    return len(self._granted) >= 2


def _by_name(self, configuration):
    """Count the votes of restarted members as those of their old selves."""
    names = {voter.daemon for voter in self._granted}
    votes = [m for m in configuration.members if m.daemon in names]
    return len(votes) >= len(configuration.members) // 2 + 1


def _always_up_to_date(request, last_epoch, last_index):
    return True


def _never_stale(self, epoch):
    return False


def _vote_twice(self, sender, request, now):
    granted = _honest_decide(self, sender, request, now)
    if not granted and not request.prospective and request.epoch == self._replica.epoch:
        last = (self._replica.log.last_epoch, self._replica.log.last_index)
        return (request.last_epoch, request.last_index) >= last
    return granted


_honest_decide = Candidate._decide


def _joins_anything(self, message):
    return message.previous_index <= self._replica.log.last_index


def _ready_without_commit(self):
    return self._replica.is_leading and self.heir is None


def _forget_vote(self, configuration):
    """Retire as a blank member, without the vote and the position of the log."""
    self.applier.forget()
    self.log.reset(0, 0, configuration)
    self.epoch = 0
    self.commit_index = 0
    self.applied_index = 0
    self.step_down()


def _commit_all_it_holds(self, sender, message):
    _honest_take(self, sender, message)
    self._replica.commit_through(self._replica.log.last_index)


_honest_take = Follower._take


BREAKS = {
    "commit_without_majority": Break(
        commit, "majority_index", _commit_alone, found_at=1
    ),
    "commit_old_epoch_by_count": Break(
        leader, "committed_index", _commit_by_count_only, found_at=666
    ),
    "win_with_two_votes": Break(Ballot, "is_won", _any_vote_wins, found_at=12),
    "count_vote_of_restarted": Break(Ballot, "is_won", _by_name, found_at=166),
    "vote_for_outdated_log": Break(
        candidate, "is_up_to_date", _always_up_to_date, found_at=2
    ),
    "drop_epoch_check": Break(Replica, "is_stale", _never_stale, found_at=10),
    "vote_twice": Break(Candidate, "_decide", _vote_twice, found_at=58),
    "skip_log_matching": Break(Follower, "_joins", _joins_anything, found_at=2),
    "overlap_configurations": Break(
        reconfiguration.Reconfiguration, "_is_ready", _ready_without_commit, found_at=23
    ),
    "forget_vote_on_retiring": Break(Replica, "retire", _forget_vote, found_at=15),
    "commit_beyond_what_matched": Break(
        Follower, "_take", _commit_all_it_holds, found_at=2
    ),
}
