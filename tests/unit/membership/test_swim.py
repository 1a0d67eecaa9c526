"""Tests of the failure detector and its parts, without a network."""

from random import Random

import pytest

from notcharch.membership.datagrams import (
    AckDatagram,
    Digest,
    Header,
    ProbeDatagram,
    RelayAckDatagram,
    RelayDatagram,
    decode,
    encode,
)
from notcharch.membership.effects import (
    DigestChanged,
    ExchangeWith,
    RecordChanged,
    SelfRefuted,
    SendDatagram,
    Stalled,
    Superseded,
)
from notcharch.membership.gossip import SPREAD_FACTOR, GossipQueue
from notcharch.membership.headers import GOSSIP_PER_DATAGRAM, HeaderWriter
from notcharch.membership.membership_state import MembershipState
from notcharch.membership.probe import ProbeActions, new_probe
from notcharch.membership.probe_order import ProbeOrder
from notcharch.membership.records import supersedes
from notcharch.membership.suspicions import PROBES_PER_SUSPICION
from notcharch.membership.swim import CONFLICT_PROBE_INTERVAL_SECONDS, Swim
from notcharch.settings.schema import MembershipSection
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    Member,
    RegionName,
    ZoneName,
)
from notcharch.wire.messages.membership import MemberRecord, MemberStatus

ALIVE, SUSPECT = MemberStatus.ALIVE, MemberStatus.SUSPECT
DEAD, LEFT = MemberStatus.DEAD, MemberStatus.LEFT
REGION = RegionName("region1")
SETTINGS = MembershipSection()


def record(
    name: str = "beta",
    status: MemberStatus = ALIVE,
    refutations: int = 0,
    incarnation: int = 10,
) -> MemberRecord:
    member = Member(DaemonName(name), Incarnation(incarnation))
    return MemberRecord(member, ZoneName("z"), f"{name}:1", refutations, status)


LOCAL_RECORD = record("alpha")


def header(sender: MemberRecord, gossip=(), digests=(), view=0, **changes) -> Header:
    region = changes.get("region", REGION)
    receiver = DaemonName(changes.get("receiver", "alpha"))
    return Header(region, receiver, sender, view, digests, gossip)


class Detector:
    """A `Swim` with the given members, driven on a manual clock."""

    def __init__(self, *names: str) -> None:
        self.swim = Swim(REGION, LOCAL_RECORD, SETTINGS, Random(1))
        self.swim.finish_exchange()
        self.swim.start(0.0)
        self.now = 0.0
        self.swim.merge_all(tuple(record(name) for name in names), 0.0)

    def run_due(self):
        self.now = max(self.now, self.swim.next_due())
        return self.swim.run(self.now)

    def deliver(self, datagram, source="beta:1"):
        return self.swim.receive(datagram, source, self.now)

    def status_of(self, name: str) -> MemberStatus:
        return self.swim.state.record_of(DaemonName(name)).status

    def sent(self, effects, datagram_type):
        return [
            effect
            for effect in effects
            if isinstance(effect, SendDatagram)
            and isinstance(effect.datagram, datagram_type)
        ]

    def run_until_dead(self, name: str) -> None:
        while self.status_of(name) is not DEAD:
            self.run_due()

    def probe(self):
        """Run until a probe is sent; return its effect."""
        while True:
            sent = self.sent(self.run_due(), ProbeDatagram)
            if sent:
                return sent[0]


@pytest.mark.parametrize(
    ("new", "old", "wins"),
    [
        (record(), record(), False),
        (record(status=SUSPECT), record(), True),
        (record(), record(status=SUSPECT), False),
        (record(status=DEAD), record(status=SUSPECT), True),
        (record(refutations=1), record(status=SUSPECT), True),
        (record(refutations=1), record(status=DEAD), True),
        (record(status=SUSPECT, refutations=1), record(refutations=1), True),
        (record(status=DEAD), record(refutations=1), False),
        (record(incarnation=11), record(status=DEAD, refutations=9), True),
        (record(incarnation=11), record(status=LEFT, refutations=9), True),
        (record(status=DEAD, refutations=9), record(incarnation=11), False),
        (record(status=LEFT, refutations=9), record(incarnation=11), False),
        (record(status=LEFT), record(refutations=5), True),
        (record(refutations=5), record(status=LEFT), False),
    ],
)
def test_precedence_of_claims(new, old, wins):
    assert supersedes(new, old) is wins


@pytest.mark.parametrize(
    ("inputs", "expected"),
    [
        (["acknowledge", "time_out", "end_period"], []),
        (["time_out", "acknowledge", "end_period"], ["relays"]),
        (["time_out", "time_out", "end_period"], ["relays", "failed"]),
        (["end_period", "end_period", "acknowledge"], ["failed"]),
        (["acknowledge", "acknowledge", "end_period"], []),
    ],
)
def test_the_transitions_of_a_probe(inputs, expected):
    done = []
    actions = ProbeActions(lambda: done.append("relays"), lambda: done.append("failed"))
    probe = new_probe(actions)
    for name in inputs:
        getattr(probe, name)()
    assert done == expected


def test_a_silent_member_is_suspected_and_dead_after_the_suspicion_timeout():
    detector = Detector("beta")
    detector.probe()
    suspected_at = None
    while detector.status_of("beta") is not DEAD:
        detector.run_due()
        if suspected_at is None and detector.status_of("beta") is SUSPECT:
            suspected_at = detector.now
    assert detector.now == pytest.approx(suspected_at + SETTINGS.suspicion_seconds)


def test_an_acknowledgement_through_a_relay_prevents_suspicion():
    detector = Detector("beta", "gamma", "delta")
    probe = detector.probe()
    relays = detector.sent(detector.run_due(), RelayDatagram)
    assert len(relays) == 2
    target = relays[0].datagram.target
    assert target == probe.datagram.header.receiver
    relay = relays[0].datagram.header.receiver
    relay_ack = RelayAckDatagram(header(record(relay)), relays[0].datagram.probe)
    detector.deliver(relay_ack, f"{relay}:1")
    detector.run_due()
    assert detector.status_of(target) is ALIVE


def test_a_relay_forwards_the_acknowledgement_once():
    detector = Detector("beta", "gamma")
    request = RelayDatagram(header(record("beta")), 77, DaemonName("gamma"), "gamma:1")
    (probe,) = detector.sent(detector.deliver(request), ProbeDatagram)
    assert probe.address == "gamma:1"
    ack = AckDatagram(header(record("gamma")), probe.datagram.probe)
    (relay_ack,) = detector.sent(detector.deliver(ack), RelayAckDatagram)
    assert (relay_ack.address, relay_ack.datagram.probe) == ("beta:1", 77)
    assert detector.sent(detector.deliver(ack), RelayAckDatagram) == []


def test_a_probe_is_acknowledged_to_its_source_address():
    detector = Detector()
    effects = detector.deliver(ProbeDatagram(header(record()), 5), "10.0.0.9:4")
    (ack,) = detector.sent(effects, AckDatagram)
    assert (ack.address, ack.datagram.probe) == ("10.0.0.9:4", 5)
    assert RecordChanged(None, record()) in effects


@pytest.mark.parametrize(
    "changes", [{"region": RegionName("region2")}, {"receiver": "gamma"}]
)
def test_datagrams_for_others_are_ignored(changes):
    detector = Detector()
    assert detector.deliver(ProbeDatagram(header(record(), **changes), 5)) == []
    assert detector.swim.state.other_live_records() == ()


@pytest.mark.parametrize("status", [SUSPECT, DEAD])
def test_a_claim_about_this_process_is_refuted(status):
    detector = Detector("beta")
    claim = record("alpha", status, refutations=3)
    effects = detector.deliver(ProbeDatagram(header(record(), (claim,)), 1))
    assert SelfRefuted(4) in effects
    (ack,) = detector.sent(effects, AckDatagram)
    assert ack.datagram.header.sender == record("alpha", refutations=4)


def test_an_outdated_claim_about_this_process_is_not_refuted():
    detector = Detector("beta")
    claim = record("alpha", DEAD, incarnation=9)
    effects = detector.deliver(ProbeDatagram(header(record(), (claim,)), 1))
    assert not any(isinstance(effect, SelfRefuted) for effect in effects)


def test_a_later_process_of_the_same_name_is_reported_once():
    detector = Detector("beta")
    other = record("alpha", incarnation=11)
    effects = detector.deliver(ProbeDatagram(header(record(), (other,)), 1))
    assert Superseded(LOCAL_RECORD.member, other.member) in effects
    assert detector.deliver(ProbeDatagram(header(record(), (other,)), 2)) != effects


def test_a_sender_recorded_as_dead_is_notified():
    detector = Detector("beta")
    detector.run_until_dead("beta")
    effects = detector.deliver(ProbeDatagram(header(record()), 1))
    (ack,) = detector.sent(effects, AckDatagram)
    assert record(status=DEAD) in ack.datagram.header.gossip
    detector.deliver(ProbeDatagram(header(record(refutations=1)), 2))
    assert detector.status_of("beta") is ALIVE


def test_a_received_death_claim_only_suspects_a_live_member():
    detector = Detector("beta", "gamma")
    claim = record("gamma", DEAD, refutations=2)
    detector.deliver(ProbeDatagram(header(record(), (claim,)), 1))
    assert detector.status_of("gamma") is SUSPECT
    detector.deliver(ProbeDatagram(header(record("gamma", refutations=3)), 1))
    assert detector.status_of("gamma") is ALIVE
    detector.deliver(ProbeDatagram(header(record(), (record("gamma", LEFT),)), 1))
    assert detector.status_of("gamma") is LEFT


def test_a_suspected_member_is_probed_directly_before_it_is_declared_dead():
    detector = Detector("beta", "gamma")
    claim = record("gamma", SUSPECT)
    detector.deliver(ProbeDatagram(header(record(), (claim,)), 1))
    probes = []
    while detector.status_of("gamma") is SUSPECT:
        probes += [
            sent.datagram
            for sent in detector.sent(detector.run_due(), ProbeDatagram)
            if sent.address == "gamma:1"
        ]
    assert len(probes) >= PROBES_PER_SUSPICION
    assert all(claim in datagram.header.gossip for datagram in probes)


def test_a_dead_member_that_is_alive_elsewhere_is_probed_at_a_limited_rate():
    detector = Detector("beta", "gamma")
    detector.run_until_dead("gamma")
    alive = ProbeDatagram(header(record(), (record("gamma"),)), 1)

    def probed_addresses():
        sent = detector.sent(detector.deliver(alive), ProbeDatagram)
        return [effect.address for effect in sent]

    assert probed_addresses() == ["gamma:1"]
    assert probed_addresses() == []
    detector.now += CONFLICT_PROBE_INTERVAL_SECONDS
    assert probed_addresses() == ["gamma:1"]
    assert detector.status_of("gamma") is DEAD


def test_a_process_that_stalled_declares_nobody_dead_on_resuming():
    detector = Detector("beta", "gamma")
    detector.probe()
    while SUSPECT not in (detector.status_of("beta"), detector.status_of("gamma")):
        detector.run_due()
    detector.now += 60.0
    effects = detector.swim.run(detector.now)
    assert any(isinstance(effect, Stalled) for effect in effects)
    statuses = {detector.status_of("beta"), detector.status_of("gamma")}
    assert DEAD not in statuses
    detector.now += SETTINGS.suspicion_seconds - 0.1
    assert DEAD not in {detector.status_of("beta"), detector.status_of("gamma")}


def test_digests_are_reported_when_they_change_and_only_of_current_processes():
    detector = Detector("beta")

    def reported(value, sender):
        digests = (Digest("table", value),)
        effects = detector.deliver(ProbeDatagram(header(sender, digests=digests), 1))
        return [effect.value for effect in effects if isinstance(effect, DigestChanged)]

    assert reported(5, record()) == [5]
    assert reported(5, record()) == []
    assert reported(6, record()) == [6]
    assert reported(7, record(incarnation=9)) == []
    assert reported(6, record(incarnation=11)) == [6]


def test_views_that_stay_different_are_exchanged_but_not_at_once():
    detector = Detector("beta")
    different = ProbeDatagram(header(record(), view=12345), 1)
    assert ExchangeWith(DaemonName("beta")) not in detector.deliver(different)
    detector.now += 6.0
    assert ExchangeWith(DaemonName("beta")) in detector.deliver(different)
    assert ExchangeWith(DaemonName("beta")) not in detector.deliver(different)
    same = ProbeDatagram(header(record(), view=detector.swim.state.view_hash), 1)
    detector.now += 6.0
    assert ExchangeWith(DaemonName("beta")) not in detector.deliver(same)


def test_every_member_is_probed_once_in_a_round():
    order = ProbeOrder(Random(1))
    living = [DaemonName(f"daemon-{n}") for n in range(20)]
    for _ in range(3):
        assert sorted(order.next(living) for _ in living) == sorted(living)
    assert order.next([]) is None
    order.add(DaemonName("new"))
    probed = [order.next([*living, DaemonName("new")]) for _ in range(21)]
    assert "new" in probed


def test_gossip_is_bounded_and_the_newest_claim_replaces_the_older():
    queue = GossipQueue()
    queue.add(record(status=SUSPECT))
    queue.add(record(status=DEAD))
    sent = [queue.take(6, 75) for _ in range(100)]
    assert sum(len(records) for records in sent) == SPREAD_FACTOR * 7
    assert {claim for records in sent for claim in records} == {record(status=DEAD)}
    assert len(queue) == 0


def test_the_largest_datagram_is_not_fragmented():
    long_name = "region-with-a-long-name-daemon-0123456789"
    state = MembershipState(record(long_name, incarnation=1_760_000_000_000), 4.0)
    headers = HeaderWriter(RegionName("region-with-a-long-name"), state)
    for key in ("table", "limits", "placement"):
        headers.set_digest(key, 10**15)
    for n in range(100):
        claim = record(f"{long_name}{n}", DEAD, 99, 1_760_000_000_000)
        state.merge(record(f"{long_name}{n}", incarnation=1), 0.0)
        state.merge(claim, 0.0)
    written = headers.write(DaemonName(f"{long_name}99"))
    assert len(written.gossip) == GOSSIP_PER_DATAGRAM + 1
    datagram = RelayDatagram(
        written, 10**9, DaemonName(long_name), "100.100.100.100:65535"
    )
    payload = encode(datagram)
    assert len(payload) < 1400
    assert decode(payload).ok_value == datagram


@pytest.mark.parametrize(
    "payload",
    [b"", b"{}", b"[]", b'["probe"]', b'["future",1]', b"\xff\xfe", b"[" * 999],
)
def test_malformed_datagrams_are_errors(payload):
    assert decode(payload).is_err()
