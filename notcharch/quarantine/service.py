"""Keeps requests under which engines end from ending more, for the calls of this daemon."""

from collections.abc import Callable, Sequence
from random import Random

from result import Ok
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import OpaqueCall, Quarantine
from notcharch.events.steady_loop import steady_loop
from notcharch.quarantine.attempt import AttemptServices, QuarantineAttempt
from notcharch.quarantine.counter_role import CounterRole
from notcharch.quarantine.counters import REPLY_SECONDS, Counters
from notcharch.quarantine.examination import EngineExamination
from notcharch.quarantine.gathering import Reply
from notcharch.quarantine.messages import AskSuspects, SuspectsKnown
from notcharch.quarantine.metrics import RECORDS
from notcharch.quarantine.records import MAX_RECORDS, RECORD_BYTES, EndRecords
from notcharch.values.identifiers import DaemonName
from notcharch.wire.peers import PeerNetwork

TICK_INTERVAL_SECONDS = 1.0
ASKED_PEERS = 2
"""Peers that are asked for what is known."""


class QuarantineService(Quarantine):
    """Creates the attempts of calls, and learns what peers know."""

    def __init__(
        self,
        clock: IReactorTime,
        network: PeerNetwork,
        pool: EnginePool,
        examination: EngineExamination,
        random: Random,
        *,
        members: Callable[[], Sequence[str]],
        max_records: int = MAX_RECORDS,
    ) -> None:
        """Register the handlers; `members` returns the daemons that may be counters.

        `max_records` bounds the requests that are known.
        """
        self._clock = clock
        self._random = random
        self._network = network
        self._members = members
        self._records = EndRecords(max_records)
        self._role = CounterRole(clock, network, self._records)
        self._services = AttemptServices(
            clock=clock,
            daemon=str(network.own_member.daemon),
            records=self._records,
            counters=Counters(clock, network, self._records, members),
            examination=examination,
            pool=pool,
        )
        self._needs_view = True
        """Whether peers may have told others what this daemon does not know."""
        self._connected: frozenset[DaemonName] = frozenset()
        self._met: set[DaemonName] = set()
        """Peers that were ever connected."""
        self._attempts = 0
        self._ticking = steady_loop(clock, "quarantine", self._tick)

    @property
    def held_bytes(self) -> int:
        """Memory of the records, about."""
        return len(self._records) * RECORD_BYTES

    def start(self) -> None:
        """Start to ask peers for what they know, and to remove expired records."""
        self._ticking.start(TICK_INTERVAL_SECONDS)

    def attempt(self, call: OpaqueCall) -> QuarantineAttempt:
        """Create the attempt of a call."""
        self._attempts += 1
        return QuarantineAttempt(self._services, call, self._attempts)

    def _tick(self) -> None:
        self._records.purge(self._clock.seconds())
        RECORDS.set(len(self._records))
        if self._has_peer_returned():
            self._needs_view = True
        if self._needs_view:
            self._ask_peers()

    def _has_peer_returned(self) -> bool:
        """Return whether a connection was lost and is open again.

        What its peer told meanwhile did not arrive.
        """
        connected = frozenset(self._network.connected_peers())
        returned = (connected - self._connected) & self._met
        self._connected = connected
        self._met |= connected
        return bool(returned)

    def _ask_peers(self) -> None:
        """Ask some peers for what they know, once any are connected."""
        peers = [peer for peer in self._members() if peer in self._connected]
        for peer in self._random.sample(peers, min(ASKED_PEERS, len(peers))):
            self._needs_view = False
            pending = self._network.request(
                DaemonName(peer), AskSuspects(), REPLY_SECONDS
            )
            pending.addCallback(self._on_suspects)

    def _on_suspects(self, reply: Reply) -> None:
        if isinstance(reply, Ok) and isinstance(reply.ok_value, SuspectsKnown):
            self._role.learn(reply.ok_value.suspects)
        else:
            self._needs_view = True
