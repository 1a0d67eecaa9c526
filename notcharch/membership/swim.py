"""The SWIM failure detector of one process, without I/O: it returns effects.

Each period one member is probed, directly and then through relays. A member that
does not acknowledge is suspected, and declared dead unless it refutes in time.
Claims are gossiped on the datagrams of the probes. A process refutes claims about
itself with a higher refutation number, so no live process stays dead in a view.
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
from notcharch.membership.membership_state import MembershipState
from notcharch.membership.probe import Probe, ProbeActions, new_probe
from notcharch.membership.probe_order import ProbeOrder
from notcharch.membership.received_digests import ReceivedDigests
from notcharch.membership.records import is_live
from notcharch.membership.relays import Relay, Relays
from notcharch.membership.view_comparison import ViewComparison
from notcharch.settings.schema import MembershipSection
from notcharch.values.identifiers import DaemonName, Member, RegionName
from notcharch.wire.messages.membership import MemberRecord

SEEDS_PER_PERIOD = 3
"""Listed daemons probed in each period while this process is alone."""

RECONNECT_PERIODS = 5
"""Every this many periods, one listed daemon that is not live is probed."""

CONFLICT_PROBE_INTERVAL_SECONDS = 5.0
"""Minimum interval between probes of a member that is dead here and alive elsewhere."""

BOOTSTRAP_TIMEOUT_SECONDS = 5.0
"""A process that completed no exchange by then treats itself as the only member."""


class Swim:
    """Probes members, acknowledges probes and gossips claims."""

    def __init__(
        self,
        region: RegionName,
        local_record: MemberRecord,
        settings: MembershipSection,
        random: Random,
    ) -> None:
        """Start with this process as the only member, without seeds."""
        self.state = MembershipState(local_record, settings.suspicion_seconds)
        self._region = region
        self._headers = HeaderWriter(region, self.state)
        self._settings = settings
        self._random = random
        self._probe_order = ProbeOrder(random)
        self._relays = Relays()
        self._seeds: dict[DaemonName, str] = {}
        self._digests = ReceivedDigests()
        self._comparison = ViewComparison()
        self._conflict_probed_at: dict[DaemonName, float] = {}
        self._probe_numbers = itertools.count(1)
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
        """Schedule the first period after a random fraction of one."""
        self._started_at = now
        self._next_period_at = (
            now + self._random.random() * self._settings.probe_seconds
        )

    def set_seeds(self, seeds: Mapping[DaemonName, str]) -> None:
        """Replace the listed daemons and their addresses."""
        self._seeds = {
            daemon: address
            for daemon, address in seeds.items()
            if daemon != self.state.local_record.member.daemon
        }

    def set_digest(self, key: str, value: int) -> None:
        """Include a digest in every datagram from now on."""
        self._headers.set_digest(key, value)

    def next_due(self) -> float:
        """Return the time at which `run` must be called next."""
        times = [self._next_period_at]
        if self._direct_deadline is not None:
            times.append(self._direct_deadline)
        suspicion = self.state.next_suspicion_time()
        if suspicion is not None:
            times.append(suspicion)
        return min(times)

    def run(self, now: float) -> list[Effect]:
        """Perform everything that is due."""
        self._now = now
        self._detect_stall(now)
        self._effects += self.state.expire_suspicions(now)
        for record in self.state.suspects_to_probe(now):
            self._send_probe(record.member.daemon, record.address)
        if self._direct_deadline is not None and self._direct_deadline <= now:
            self._direct_deadline = None
            if self._probe is not None:
                self._probe.time_out()
        if self._next_period_at <= now:
            self._end_probe()
            self._begin_period(now)
        return self._drain_effects()

    def receive(self, datagram: AnyDatagram, source: str, now: float) -> list[Effect]:
        """Handle a datagram from `source` (`host:port`)."""
        local = self.state.local_record.member
        header = datagram.header
        is_addressed_here = (
            header.region == self._region and header.receiver == local.daemon
        )
        if not is_addressed_here or header.sender.member == local:
            return []
        self._merge((header.sender, *header.gossip), now)
        if isinstance(datagram, ProbeDatagram):
            self._acknowledge(datagram, source)
        elif isinstance(datagram, AckDatagram):
            self._handle_ack(datagram)
        elif isinstance(datagram, RelayDatagram):
            self._start_relay(datagram, source, now)
        else:
            self._handle_relay_ack(datagram)
        if self._is_current(header.sender.member):
            sender = header.sender.member
            self._effects += self._digests.merge(sender, header.digests)
            self._compare_views(header, now)
        return self._drain_effects()

    def merge_all(self, records: tuple[MemberRecord, ...], now: float) -> list[Effect]:
        """Merge all records of a member after an exchange."""
        self._merge(records, now)
        return self._drain_effects()

    def knows_region(self, now: float) -> bool:
        """Return whether the view is more than the initial one of a new process.

        That is so after an exchange with another member, or once the bootstrap
        timeout passed. The machine list is not consulted: it may lag, and the other
        daemons may be starting as well.
        """
        return (
            self._comparison.has_exchanged
            or now - self._started_at >= BOOTSTRAP_TIMEOUT_SECONDS
        )

    def finish_exchange(self) -> None:
        """Record that an exchange with another member completed."""
        self._comparison.finish_exchange()

    def suspect(self, daemon: DaemonName, now: float) -> list[Effect]:
        """Suspect a member on external information; it may refute."""
        return self.state.suspect(daemon, now)

    def leave(self) -> list[Effect]:
        """Announce to some members that this process has left."""
        self.state.mark_left()
        others = list(self.state.other_live_records())
        count = min(len(others), 2 * self._settings.indirect_probes)
        for record in self._random.sample(others, count):
            self._send_probe(record.member.daemon, record.address)
        return self._drain_effects()

    def _merge(self, records: tuple[MemberRecord, ...], now: float) -> None:
        """Merge claims and queue their effects."""
        for record in records:
            is_new = self.state.record_of(record.member.daemon) is None
            if self.state.is_conflicting(record):
                self._probe_conflicting(record, now)
            self._effects += self.state.merge(record, now)
            if is_new and self.state.record_of(record.member.daemon) is not None:
                self._probe_order.add(record.member.daemon)

    def _probe_conflicting(self, record: MemberRecord, now: float) -> None:
        """Probe a member that is dead here and alive elsewhere, so that it can refute."""
        daemon = record.member.daemon
        if (
            now - self._conflict_probed_at.get(daemon, float("-inf"))
            >= CONFLICT_PROBE_INTERVAL_SECONDS
        ):
            self._conflict_probed_at[daemon] = now
            self._send_probe(daemon, record.address)

    def _detect_stall(self, now: float) -> None:
        delay = now - self.next_due()
        if delay < self._settings.probe_seconds:
            return
        self.state.restart_suspicions(now)
        self._probe = None
        self._direct_deadline = None
        self._effects.append(Stalled(delay))

    def _begin_period(self, now: float) -> None:
        self._periods += 1
        self._next_period_at = now + self._settings.probe_seconds
        self._relays.expire(now)
        self._probe_seeds()
        live = {r.member.daemon: r for r in self.state.other_live_records()}
        target = self._probe_order.next(live)
        if target is None:
            return
        self._probe_target = live[target]
        actions = ProbeActions(self._request_relays, self._suspect_target)
        self._probe = new_probe(actions)
        self._direct_deadline = now + self._settings.probe_timeout_seconds
        self._probe_number = self._send_probe(target, live[target].address)

    def _end_probe(self) -> None:
        if self._probe is not None:
            self._probe.end_period()
        self._probe = None
        self._direct_deadline = None

    def _suspect_target(self) -> None:
        if self._probe_target is not None:
            daemon = self._probe_target.member.daemon
            self._effects += self.state.suspect(daemon, self._now)

    def _request_relays(self) -> None:
        target = self._probe_target
        if target is None:
            return
        self._resend_probe(target)
        others = [
            record
            for record in self.state.other_live_records()
            if record.member.daemon != target.member.daemon
        ]
        count = min(len(others), self._settings.indirect_probes)
        for relay in self._random.sample(others, count):
            header = self._headers.write(relay.member.daemon)
            datagram = RelayDatagram(
                header, self._probe_number, target.member.daemon, target.address
            )
            self._send(relay.address, datagram)

    def _resend_probe(self, target: MemberRecord) -> None:
        header = self._headers.write(target.member.daemon)
        self._send(target.address, ProbeDatagram(header, self._probe_number))

    def _probe_seeds(self) -> None:
        live = {r.member.daemon for r in self.state.other_live_records()}
        absent = sorted(set(self._seeds) - live)
        count = 0 if live else SEEDS_PER_PERIOD
        if live and self._periods % RECONNECT_PERIODS == 0:
            count = 1
        for daemon in self._random.sample(absent, min(count, len(absent))):
            self._send_probe(daemon, self._seeds[daemon])

    def _acknowledge(self, datagram: ProbeDatagram, source: str) -> None:
        sender = datagram.header.sender
        header = self._headers.write(sender.member.daemon, sender)
        self._send(source, AckDatagram(header, datagram.probe))

    def _handle_ack(self, datagram: AckDatagram) -> None:
        if self._probe is not None and datagram.probe == self._probe_number:
            self._probe.acknowledge()
        relay = self._relays.take(datagram.probe)
        if relay is None:
            return
        header = self._headers.write(relay.requester)
        relay_ack = RelayAckDatagram(header, relay.requester_probe)
        self._send(relay.requester_address, relay_ack)

    def _start_relay(self, datagram: RelayDatagram, source: str, now: float) -> None:
        number = self._send_probe(datagram.target, datagram.target_address)
        requester = datagram.header.sender.member.daemon
        expires_at = now + self._settings.probe_seconds
        self._relays.add(number, Relay(requester, source, datagram.probe, expires_at))

    def _handle_relay_ack(self, datagram: RelayAckDatagram) -> None:
        if self._probe is not None and datagram.probe == self._probe_number:
            self._probe.acknowledge()

    def _is_current(self, member: Member) -> bool:
        known = self.state.record_of(member.daemon)
        return known is not None and known.member == member and is_live(known)

    def _compare_views(self, header: Header, now: float) -> None:
        local_hash, changed_at = self.state.view_hash, self.state.view_changed_at
        if self._comparison.is_exchange_due(local_hash, header.view, changed_at, now):
            self._effects.append(ExchangeWith(header.sender.member.daemon))

    def _send_probe(self, daemon: DaemonName, address: str) -> int:
        number = next(self._probe_numbers)
        header = self._headers.write(daemon)
        self._send(address, ProbeDatagram(header, number))
        return number

    def _send(self, address: str, datagram: AnyDatagram) -> None:
        self._effects.append(SendDatagram(address, datagram))

    def _drain_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
