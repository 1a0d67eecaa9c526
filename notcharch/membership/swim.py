"""The SWIM failure detector of one process; pure: time comes in, effects go out.

Each period one member is probed, directly and then through relays. A member that
does not answer is suspected; a suspicion that is not refuted in time is a death.
Claims are spread on the datagrams of the probes. A process refutes claims about
itself by raising its refutations, so that no live process stays dead in a view.
"""

import itertools
from collections.abc import Mapping
from random import Random

from notcharch.membership.datagrams import (
    AckDatagram,
    AnyDatagram,
    Header,
    ProbeDatagram,
    RelayAckDatagram,
    RelayDatagram,
)
from notcharch.membership.effects import (
    Effect,
    ExchangeWith,
    SendDatagram,
    Stalled,
)
from notcharch.membership.headers import HeaderWriter
from notcharch.membership.heard_digests import HeardDigests
from notcharch.membership.knowledge import Knowledge
from notcharch.membership.probe import Probe, ProbeActions, new_probe
from notcharch.membership.probe_order import ProbeOrder
from notcharch.membership.records import is_living
from notcharch.membership.relays import Relay, Relays
from notcharch.membership.view_comparison import ViewComparison
from notcharch.settings.schema import MembershipSection
from notcharch.values.identifiers import DaemonName, Member, RegionName
from notcharch.wire.messages.membership import MemberRecord

SEEDS_PER_PERIOD = 3
"""Listed daemons probed in each period while this process is alone."""

RECONNECT_PERIODS = 5
"""Of so many periods, one probes a listed daemon that is not known alive."""

CONTEST_SECONDS = 5.0
"""A member that is held dead here and alive elsewhere is asked so often at most."""

BOOTSTRAP_TIMEOUT_SECONDS = 5.0
"""A process without any answer for so long after its start acts as if alone."""


class Swim:
    """Probing, acknowledging and spreading; see the module's text."""

    def __init__(
        self,
        region: RegionName,
        own: MemberRecord,
        settings: MembershipSection,
        random: Random,
    ) -> None:
        """Begin knowing only this process, and no seeds."""
        self.knowledge = Knowledge(own, settings.suspicion_seconds)
        self._region = region
        self._headers = HeaderWriter(region, self.knowledge)
        self._settings = settings
        self._random = random
        self._order = ProbeOrder(random)
        self._relays = Relays()
        self._seeds: dict[DaemonName, str] = {}
        self._digests = HeardDigests()
        self._comparison = ViewComparison()
        self._contested_at: dict[DaemonName, float] = {}
        self._numbers = itertools.count(1)
        self._probe: Probe | None = None
        self._probe_number = 0
        self._probe_target: MemberRecord | None = None
        self._now = 0.0
        self._periods = 0
        self._next_period_at = 0.0
        self._direct_deadline: float | None = None
        self._started_at = 0.0
        self._effects: list[Effect] = []

    def start(self, now: float) -> None:
        """Begin the first period after a random part of one."""
        self._started_at = now
        self._next_period_at = (
            now + self._random.random() * self._settings.probe_seconds
        )

    def set_seeds(self, seeds: Mapping[DaemonName, str]) -> None:
        """Replace the listed daemons and their addresses."""
        self._seeds = {
            daemon: address
            for daemon, address in seeds.items()
            if daemon != self.knowledge.own.member.daemon
        }

    def set_digest(self, key: str, value: int) -> None:
        """Carry a small number on every datagram from now on."""
        self._headers.set_digest(key, value)

    def next_due(self) -> float:
        """Give the time at which `run` must be called next."""
        times = [self._next_period_at]
        if self._direct_deadline is not None:
            times.append(self._direct_deadline)
        suspicion = self.knowledge.next_suspicion_time()
        if suspicion is not None:
            times.append(suspicion)
        return min(times)

    def run(self, now: float) -> list[Effect]:
        """Do what is due."""
        self._now = now
        self._note_stall(now)
        self._effects += self.knowledge.bury_overdue(now)
        for record in self.knowledge.suspects_to_ask(now):
            self._send_probe(record.member.daemon, record.address)
        if self._direct_deadline is not None and self._direct_deadline <= now:
            self._direct_deadline = None
            if self._probe is not None:
                self._probe.time_out()
        if self._next_period_at <= now:
            self._end_probe()
            self._begin_period(now)
        return self._take_effects()

    def receive(self, datagram: AnyDatagram, source: str, now: float) -> list[Effect]:
        """Take in a datagram from `source` (`host:port`)."""
        own = self.knowledge.own.member
        header = datagram.header
        is_for_us = header.region == self._region and header.receiver == own.daemon
        if not is_for_us or header.sender.member == own:
            return []
        self._merge((header.sender, *header.gossip), now)
        if isinstance(datagram, ProbeDatagram):
            self._acknowledge(datagram, source)
        elif isinstance(datagram, AckDatagram):
            self._take_ack(datagram)
        elif isinstance(datagram, RelayDatagram):
            self._begin_relay(datagram, source, now)
        else:
            self._take_relay_ack(datagram)
        if self._is_current(header.sender.member):
            sender = header.sender.member
            self._effects += self._digests.hear(sender, header.digests)
            self._compare_views(header, now)
        return self._take_effects()

    def merge_all(self, records: tuple[MemberRecord, ...], now: float) -> list[Effect]:
        """Take in all records of a member, after an exchange."""
        self._merge(records, now)
        return self._take_effects()

    def knows_region(self, now: float) -> bool:
        """Tell whether the view is more than what a fresh process begins with.

        It is after an exchange with another member. A process that nobody answers
        is alone, whatever the machine list says: the list may lag, and the others
        may just be starting as well.
        """
        return (
            self._comparison.has_exchanged
            or now - self._started_at >= BOOTSTRAP_TIMEOUT_SECONDS
        )

    def finish_exchange(self) -> None:
        """Note that the records of another member were taken in."""
        self._comparison.finish_exchange()

    def suspect(self, daemon: DaemonName, now: float) -> list[Effect]:
        """Suspect a member on word from outside; it may refute."""
        return self.knowledge.suspect(daemon, now)

    def leave(self) -> list[Effect]:
        """Tell some members that this process stops, as its last word."""
        self.knowledge.set_left()
        others = list(self.knowledge.living_others())
        count = min(len(others), 2 * self._settings.indirect_probes)
        for record in self._random.sample(others, count):
            self._send_probe(record.member.daemon, record.address)
        return self._take_effects()

    def _merge(self, records: tuple[MemberRecord, ...], now: float) -> None:
        """Take in claims; their effects are given by the call that runs."""
        for record in records:
            is_new = self.knowledge.record_of(record.member.daemon) is None
            if self.knowledge.is_contested(record):
                self._contest(record, now)
            self._effects += self.knowledge.merge(record, now)
            if is_new and self.knowledge.record_of(record.member.daemon) is not None:
                self._order.add(record.member.daemon)

    def _contest(self, record: MemberRecord, now: float) -> None:
        """Ask a member that is held dead here and alive elsewhere to refute it."""
        daemon = record.member.daemon
        if now - self._contested_at.get(daemon, float("-inf")) >= CONTEST_SECONDS:
            self._contested_at[daemon] = now
            self._send_probe(daemon, record.address)

    def _note_stall(self, now: float) -> None:
        late = now - self.next_due()
        if late < self._settings.probe_seconds:
            return
        self.knowledge.restart_suspicions(now)
        self._probe = None
        self._direct_deadline = None
        self._effects.append(Stalled(late))

    def _begin_period(self, now: float) -> None:
        self._periods += 1
        self._next_period_at = now + self._settings.probe_seconds
        self._relays.expire(now)
        self._probe_seeds()
        living = {r.member.daemon: r for r in self.knowledge.living_others()}
        target = self._order.next(living)
        if target is None:
            return
        self._probe_target = living[target]
        actions = ProbeActions(self._ask_relays, self._suspect_target)
        self._probe = new_probe(actions)
        self._direct_deadline = now + self._settings.probe_timeout_seconds
        self._probe_number = self._send_probe(target, living[target].address)

    def _end_probe(self) -> None:
        if self._probe is not None:
            self._probe.end_period()
        self._probe = None
        self._direct_deadline = None

    def _suspect_target(self) -> None:
        if self._probe_target is not None:
            daemon = self._probe_target.member.daemon
            self._effects += self.knowledge.suspect(daemon, self._now)

    def _ask_relays(self) -> None:
        target = self._probe_target
        if target is None:
            return
        self._send_again(target)
        others = [
            record
            for record in self.knowledge.living_others()
            if record.member.daemon != target.member.daemon
        ]
        count = min(len(others), self._settings.indirect_probes)
        for relay in self._random.sample(others, count):
            header = self._headers.write(relay.member.daemon)
            datagram = RelayDatagram(
                header, self._probe_number, target.member.daemon, target.address
            )
            self._send(relay.address, datagram)

    def _send_again(self, target: MemberRecord) -> None:
        header = self._headers.write(target.member.daemon)
        self._send(target.address, ProbeDatagram(header, self._probe_number))

    def _probe_seeds(self) -> None:
        living = {r.member.daemon for r in self.knowledge.living_others()}
        absent = sorted(set(self._seeds) - living)
        count = 0 if living else SEEDS_PER_PERIOD
        if living and self._periods % RECONNECT_PERIODS == 0:
            count = 1
        for daemon in self._random.sample(absent, min(count, len(absent))):
            self._send_probe(daemon, self._seeds[daemon])

    def _acknowledge(self, datagram: ProbeDatagram, source: str) -> None:
        sender = datagram.header.sender
        header = self._headers.write(sender.member.daemon, sender)
        self._send(source, AckDatagram(header, datagram.probe))

    def _take_ack(self, datagram: AckDatagram) -> None:
        if self._probe is not None and datagram.probe == self._probe_number:
            self._probe.acknowledge()
        relay = self._relays.take(datagram.probe)
        if relay is None:
            return
        header = self._headers.write(relay.asker)
        answer = RelayAckDatagram(header, relay.asker_probe)
        self._send(relay.asker_address, answer)

    def _begin_relay(self, datagram: RelayDatagram, source: str, now: float) -> None:
        number = self._send_probe(datagram.target, datagram.target_address)
        asker = datagram.header.sender.member.daemon
        expires_at = now + self._settings.probe_seconds
        self._relays.add(number, Relay(asker, source, datagram.probe, expires_at))

    def _take_relay_ack(self, datagram: RelayAckDatagram) -> None:
        if self._probe is not None and datagram.probe == self._probe_number:
            self._probe.acknowledge()

    def _is_current(self, member: Member) -> bool:
        known = self.knowledge.record_of(member.daemon)
        return known is not None and known.member == member and is_living(known)

    def _compare_views(self, header: Header, now: float) -> None:
        own, changed_at = self.knowledge.view, self.knowledge.view_changed_at
        if self._comparison.is_exchange_due(own, header.view, changed_at, now):
            self._effects.append(ExchangeWith(header.sender.member.daemon))

    def _send_probe(self, daemon: DaemonName, address: str) -> int:
        number = next(self._numbers)
        header = self._headers.write(daemon)
        self._send(address, ProbeDatagram(header, number))
        return number

    def _send(self, address: str, datagram: AnyDatagram) -> None:
        self._effects.append(SendDatagram(address, datagram))

    def _take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
