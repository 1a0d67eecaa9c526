"""Who owns which partition, as the log service last said, to us or to a peer."""

from collections.abc import Generator
from random import Random
from typing import Any

from result import Err, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.errors import Problem
from notcharch.events.event import emit
from notcharch.events.journal import OwnersChanged
from notcharch.journal.interface import LogProblem, LogService, Ownership
from notcharch.journal.metrics import OWNERS_AGE_SECONDS
from notcharch.journal.owner_messages import AskOwners, OwnersSeen
from notcharch.journal.owner_names import OwnerName, parse_owner_name
from notcharch.journal.partitioning import Partitioning
from notcharch.values.identifiers import DaemonName, Member
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

REFRESH_SECONDS = 16.0
"""Without doubt the view is refreshed this often: heartbeats tell of changes, and a
daemon that is asked wrongly names the owner. At hundreds of daemons this is a call less
for each of them every few seconds."""
SPREAD_SECONDS = 0.5
"""After a change not all daemons ask at the same moment."""
DOUBT_SECONDS = 0.1
"""In doubt the log service is asked again, at most this often."""
UNANSWERED_SECONDS = 0.4
"""A question that has no answer after this time doesn't keep from asking again."""
LATE_SECONDS = 0.15
"""When the log service takes so long for an answer, a peer is asked as well."""
PEER_SECONDS = 0.3
"""A peer that doesn't answer in this time is given up."""

Reply = Result[Message, Problem]


class OwnerDirectory:
    """A view of the owners that is refreshed now and then, and at once in doubt."""

    def __init__(
        self,
        service: LogService,
        clock: IReactorTime,
        random: Random,
        network: PeerNetwork,
        group: str,
        *,
        partitioning: Partitioning,
        requests_peer_views: bool = False,
    ) -> None:
        """Begin without a view.

        `requests_peer_views`: while the log service turns this daemon away, peers that it
        serves are asked what they know. Their network has to know the messages.
        """
        self._random = random
        self._partitioning = partitioning
        self._service = service
        self._clock = clock
        self._network = network
        self._group = group
        self._owners: dict[int, OwnerName] = {}
        self._peers: tuple[DaemonName, ...] = ()
        """The daemons that own something, in order."""
        self._known_at: float | None = None
        """When any owner became known first."""
        OWNERS_AGE_SECONDS.labels(group).set_function(lambda: self.age_seconds)
        self._changed_at = self._heard_at = clock.seconds()
        self._asked_at = -REFRESH_SECONDS
        self._is_asking = False
        self._generation = 0
        self._is_running = False
        self._has_failed = False
        """Whether the log service's last answer was a fault."""
        self._requests_peer_views = requests_peer_views
        self._is_asking_peer = False
        if requests_peer_views:
            network.on_request(AskOwners, self._tell_peer)

    def start(self) -> None:
        """Begin to refresh."""
        self._is_running = True
        self._keep_fresh()

    def stop(self) -> None:
        """Refresh no more."""
        self._is_running = False

    def owner(self, partition: int) -> OwnerName | None:
        """Give a partition's owner, as far as it is known."""
        return self._owners.get(partition)

    def peers(self) -> tuple[DaemonName, ...]:
        """Give the daemons that own something, in order, as far as is known."""
        return self._peers

    def known_seconds(self) -> float:
        """Give for how long any owner has been known; 0 if none is."""
        return 0.0 if self._known_at is None else self._clock.seconds() - self._known_at

    def suspect_stale(self) -> None:
        """Ask again soon: an owner didn't answer as one."""
        since = self._clock.seconds() - self._asked_at
        if self._has_failed or (self._is_asking and since >= LATE_SECONDS):
            self._ask_peer()
        pause = UNANSWERED_SECONDS if self._is_asking else DOUBT_SECONDS
        if since >= pause:
            self._refresh()

    def apply_hint(self, partition: int, member: str) -> None:
        """Take a peer's word for who owns a partition, until the next refresh."""
        owner = parse_owner_name(member)
        if owner is not None:
            self._owners[partition] = owner
            self._note_peers()
            self._learn(owner)

    def on_generation(self, generation: int) -> None:
        """Hear the group's generation: a new one means other owners."""
        if generation != self._generation:
            self._generation = generation
            pause = self._random.random() * SPREAD_SECONDS
            self._clock.callLater(pause, self.suspect_stale)

    @inlineCallbacks
    def _keep_fresh(self) -> Generator["Deferred[Any]", Any, None]:
        while self._is_running:
            if not self._is_asking:
                yield self._refresh()
            pause = REFRESH_SECONDS if self._owners else DOUBT_SECONDS
            yield deferLater(self._clock, pause, lambda: None)

    @inlineCallbacks
    def _refresh(self) -> Generator["Deferred[Any]", Any, None]:
        self._is_asking = True
        self._asked_at = self._clock.seconds()
        answer: Result[tuple[Ownership, ...], LogProblem] = yield self._service.owners(
            self._group
        )
        self._is_asking = False
        self._has_failed = isinstance(answer, Err)
        if not isinstance(answer, Err):
            self._heard_at = self._clock.seconds()
            self._take(self._read(answer.ok_value))

    def _read(self, rows: tuple[Ownership, ...]) -> dict[int, OwnerName]:
        owners: dict[int, OwnerName] = {}
        for row in rows:
            owner = parse_owner_name(row.member)
            if owner is not None:
                number = self._partitioning.number(row.partition)
                if number is not None:
                    owners[number] = owner
        return owners

    # Peers

    def _ask_peer(self) -> None:
        """Ask one peer, of those that own something, what it knows."""
        own = self._network.own_member.daemon
        peers = [peer for peer in self.peers() if peer != own]
        if not self._requests_peer_views or self._is_asking_peer or not peers:
            return
        self._is_asking_peer = True
        peer = self._random.choice(peers)
        asking = self._network.request(peer, AskOwners(self._group), PEER_SECONDS)
        asking.addCallback(self._peer_answered)

    def _peer_answered(self, reply: Reply) -> None:
        """Take a view that is newer than our own."""
        self._clock.callLater(DOUBT_SECONDS, self._may_ask_peer)
        if not isinstance(reply, Ok) or not isinstance(reply.ok_value, OwnersSeen):
            return
        seen = reply.ok_value
        if seen.age_seconds >= self.age_seconds:
            return
        self._heard_at = self._clock.seconds() - seen.age_seconds
        owners = {
            number: parse_owner_name(text) for number, text in seen.owners.items()
        }
        self._take({number: owner for number, owner in owners.items() if owner})

    def _may_ask_peer(self) -> None:
        self._is_asking_peer = False

    async def _tell_peer(self, sender: Member, message: Message) -> Message:
        owners = {number: owner.member_id() for number, owner in self._owners.items()}
        return OwnersSeen(self.age_seconds, owners)

    def _take(self, owners: dict[int, OwnerName]) -> None:
        if owners and owners != self._owners:
            self._log_change(owners)
            self._owners = owners
            self._note_peers()
        for owner in set(owners.values()):
            self._learn(owner)

    def _note_peers(self) -> None:
        self._peers = tuple(sorted({owner.daemon for owner in self._owners.values()}))
        if self._known_at is None:
            self._known_at = self._clock.seconds()

    def _log_change(self, owners: dict[int, OwnerName]) -> None:
        now = self._clock.seconds()
        names = {
            str(number): str(owner.daemon) for number, owner in sorted(owners.items())
        }
        emit(OwnersChanged(names, round(now - self._changed_at, 3)))
        self._changed_at = now

    @property
    def age_seconds(self) -> float:
        """Give how old the view is."""
        return self._clock.seconds() - self._heard_at

    def _learn(self, owner: OwnerName) -> None:
        """Tell the network where an owner is."""
        self._network.set_address(owner.daemon, owner.address)
