"""The owners of partitions, as the log service last returned them here or to a peer."""

from collections.abc import Callable, Generator
from random import Random
from typing import Any

from result import Err, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.errors import Problem
from notcharch.events.event import emit
from notcharch.events.feed_faults import FeedFaults
from notcharch.events.journal import OwnersChanged
from notcharch.journal.interface import LogProblem, LogService, Ownership
from notcharch.journal.metrics import OWNERS_AGE_SECONDS
from notcharch.journal.owner_messages import AskOwners, OwnersSeen
from notcharch.journal.owner_names import OwnerName, parse_owner_name
from notcharch.journal.partitioning import Partitioning
from notcharch.journal.recovery_signal import HELD_SECONDS, RecoverySignal
from notcharch.values.identifiers import DaemonName, Member
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

REFRESH_INTERVAL_SECONDS = 16.0
"""Interval while the view is not suspected to be stale.

It may be long: heartbeats report changes, and a daemon that receives a request for
another owner's partition replies with that owner.
"""
CHANGE_JITTER_SECONDS = 0.5
"""Spreads the refreshes of all daemons after a change."""
MIN_REFRESH_INTERVAL_SECONDS = 0.1
"""Shortest interval between refreshes of a view that is suspected to be stale."""
REQUEST_TIMEOUT_SECONDS = 0.4
"""Age at which a refresh without a response no longer prevents the next one."""
PEER_REQUEST_DELAY_SECONDS = 0.15
"""Age of a refresh at which a peer's view is requested as well."""
PEER_TIMEOUT_SECONDS = 0.3
"""Timeout of a request to a peer."""

Reply = Result[Message, Problem]


class OwnerDirectory:
    """A view of the owners, refreshed periodically and when it may be stale."""

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
        recovery: RecoverySignal | None = None,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        """Start with an empty view.

        `is_leaving` returns what peers are told: whether this daemon takes no partitions over.

        `recovery` knows of outages of the log service, in which refreshes are rare.

        With `requests_peer_views`, a peer's view is requested while the log service
        fails. The network must then support the messages of `owner_messages`.
        """
        self._recovery = recovery or RecoverySignal(clock)
        self._random = random
        self._partitioning = partitioning
        self._service = service
        self._clock = clock
        self._network = network
        self._group = group
        self._owners: dict[int, OwnerName] = {}
        self._peers: tuple[DaemonName, ...] = ()
        """The daemons that own a partition, sorted."""
        self._known_at: float | None = None
        """When the first owner became known, in clock seconds."""
        OWNERS_AGE_SECONDS.labels(group).set_function(lambda: self.age_seconds)
        self._changed_at = self._received_at = clock.seconds()
        self._requested_at = -REFRESH_INTERVAL_SECONDS
        self._is_requesting = False
        self._generation = 0
        self._is_running = False
        self._has_failed = False
        """Whether the last request to the log service failed."""
        self._faults = FeedFaults(group)
        self._is_leaving = is_leaving
        self._requests_peer_views = requests_peer_views
        self._is_requesting_peer = False
        if requests_peer_views:
            network.on_request(AskOwners, self._reply_to_peer)

    def start(self) -> None:
        """Start refreshing."""
        self._is_running = True
        self._refresh_periodically()

    def stop(self) -> None:
        """Stop refreshing."""
        self._is_running = False

    def owner(self, partition: int) -> OwnerName | None:
        """Return a partition's owner, if known."""
        return self._owners.get(partition)

    def peers(self) -> tuple[DaemonName, ...]:
        """Return the sorted daemons that are known to own a partition."""
        return self._peers

    def known_seconds(self) -> float:
        """Return for how long any owner has been known, in seconds; 0 if none is."""
        return 0.0 if self._known_at is None else self._clock.seconds() - self._known_at

    def suspect_stale(self) -> None:
        """Refresh soon: an owner is unknown, unreachable or no longer the owner."""
        since = self._clock.seconds() - self._requested_at
        if self._has_failed or (
            self._is_requesting and since >= PEER_REQUEST_DELAY_SECONDS
        ):
            self._request_peer_view()
        if since >= self._min_refresh_interval:
            self._refresh()

    @property
    def _min_refresh_interval(self) -> float:
        """Seconds between refreshes of a view that is suspected to be stale."""
        if self._recovery.holds_calls:
            return HELD_SECONDS
        is_backing_off = self._has_failed and self._recovery.outage is not None
        if self._is_requesting or is_backing_off:
            return REQUEST_TIMEOUT_SECONDS
        return MIN_REFRESH_INTERVAL_SECONDS

    def apply_hint(self, partition: int, member: str) -> None:
        """Use a peer's statement of a partition's owner until the next refresh."""
        owner = parse_owner_name(member)
        if owner is not None:
            self._owners[partition] = owner
            self._update_peers()
            self._set_address(owner)

    def on_generation(self, generation: int) -> None:
        """Refresh soon if the generation is new: the owners have changed."""
        if generation != self._generation:
            self._generation = generation
            pause = self._random.random() * CHANGE_JITTER_SECONDS
            self._clock.callLater(pause, self.suspect_stale)

    @inlineCallbacks
    def _refresh_periodically(self) -> Generator["Deferred[Any]", Any, None]:
        while self._is_running:
            if not self._is_requesting:
                yield self._refresh()
            if self._owners:
                yield deferLater(self._clock, REFRESH_INTERVAL_SECONDS, lambda: None)
            else:
                yield self._recovery.pause(MIN_REFRESH_INTERVAL_SECONDS)

    @inlineCallbacks
    def _refresh(self) -> Generator["Deferred[Any]", Any, None]:
        self._is_requesting = True
        self._requested_at = self._clock.seconds()
        response: Result[
            tuple[Ownership, ...], LogProblem
        ] = yield self._service.owners(self._group)
        self._is_requesting = False
        self._has_failed = isinstance(response, Err)
        if not isinstance(response, Err):
            self._received_at = self._clock.seconds()
            rows = response.ok_value
            self._faults.isolate(
                "view", lambda: self._update_owners(self._parse_owners(rows))
            )

    def _parse_owners(self, rows: tuple[Ownership, ...]) -> dict[int, OwnerName]:
        owners: dict[int, OwnerName] = {}
        for row in rows:
            owner = parse_owner_name(row.member)
            if owner is not None:
                number = self._partitioning.number(row.partition)
                if number is not None:
                    owners[number] = owner
        return owners

    # Peers

    def _request_peer_view(self) -> None:
        """Request the view of a random peer that owns a partition."""
        local_daemon = self._network.own_member.daemon
        peers = [peer for peer in self.peers() if peer != local_daemon]
        if not self._requests_peer_views or self._is_requesting_peer or not peers:
            return
        self._is_requesting_peer = True
        peer = self._random.choice(peers)
        pending = self._network.request(
            peer, AskOwners(self._group), PEER_TIMEOUT_SECONDS
        )
        pending.addCallback(self._on_peer_reply)

    def _on_peer_reply(self, reply: Reply) -> None:
        """Use the peer's view if it is newer than the local one."""
        self._clock.callLater(MIN_REFRESH_INTERVAL_SECONDS, self._allow_peer_request)
        if not isinstance(reply, Ok) or not isinstance(reply.ok_value, OwnersSeen):
            return
        view = reply.ok_value
        if view.age_seconds >= self.age_seconds:
            return
        self._received_at = self._clock.seconds() - view.age_seconds
        owners = {
            number: parse_owner_name(text) for number, text in view.owners.items()
        }
        self._update_owners(
            {number: owner for number, owner in owners.items() if owner}
        )

    def _allow_peer_request(self) -> None:
        self._is_requesting_peer = False

    async def _reply_to_peer(self, sender: Member, message: Message) -> Message:
        owners = {number: owner.member_id() for number, owner in self._owners.items()}
        return OwnersSeen(self.age_seconds, owners, self._is_leaving())

    def _update_owners(self, owners: dict[int, OwnerName]) -> None:
        if owners and owners != self._owners:
            self._log_change(owners)
            self._owners = owners
            self._update_peers()
        for owner in set(owners.values()):
            self._set_address(owner)

    def _update_peers(self) -> None:
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
        """The age of the view."""
        return self._clock.seconds() - self._received_at

    def _set_address(self, owner: OwnerName) -> None:
        """Set the owner's address in the network."""
        self._network.set_address(owner.daemon, owner.address)
