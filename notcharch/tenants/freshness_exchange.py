"""Exchanges the freshness of the active table between daemons.

A daemon that the log service refuses, or that has lost only the connection to it, keeps
serving on the confirmations of its peers, and learns of revoked keys from them. It
sends requests only when its confirmation is older than successful reads allow, and to a
single peer, so the rate of requests is independent of the number of daemons.
"""

from collections.abc import Callable, Sequence
from random import Random

from result import Ok, Result
from twisted.internet.interfaces import IReactorTime

from notcharch.errors import Problem
from notcharch.events.event import emit
from notcharch.events.steady_loop import steady_loop
from notcharch.events.tenants import PeerVouched
from notcharch.scheduling.zone_drains import DrainedZones
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.messages import AskTable, TableSeen
from notcharch.values.identifiers import DaemonName, Member
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

CHECK_INTERVAL_SECONDS = 0.25
"""Interval between checks of the confirmation's age, and so between requests. It allows
several peers to be tried before the confirmation expires."""
RESPONSE_TIMEOUT_SECONDS = 0.5
"""Timeout of a request to a peer."""

Reply = Result[Message, Problem]


class TableFreshnessExchange:
    """Requests the table's freshness from peers, and answers their requests."""

    def __init__(
        self,
        clock: IReactorTime,
        random: Random,
        network: PeerNetwork,
        freshness: TableFreshness,
        *,
        peers: Callable[[], Sequence[DaemonName]],
        request_at_age: float,
        table: Callable[[], bytes],
        activate_table: Callable[[bytes], int],
        drained: Callable[[], DrainedZones] = DrainedZones,
        apply_drained: Callable[[DrainedZones], None] = lambda _: None,
    ) -> None:
        """Register the request handler.

        Requests are sent when the confirmation is older than `request_at_age` seconds,
        which local reads normally prevent. `table` returns the active table as it was
        published; `activate_table` activates a newer one. `drained` returns the known
        drained zones; `apply_drained` receives those of a peer.
        """
        self._clock = clock
        self._random = random
        self._network = network
        self._freshness = freshness
        self._peers = peers
        self._request_at_age = request_at_age
        self._table = table
        self._activate_table = activate_table
        self._drained = drained
        self._apply_drained = apply_drained
        self._is_requesting = False
        self._checks = steady_loop(clock, "freshness", self._check)
        network.on_request(AskTable, self._reply)

    def start(self) -> None:
        """Start the periodic check of the confirmation's age."""
        if self._freshness.is_required:
            self._checks.start(CHECK_INTERVAL_SECONDS, now=False)

    def _check(self) -> None:
        age = self._freshness.age(self._clock.seconds())
        is_recent = age is not None and age < self._request_at_age
        if is_recent or self._is_requesting:
            return
        local = self._network.own_member.daemon
        peers = [peer for peer in self._peers() if peer != local]
        if peers:
            self._send_request(self._random.choice(peers))

    def _send_request(self, peer: DaemonName) -> None:
        self._is_requesting = True
        sent_at = self._clock.seconds()
        message = AskTable(self._freshness.version)
        pending = self._network.request(peer, message, RESPONSE_TIMEOUT_SECONDS)
        pending.addCallback(self._on_reply, peer, sent_at)

    def _on_reply(self, reply: Reply, peer: DaemonName, sent_at: float) -> None:
        self._is_requesting = False
        if not isinstance(reply, Ok) or not isinstance(reply.ok_value, TableSeen):
            return
        peer_table = reply.ok_value
        if peer_table.version > self._freshness.version and peer_table.table:
            self._activate_table(peer_table.table)
        self._apply_drained(peer_table.drained)
        if peer_table.version == self._freshness.version >= 0:
            confirmed_at = sent_at - max(peer_table.age_seconds, 0.0)
            self._freshness.confirm(peer_table.version, confirmed_at)
            emit(
                PeerVouched(
                    str(peer), peer_table.version, round(peer_table.age_seconds, 3)
                )
            )

    async def _reply(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, AskTable)
        freshness = self._freshness
        age = freshness.age(self._clock.seconds())
        if age is None:
            return TableSeen(-1, drained=self._drained())
        is_newer = freshness.version > message.version
        table = self._table() if is_newer else b""
        return TableSeen(freshness.version, age, table, self._drained())
