"""Daemons vouch for the table in force to peers that the log service turns away.

A daemon whose own reads are answered asks nobody. Once its proof grows older than reads
let it grow, it asks one peer at a time, so a daemon that is refused, or cut from the log
service alone, goes on serving, and learns of keys that are taken away meanwhile. It asks a
constant number of peers a second, however many there are.
"""

from collections.abc import Callable, Sequence
from random import Random

from result import Ok, Result
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from notcharch.errors import Problem
from notcharch.events.event import emit
from notcharch.events.tenants import PeerVouched
from notcharch.scheduling.zone_drains import DrainedZones
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.messages import AskTable, TableSeen
from notcharch.values.identifiers import DaemonName, Member
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

CHECK_INTERVAL_SECONDS = 0.25
"""Between two looks at the age of the proof, and so between two questions. A proof lasts
some seconds, so several peers are tried before it runs out."""
RESPONSE_TIMEOUT_SECONDS = 0.5
"""A peer that doesn't answer in this time is given up."""

Reply = Result[Message, Problem]


class TableFreshnessExchange:
    """Asks peers about the table when the log service is silent, and answers them."""

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
        apply_table: Callable[[bytes], int],
        drained: Callable[[], DrainedZones] = DrainedZones,
        apply_drained: Callable[[DrainedZones], None] = lambda _: None,
    ) -> None:
        """Register the handler of questions.

        `request_at_age`: seconds; reads of our own keep the proof younger. `table` gives the
        table in force as it was written; `apply_table` puts a newer one in force. `drained`
        gives the zones that are known to be drained; `apply_drained` hears a peer's.
        """
        self._clock = clock
        self._random = random
        self._network = network
        self._freshness = freshness
        self._peers = peers
        self._request_at_age = request_at_age
        self._table = table
        self._apply_table = apply_table
        self._drained = drained
        self._apply_drained = apply_drained
        self._is_requesting = False
        self._checks = LoopingCall(self._check)
        self._checks.clock = clock
        network.on_request(AskTable, self._reply)

    def start(self) -> None:
        """Begin to look at the age of the proof."""
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
            self._apply_table(peer_table.table)
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
