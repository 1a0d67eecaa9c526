"""Voting, and standing for election."""

from notcharch.replication.election import (
    JITTER_SECONDS,
    ROUND_SECONDS,
    Ballot,
    is_up_to_date,
    standing_delay,
)
from notcharch.replication.replica import Replica, Timer
from notcharch.replication.role import Role
from notcharch.values.identifiers import Epoch, Member
from notcharch.wire.messages.replication import VoteReply, VoteRequest

MOST_DOUBLINGS = 4


class Candidate:
    """The part of a replica that takes part in elections."""

    def __init__(self, replica: Replica) -> None:
        """Work on a replica's state."""
        self._replica = replica
        self._ballot: Ballot | None = None
        self._is_transfer = False
        self._failed_rounds = 0

    @property
    def failed_rounds(self) -> int:
        """The number of rounds without a leader since there was one."""
        return self._failed_rounds

    def arm(self, now: float) -> None:
        """Plan to stand if the leader is gone, unless that is planned already.

        Nothing is planned while no majority is believed alive: a change of the
        membership calls this again.
        """
        replica = self._replica
        if not self._may_stand():
            replica.timers.pop(Timer.STAND, None)
            return
        if Timer.STAND in replica.timers:
            return
        configuration = replica.log.configuration
        delay = standing_delay(
            replica.own, configuration, replica.picture, replica.random
        )
        replica.timers[Timer.STAND] = now + delay

    def _may_stand(self) -> bool:
        replica = self._replica
        if replica.own not in replica.log.configuration.members:
            return False
        if replica.is_leading or replica.is_hollow:
            return False
        return not replica.believes_leader_alive() and replica.has_live_majority()

    def on_timer(self, now: float) -> None:
        """Begin a round, first one that asks only whether it could be won."""
        if not self._may_stand():
            return
        self._failed_rounds += 1
        self._begin(prospective=True, transfer=False, now=now)

    def take_over(self, now: float) -> None:
        """Stand at once because the leader asked for it."""
        if self._replica.own in self._replica.log.configuration.members:
            self._begin(prospective=False, transfer=True, now=now)

    def _begin(self, prospective: bool, transfer: bool, now: float) -> None:
        replica = self._replica
        epoch = Epoch(replica.epoch + 1)
        if not prospective:
            replica.adopt_epoch(epoch)
            replica.voted_for = replica.own
        replica.role.moves.stand()
        replica.leader = None
        self._is_transfer = transfer
        self._ballot = Ballot(epoch, prospective)
        self._ballot.grant(replica.own)
        replica.timers[Timer.STAND] = now + self._round_seconds()
        request = VoteRequest(
            replica.partition,
            epoch,
            replica.log.last_index,
            replica.log.last_epoch,
            prospective,
            transfer,
        )
        for member in replica.log.configuration.members:
            if member != replica.own:
                replica.send(member, request)

    def _round_seconds(self) -> float:
        doublings = min(self._failed_rounds, MOST_DOUBLINGS)
        longest = ROUND_SECONDS * (1 << doublings)
        return longest / 2 + self._replica.random.random() * (
            longest / 2 + JITTER_SECONDS
        )

    def outcome(self, now: float) -> bool:
        """Tell whether the election is won; go on from a won prospective round."""
        replica = self._replica
        ballot = self._ballot
        if ballot is None or replica.role.role is not Role.CANDIDATE:
            return False
        if not ballot.is_won(replica.log.configuration):
            return False
        if ballot.prospective:
            self._begin(prospective=False, transfer=self._is_transfer, now=now)
            return self.outcome(now)
        self._ballot = None
        self._failed_rounds = 0
        replica.timers.pop(Timer.STAND, None)
        return True

    def forget(self) -> None:
        """There is a leader: no round is under way."""
        self._ballot = None
        self._failed_rounds = 0

    def on_request(self, sender: Member, request: VoteRequest, now: float) -> None:
        """Give or refuse a vote."""
        replica = self._replica
        granted = self._decide(sender, request, now)
        reply = VoteReply(
            replica.partition,
            replica.epoch,
            request.epoch,
            granted,
            request.prospective,
        )
        replica.send(sender, reply)

    def _decide(self, sender: Member, request: VoteRequest, now: float) -> bool:
        replica = self._replica
        if replica.is_stale(request.epoch):
            return False
        if sender == replica.leader and request.epoch > replica.epoch:
            # It leads no more, or it would not ask; another one may.
            replica.leader = None
        if self._keeps_leader(request):
            return False
        log = replica.log
        up_to_date = is_up_to_date(request, log.last_epoch, log.last_index)
        if request.prospective:
            return up_to_date and request.epoch > replica.epoch
        replica.adopt_epoch(request.epoch)
        if not up_to_date or replica.voted_for not in (None, sender):
            self.arm(now)
            return False
        replica.voted_for = sender
        replica.timers[Timer.STAND] = now + self._round_seconds()
        return True

    def _keeps_leader(self, request: VoteRequest) -> bool:
        """Tell whether a leader that seems alive must not be disturbed."""
        replica = self._replica
        if request.transfer:
            return False
        return replica.is_leading or replica.believes_leader_alive()

    def on_reply(self, sender: Member, reply: VoteReply) -> None:
        """Count a vote for the round that is under way."""
        replica = self._replica
        ballot = self._ballot
        if reply.epoch > replica.epoch:
            replica.adopt_epoch(reply.epoch)
            return
        if ballot is None or reply.asked_epoch != ballot.epoch:
            return
        if reply.granted and reply.prospective == ballot.prospective:
            ballot.grant(sender)
