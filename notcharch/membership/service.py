"""Membership of one daemon: runs the failure detector on a datagram port.

The `MembershipView` of the rest of the system. It tells the peer network the
addresses of living members and which peers are gone, and carries digests.
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
    DigestHeard,
    Effect,
    ExchangeWith,
    RecordChanged,
    SendDatagram,
    Superseded,
)
from notcharch.membership.log import log_change, log_effect
from notcharch.membership.machine_states import MachineStates
from notcharch.membership.records import is_living
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

EXCHANGE_SECONDS = 2.0
"""Time-out of one exchange of all records."""

DigestListener = Callable[[Member, str, int], None]


class MembershipService:
    """The thin service around `Swim` and the machine list."""

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
        """Begin to probe."""
        self._running = True
        self._swim.start(self._clock.seconds())
        self._schedule()

    def stop(self) -> None:
        """Tell some members that this process stops, and fall silent."""
        if not self._running:
            return
        self._carry_out(self._swim.leave())
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def announce_leaving(self) -> None:
        """Tell the others that this daemon is going to stop: give it nothing new."""
        self._swim.knowledge.set_leaving(True, self._clock.seconds())
        self._note_change()

    def cancel_leaving(self) -> None:
        """Take back `announce_leaving`."""
        self._swim.knowledge.set_leaving(False, self._clock.seconds())
        self._note_change()

    def apply_machines(self, changes: MachineChanges) -> None:
        """Take in changes of the machine list; see `MachineListFollower`."""
        self._machines.apply(changes)
        self._swim.set_seeds(self._machines.seeds())
        for daemon in self._machines.gone():
            record = self._swim.knowledge.record_of(daemon)
            if record is not None and self._machines.is_gone(record):
                self._carry_out(self._swim.suspect(daemon, self._clock.seconds()))
        self._note_change()
        self._schedule()

    def live_members(self) -> tuple[LiveMember, ...]:
        """Give every live member, this one included, sorted by name."""
        if self._live is None:
            records = self._swim.knowledge.records()
            members = (self._live_member(r) for r in records if is_living(r))
            self._live = tuple(sorted(members, key=lambda live: live.member))
        return self._live

    def knows_region(self) -> bool:
        """Tell whether the view is more than what a fresh process begins with."""
        return self._swim.knows_region(self._clock.seconds())

    def is_certainly_dead(self, member: Member) -> bool:
        """Tell whether the process is surely gone.

        It is when a newer process of the daemon was seen, when it said itself
        that it stops, or when it answers no probe and the machine list says that
        its machine is gone. Of a daemon that nobody in the region knows any more
        (all have restarted since), the machine list alone tells.
        """
        own = self._swim.knowledge.own
        record = self._swim.knowledge.record_of(member.daemon)
        if member.daemon == own.member.daemon:
            record = own
        if record is None:
            is_unknown = self.knows_region()
            return is_unknown and self._machines.has_no_more(member.daemon)
        if record.member.incarnation != member.incarnation:
            return record.member.incarnation > member.incarnation
        if record.status is MemberStatus.DEAD:
            return self._machines.is_gone(record)
        return record.status is MemberStatus.LEFT

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after the view changed."""
        self._change_listeners.append(listener)

    def set_digest(self, key: str, value: int) -> None:
        """Carry a small number to the other members, with every datagram."""
        self._swim.set_digest(key, value)

    def on_digest(self, listener: DigestListener) -> None:
        """Call `listener(member, key, value)` when a member's digest changed."""
        self._digest_listeners.append(listener)

    def on_superseded(self, listener: Callable[[], None]) -> None:
        """Call `listener` when a later process has this daemon's name: stop."""
        self._superseded_listeners.append(listener)

    def _live_member(self, record: MemberRecord) -> LiveMember:
        leaving = record.leaving or self._machines.is_leaving(record)
        return LiveMember(record.member, record.zone, record.address, leaving)

    def _run(self) -> None:
        if self._running:
            self._carry_out(self._swim.run(self._clock.seconds()))
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
        self._carry_out(self._swim.receive(decoded.ok_value, source, now))
        self._schedule()

    async def _exchange(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, ExchangeMembers)
        self._merge_all(message.records)
        return MemberRecords(self._swim.knowledge.records())

    def _merge_all(self, records: tuple[MemberRecord, ...]) -> None:
        self._carry_out(self._swim.merge_all(records, self._clock.seconds()))
        self._schedule()

    def _carry_out(self, effects: list[Effect]) -> None:
        changed = False
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._datagrams.send(effect.address, encode(effect.datagram))
            elif isinstance(effect, ExchangeWith):
                self._begin_exchange(effect.daemon)
            elif isinstance(effect, DigestHeard):
                self._tell_digest(effect)
            elif isinstance(effect, RecordChanged):
                self._follow(effect)
                changed = True
            else:
                log_effect(effect)
                if isinstance(effect, Superseded):
                    self._tell_superseded()
        if changed:
            self._note_change()

    def _begin_exchange(self, daemon: DaemonName) -> None:
        question = ExchangeMembers(self._swim.knowledge.records())
        asked = self._network.request(daemon, question, EXCHANGE_SECONDS)
        asked.addCallback(self._finish_exchange, daemon)

    def _finish_exchange(
        self, reply: Result[Message, Problem], daemon: DaemonName
    ) -> None:
        if isinstance(reply, Err):
            return
        answer = reply.ok_value
        assert isinstance(answer, MemberRecords)
        self._swim.finish_exchange()
        self._merge_all(answer.records)
        emit(MembersExchanged(daemon, len(answer.records)))

    def _tell_digest(self, heard: DigestHeard) -> None:
        for listener in self._digest_listeners:
            listener(heard.member, heard.key, heard.value)

    def _tell_superseded(self) -> None:
        for listener in self._superseded_listeners:
            listener()

    def _follow(self, change: RecordChanged) -> None:
        record = change.after
        if is_living(record):
            self._network.set_address(record.member.daemon, record.address)
        else:
            self._network.forget(record.member.daemon)
        log_change(change)

    def _note_change(self) -> None:
        before = self._live
        self._live = None
        if self.live_members() != before:
            for listener in self._change_listeners:
                listener()
