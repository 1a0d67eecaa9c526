"""Membership service of one daemon: runs the failure detector on a datagram port.

Implements `MembershipView` for the rest of the system, keeps the peer network's
addresses current and distributes digests.
"""

from collections.abc import Callable

from result import Err, Result
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.clients.ports import MachineChanges
from notcharch.errors import Problem
from notcharch.events.event import emit
from notcharch.events.membership import DatagramNotUnderstood, MembersExchanged
from notcharch.membership.datagrams import decode, encode
from notcharch.membership.effects import (
    DigestChanged,
    Effect,
    ExchangeWith,
    RecordChanged,
    SendDatagram,
    Superseded,
)
from notcharch.membership.log import log_change, log_effect
from notcharch.membership.machine_states import MachineStates
from notcharch.membership.records import is_live
from notcharch.membership.swim import Swim
from notcharch.placement.interface import LiveMember
from notcharch.values.identifiers import DaemonName, Member
from notcharch.wire.datagrams import DatagramPort
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.membership import (
    ExchangeMembers,
    MemberRecord,
    MemberRecords,
    MemberStatus,
)
from notcharch.wire.peers import PeerNetwork

EXCHANGE_TIMEOUT_SECONDS = 2.0
"""Timeout of one exchange of all records."""

DigestListener = Callable[[Member, str, int], None]


class MembershipService:
    """Connects `Swim` and the machine list to the network and the clock."""

    def __init__(
        self,
        swim: Swim,
        clock: IReactorTime,
        datagrams: DatagramPort,
        network: PeerNetwork,
    ) -> None:
        """Register the handlers; nothing is sent before `start`."""
        self._swim = swim
        self._clock = clock
        self._datagrams = datagrams
        self._network = network
        self._machines = MachineStates()
        self._timer: IDelayedCall | None = None
        self._running = False
        self._change_listeners: list[Callable[[], None]] = []
        self._digest_listeners: list[DigestListener] = []
        self._superseded_listeners: list[Callable[[], None]] = []
        self._live: tuple[LiveMember, ...] | None = None
        datagrams.on_datagram(self._receive)
        network.on_request(ExchangeMembers, self._exchange)

    def start(self) -> None:
        """Start probing."""
        self._running = True
        self._swim.start(self._clock.seconds())
        self._schedule()

    def stop(self) -> None:
        """Announce to some members that this process leaves, and stop probing."""
        if not self._running:
            return
        self._apply_effects(self._swim.leave())
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def announce_leaving(self) -> None:
        """Announce that this daemon will stop, so that it gets no new work."""
        self._swim.state.set_leaving(True, self._clock.seconds())
        self._refresh_live_members()

    def cancel_leaving(self) -> None:
        """Withdraw the announcement of `announce_leaving`."""
        self._swim.state.set_leaving(False, self._clock.seconds())
        self._refresh_live_members()

    def apply_machines(self, changes: MachineChanges) -> None:
        """Apply changes of the machine list; see `MachineListFollower`."""
        self._machines.apply(changes)
        self._swim.set_seeds(self._machines.seeds())
        for daemon in self._machines.removed():
            record = self._swim.state.record_of(daemon)
            if record is not None and self._machines.is_removed(record):
                self._apply_effects(self._swim.suspect(daemon, self._clock.seconds()))
        self._refresh_live_members()
        self._schedule()

    def live_members(self) -> tuple[LiveMember, ...]:
        """Return every live member, including this one, sorted by name."""
        if self._live is None:
            records = self._swim.state.records()
            members = (self._live_member(r) for r in records if is_live(r))
            self._live = tuple(sorted(members, key=lambda live: live.member))
        return self._live

    def knows_region(self) -> bool:
        """Return whether the view is more than the initial one of a new process."""
        return self._swim.knows_region(self._clock.seconds())

    def is_certainly_dead(self, member: Member) -> bool:
        """Return whether the process has certainly ended.

        That is so if a newer process of the daemon is known, if the process
        announced that it left, or if it is dead by its probes and its machine is
        listed as gone. For a daemon unknown to the region, as after a restart of
        all others, the machine list alone decides.
        """
        local_record = self._swim.state.local_record
        record = self._swim.state.record_of(member.daemon)
        if member.daemon == local_record.member.daemon:
            record = local_record
        if record is None:
            is_unknown = self.knows_region()
            return is_unknown and self._machines.is_absent(member.daemon)
        if record.member.incarnation != member.incarnation:
            return record.member.incarnation > member.incarnation
        if record.status is MemberStatus.DEAD:
            return self._machines.is_removed(record)
        return record.status is MemberStatus.LEFT

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after the view changed."""
        self._change_listeners.append(listener)

    def set_digest(self, key: str, value: int) -> None:
        """Distribute a digest to the other members with every datagram."""
        self._swim.set_digest(key, value)

    def on_digest(self, listener: DigestListener) -> None:
        """Call `listener(member, key, value)` after a member's digest changed."""
        self._digest_listeners.append(listener)

    def on_superseded(self, listener: Callable[[], None]) -> None:
        """Call `listener` when a newer process uses this daemon's name."""
        self._superseded_listeners.append(listener)

    def _live_member(self, record: MemberRecord) -> LiveMember:
        leaving = record.leaving or self._machines.is_leaving(record)
        return LiveMember(record.member, record.zone, record.address, leaving)

    def _run(self) -> None:
        if self._running:
            self._apply_effects(self._swim.run(self._clock.seconds()))
            self._schedule()

    def _schedule(self) -> None:
        if not self._running:
            return
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        delay = max(0.0, self._swim.next_due() - self._clock.seconds())
        self._timer = self._clock.callLater(delay, self._run)

    def _receive(self, payload: bytes, source: str) -> None:
        if not self._running:
            return
        decoded = decode(payload)
        if isinstance(decoded, Err):
            emit(DatagramNotUnderstood(source, decoded.err_value))
            return
        now = self._clock.seconds()
        self._apply_effects(self._swim.receive(decoded.ok_value, source, now))
        self._schedule()

    async def _exchange(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, ExchangeMembers)
        self._merge_all(message.records)
        return MemberRecords(self._swim.state.records())

    def _merge_all(self, records: tuple[MemberRecord, ...]) -> None:
        self._apply_effects(self._swim.merge_all(records, self._clock.seconds()))
        self._schedule()

    def _apply_effects(self, effects: list[Effect]) -> None:
        changed = False
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._datagrams.send(effect.address, encode(effect.datagram))
            elif isinstance(effect, ExchangeWith):
                self._begin_exchange(effect.daemon)
            elif isinstance(effect, DigestChanged):
                self._notify_digest(effect)
            elif isinstance(effect, RecordChanged):
                self._on_record_changed(effect)
                changed = True
            else:
                log_effect(effect)
                if isinstance(effect, Superseded):
                    self._notify_superseded()
        if changed:
            self._refresh_live_members()

    def _begin_exchange(self, daemon: DaemonName) -> None:
        message = ExchangeMembers(self._swim.state.records())
        exchange = self._network.request(daemon, message, EXCHANGE_TIMEOUT_SECONDS)
        exchange.addCallback(self._finish_exchange, daemon)

    def _finish_exchange(
        self, reply: Result[Message, Problem], daemon: DaemonName
    ) -> None:
        if isinstance(reply, Err):
            return
        response = reply.ok_value
        assert isinstance(response, MemberRecords)
        self._swim.finish_exchange()
        self._merge_all(response.records)
        emit(MembersExchanged(daemon, len(response.records)))

    def _notify_digest(self, change: DigestChanged) -> None:
        for listener in self._digest_listeners:
            listener(change.member, change.key, change.value)

    def _notify_superseded(self) -> None:
        for listener in self._superseded_listeners:
            listener()

    def _on_record_changed(self, change: RecordChanged) -> None:
        record = change.after
        if is_live(record):
            self._network.set_address(record.member.daemon, record.address)
        else:
            self._network.forget(record.member.daemon)
        log_change(change)

    def _refresh_live_members(self) -> None:
        before = self._live
        self._live = None
        if self.live_members() != before:
            for listener in self._change_listeners:
                listener()
