"""The leader's steps from the present configuration to the one it should be."""

import msgspec

from notcharch.replication.configuration import (
    ChangeKind,
    ConfigurationChange,
    majority_of,
    next_change,
    with_member,
    without_member,
)
from notcharch.replication.leader import Leader
from notcharch.replication.picture import Picture
from notcharch.replication.replica import Replica, Timer
from notcharch.values.identifiers import Member
from notcharch.wire.messages.replication import Configuration, Entry, TakeOver

SETTLE_SECONDS = 10.0
"""How long the targets must be the same before members move to follow them."""

SETTLE_JITTER_SECONDS = 5.0
LEAVING_WORD_SECONDS = 10.0
"""How long former leaders' word that a member leaves counts beside the membership."""

TRANSFER_SECONDS = 1.0
"""How long proposals wait for a transfer of leadership before it is given up."""


class Reconfiguration:
    """Replaces members one by one, and moves leadership, while this member leads."""

    def __init__(self, replica: Replica, leader: Leader, replica_count: int) -> None:
        """Work on a replica's state; `replica_count` members are wanted."""
        self._replica = replica
        self._leader = leader
        self._replica_count = replica_count
        self._joiner: Member | None = None
        self._settled_at = 0.0
        self.heir: Member | None = None
        """The member that leadership is being transferred to."""
        self._is_heir_asked = False
        self._is_due = False
        """Whether the members may differ from what they should be."""
        self._leaving_until: dict[Member, float] = {}

    def hear_leaving(self, members: tuple[Member, ...], now: float) -> None:
        """Take in a former leader's word of who is about to stop.

        Word by gossip may come seconds later. Members that all leave would else
        hand a partition to one another until then, many times a second.
        """
        until = now + LEAVING_WORD_SECONDS
        self._leaving_until |= dict.fromkeys(members, until)
        self._leaving_until.pop(self._replica.own, None)
        self._is_due = True

    def _picture(self, now: float) -> Picture:
        """Give the region with the members that former leaders said are leaving."""
        picture = self._replica.picture
        if not self._leaving_until:
            return picture
        for member in [m for m, until in self._leaving_until.items() if until <= now]:
            del self._leaving_until[member]
        said = frozenset(self._leaving_until)
        return msgspec.structs.replace(picture, leaving=picture.leaving | said)

    def begin(self, now: float) -> None:
        """Start afresh as the leader."""
        self._joiner = None
        self.heir = None
        self.targets_changed(now)

    def targets_changed(self, now: float) -> None:
        """Wait a while before members that still work are moved."""
        jitter = self._replica.random.random() * SETTLE_JITTER_SECONDS
        self._settled_at = now + SETTLE_SECONDS + jitter
        self._is_due = True

    def look(self) -> None:
        """Compare the members with what they should be, after the next input."""
        self._is_due = True

    def advance(self, now: float) -> None:
        """Take the next step if the last one is done."""
        if not self._is_due or not self._is_ready():
            return
        is_settled = now >= self._settled_at
        replica = self._replica
        change = next_change(
            replica.log.configuration,
            self._picture(now),
            replica.own,
            self._replica_count,
            is_settled,
        )
        self._is_due = change is not None
        if not is_settled:
            self._look_at(self._settled_at)
        if self._leaving_until:
            self._look_at(min(self._leaving_until.values()))
        self._follow(change, now)

    def _look_at(self, time: float) -> None:
        timers = self._replica.timers
        timers[Timer.RECONFIGURE] = min(time, timers.get(Timer.RECONFIGURE, time))

    def _is_ready(self) -> bool:
        replica = self._replica
        return (
            replica.is_leading
            and self.heir is None
            and self._leader.has_committed_own_entry
            and replica.log.configuration_index <= replica.commit_index
        )

    def _follow(self, change: ConfigurationChange | None, now: float) -> None:
        wanted = None
        if change is not None and change.kind is ChangeKind.ADD:
            wanted = change.member
        self._set_joiner(wanted, now)
        if change is None:
            return
        if change.kind is ChangeKind.ADD:
            self._add_when_even(change.member, now)
        elif change.kind is ChangeKind.REMOVE:
            self._remove(change.member, now)
        else:
            self.transfer(change.member, now)

    def _set_joiner(self, joiner: Member | None, now: float) -> None:
        if joiner == self._joiner:
            return
        former = self._joiner
        self._joiner = joiner
        if former and former not in self._replica.log.configuration.members:
            self._leader.drop_peer(former)
        if joiner is not None:
            self._leader.add_peer(joiner)
            self._leader.flush(now)

    def _add_when_even(self, joiner: Member, now: float) -> None:
        """Add a joiner that holds everything that is committed."""
        replica = self._replica
        if self._leader.peers[joiner].match_index < replica.commit_index:
            return
        self._change(with_member(replica.log.configuration, joiner), now)

    def _remove(self, member: Member, now: float) -> None:
        configuration = without_member(self._replica.log.configuration, member)
        live = self._replica.picture.alive.intersection(configuration.members)
        if len(live) < majority_of(configuration):
            return
        self._change(configuration, now)

    def _change(self, configuration: Configuration, now: float) -> None:
        self._leader.append(Entry(self._replica.epoch, configuration=configuration))
        self._leader.flush(now)

    def configuration_committed(self, now: float) -> None:
        """Tell removed processes to retire, now that it is certain."""
        self._is_due = True
        members = self._replica.log.configuration.members
        for peer in tuple(self._leader.peers):
            if peer not in members and peer != self._joiner:
                self._leader.dismiss(peer)
        self._leader.flush(now)

    def transfer(self, heir: Member, now: float) -> None:
        """Let another member lead; proposals wait until it does."""
        if not self._leader.is_nearly_even(heir):
            # What it lacks is on the way, or it does not answer; look again later.
            self._look_at(now + TRANSFER_SECONDS)
            return
        self.heir = heir
        self._is_heir_asked = False
        self._replica.timers[Timer.TRANSFER] = now + TRANSFER_SECONDS

    def ask_heir(self, now: float) -> None:
        """Ask the heir to stand when it holds all and no proposal is pending."""
        replica = self._replica
        if self.heir is None or self._is_heir_asked or not replica.is_leading:
            return
        last_index = replica.log.last_index
        progress = self._leader.peers.get(self.heir)
        if progress is None or progress.match_index < last_index:
            return
        if replica.commit_index == last_index:
            self._is_heir_asked = True
            leaving = self._picture(now).leaving
            members = replica.log.configuration.members
            said = tuple(member for member in members if member in leaving)
            replica.send(self.heir, TakeOver(replica.partition, replica.epoch, said))

    def give_up_transfer(self, now: float) -> None:
        """Lead on, because the heir did not take over in time."""
        self.heir = None
        self.targets_changed(now)
