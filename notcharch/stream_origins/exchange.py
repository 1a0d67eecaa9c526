"""Keeps the origins of streams at peers, and finds them there.

Soft state only: nothing is stored. While a service has one software version, every daemon
knows the origin of every stream and no message is sent.
"""

from collections.abc import Callable, Iterable, Sequence

from result import Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.interface import StreamOrigins
from notcharch.calls.version_filter import RESTART_DOUBT_SECONDS
from notcharch.errors import Problem
from notcharch.events.steady_loop import steady_loop
from notcharch.scheduling.holder_ring import HolderRing
from notcharch.scheduling.software_versions import SoftwareVersions
from notcharch.scheduling.stream_origin import (
    NOT_FOUND,
    FoundOrigin,
    OriginSource,
    StreamBegin,
    StreamName,
    StreamOrigin,
)
from notcharch.stream_origins.list_confirmation import ListConfirmation
from notcharch.stream_origins.messages import (
    AskStreamOrigin,
    BegunStream,
    StreamOriginSeen,
    StreamsBegan,
)
from notcharch.stream_origins.metrics import FOUND, HELD, RECORDED, SEARCH_SECONDS
from notcharch.stream_origins.records import MAX_BYTES, OriginRecord, OriginRecords
from notcharch.stream_origins.search import OriginSearch
from notcharch.values.identifiers import DaemonName, Member
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

HOLDERS = 3
"""Daemons that hold the origin of a stream, beside the one that began it. The origin of a
stream is lost only if all of them are lost within the seconds in which it is resumed."""
ASKED = 2 * HOLDERS
"""Daemons asked for it: more than hold it, as views of the members differ after losses."""
ASK_SECONDS = 0.15
"""How long peers are waited for: two round trips between regions, and far less than a
caller waits."""
CONFIRM_SECONDS = 0.1
"""How long the store is waited for, to confirm the list of engines; 4 ms are usual."""
TICK_INTERVAL_SECONDS = 0.25
"""A new version begins streams later than this, so those before it are recorded first."""

Reply = Result[Message, Problem]


class StreamOriginExchange(StreamOrigins):
    """Records the origins of this daemon's streams at peers, and holds those of others."""

    def __init__(
        self,
        clock: IReactorTime,
        network: PeerNetwork,
        versions: SoftwareVersions,
        *,
        members: Callable[[], Sequence[str]],
        route_age: Callable[[str], float],
        confirm_list: Callable[[], "Deferred[None]"],
        max_bytes: int = 2 * MAX_BYTES,
    ) -> None:
        """Register the handlers; `members` returns the daemons that may be holders.

        `route_age` returns for how many seconds a route has had its services;
        `confirm_list` asks the store whether the list of engines is up to date;
        `max_bytes` bounds the memory of all records.
        """
        self._clock = clock
        self._network = network
        self._versions = versions
        self._members = members
        self._route_age = route_age
        self._list = ListConfirmation(clock, confirm_list, CONFIRM_SECONDS)
        self._local = str(network.own_member.daemon)
        self._ring = HolderRing(())
        self._own = OriginRecords(max_bytes // 2)
        """Streams that began at this daemon, or continued here."""
        self._held = OriginRecords(max_bytes // 2)
        """Streams of peers."""
        self._ticking = steady_loop(clock, "stream origins", self._tick)
        network.on_notice(StreamsBegan, self._on_notice)
        network.on_request(AskStreamOrigin, self._reply)

    @property
    def held_bytes(self) -> int:
        """Memory of all records, about."""
        return self._own.bytes + self._held.bytes

    def start(self) -> None:
        """Start sharing records when they become necessary, and removing expired ones."""
        self._ticking.start(TICK_INTERVAL_SECONDS, now=False)

    # Streams of this daemon

    def began(
        self, stream: StreamName, begin: StreamBegin, seconds_left: float
    ) -> bool:
        """Remember the origin of a stream; share it where it is not certain otherwise."""
        now = self._clock.seconds()
        is_known = bool(begin.version)
        origin = StreamOrigin(stream.service, begin.version) if is_known else None
        keep_seconds = seconds_left + self._versions.resumable_seconds
        record = self._own.add(stream.first_attempt, origin, keep_seconds, now)
        record.route, record.began_at = stream.route, now
        record.engine = "" if begin.is_confirmed else begin.engine
        is_needed = self._needs_sharing(record, now)
        if is_needed:
            self._share([(stream.first_attempt, record)], now)
        return is_needed

    def _needs_sharing(self, record: OriginRecord, now: float) -> bool:
        """Return whether another daemon may not know the origin without the record."""
        if record.is_shared:
            return False
        if record.origin is None:
            return True
        is_stable = self._is_route_stable(record.route)
        return not is_stable or self._versions.needs_records(record.origin.service, now)

    def _is_route_stable(self, route: str) -> bool:
        """Return whether a route's services began all streams that can be resumed."""
        return bool(route) and self._route_age(route) >= (
            self._versions.resumable_seconds
        )

    def _share(self, records: Iterable[tuple[str, OriginRecord]], now: float) -> None:
        """Send records to their holders, one message to each."""
        ring = self._current_ring()
        by_holder: dict[str, list[BegunStream]] = {}
        for stream, record in records:
            begun = BegunStream(stream, record.origin, round(record.expires - now, 3))
            for holder in ring.after(stream, HOLDERS, self._local):
                by_holder.setdefault(holder, []).append(begun)
            record.is_shared = True
            RECORDED.inc()
        for holder, streams in by_holder.items():
            self._network.notify(DaemonName(holder), StreamsBegan(tuple(streams)))

    def is_doubted(self, stream: StreamName) -> bool:
        """Return whether the recorded version of a stream proved uncertain."""
        record = self._own.find(stream.first_attempt, self._clock.seconds())
        return record is not None and record.origin is None

    def engine_restarted(self, engine_id: str) -> None:
        """Doubt the streams that an engine began when its entry may have been stale."""
        now = self._clock.seconds()
        since = now - self._versions.age_seconds(now) - RESTART_DOUBT_SECONDS
        doubted = [
            (stream, record)
            for stream, record in self._own.live(now)
            if record.engine == engine_id and record.began_at >= since
        ]
        for _, record in doubted:
            record.origin = None
        self._share(doubted, now)

    def _current_ring(self) -> HolderRing:
        members = self._members()
        if members != self._ring.members:
            self._ring = HolderRing(members)
        return self._ring

    def _tick(self) -> None:
        """Share the records of services whose only version is not certain any more."""
        now = self._clock.seconds()
        self._own.purge(now)
        self._held.purge(now)
        HELD.set(len(self._held))
        unshared = [
            (stream, record)
            for stream, record in self._own.live(now)
            if self._needs_sharing(record, now)
        ]
        if unshared:
            self._share(unshared, now)

    # Streams that are resumed

    def find(self, stream: StreamName, then: Callable[[FoundOrigin], None]) -> None:
        """Find the origin of a stream; `then` is called once.

        It takes `CONFIRM_SECONDS` and `ASK_SECONDS` at most.
        """
        began = self._clock.seconds()

        def found(result: FoundOrigin) -> None:
            FOUND.labels(result.source.value).inc()
            SEARCH_SECONDS.observe(self._clock.seconds() - began)
            then(result)

        known = self._find_here(stream.first_attempt, began)
        if known is not None:
            found(known)
        elif self._needs_confirmation(stream.service, stream.route, began):
            confirming = self._list.confirm()
            confirming.addCallback(lambda _: self._search(stream, began, found))
        else:
            self._search(stream, began, found)

    def _needs_confirmation(self, service: str, route: str, now: float) -> bool:
        """Return whether an only version is certain once the list is confirmed."""
        return self._is_route_stable(route) and self._versions.may_be_certain(
            service, now
        )

    def _search(
        self, stream: StreamName, asked_at: float, found: Callable[[FoundOrigin], None]
    ) -> None:
        """Go by the only version if it is certain; otherwise ask peers."""
        service, certain, now = stream.service, NOT_FOUND, self._clock.seconds()
        version = self._only_version(service, stream.route, asked_at)
        if version:
            origin = StreamOrigin(service, version)
            certain = FoundOrigin(origin, OriginSource.ONLY_VERSION)
        asked = []
        if not version or self._versions.may_have_doubts(service, now):
            ring = self._current_ring()
            asked = ring.after(stream.first_attempt, ASKED, self._local)
        question = AskStreamOrigin(stream.first_attempt, service, stream.route)
        search = OriginSearch(service, len(asked), certain, found)
        for peer in asked:
            self._ask(peer, question, search)

    def _only_version(self, service: str, route: str, asked_at: float) -> str:
        """Return the version that began every stream of a route before it was asked for.

        Empty if that is not certain.
        """
        if not self._is_route_stable(route):
            return ""
        return self._versions.only_version(service, asked_at, self._clock.seconds())

    def _find_here(self, stream: str, now: float) -> FoundOrigin | None:
        for records, source in (
            (self._own, OriginSource.LOCAL),
            (self._held, OriginSource.RECORD),
        ):
            record = records.find(stream, now) if stream else None
            if record is not None:
                known = record.origin is not None
                return FoundOrigin(record.origin, source) if known else NOT_FOUND
        return None

    def _ask(self, peer: str, question: AskStreamOrigin, search: OriginSearch) -> None:
        pending = self._network.request(DaemonName(peer), question, ASK_SECONDS)

        def on_reply(reply: Reply) -> None:
            if isinstance(reply, Ok) and isinstance(reply.ok_value, StreamOriginSeen):
                search.answered(reply.ok_value)
            else:
                search.unanswered()

        pending.addCallback(on_reply)

    # Streams of peers

    def _on_notice(self, sender: Member, message: Message) -> None:
        if not isinstance(message, StreamsBegan):
            return
        now = self._clock.seconds()
        for begun in message.streams:
            self._held.add(begun.stream, begun.origin, begun.keep_seconds, now)

    async def _reply(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, AskStreamOrigin)
        now = self._clock.seconds()
        known = self._find_here(message.stream, now)
        if known is not None:
            return StreamOriginSeen(known.origin, is_ambiguous=known.origin is None)
        if self._needs_confirmation(message.service, message.route, now):
            await self._list.confirm()
        only = self._only_version(message.service, message.route, now)
        return StreamOriginSeen(only_version=only)
