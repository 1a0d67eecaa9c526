"""The memory fabric's own promises: its faults, its clocks and its counts."""

from random import Random

import pytest
from result import Ok
from twisted.internet.error import AlreadyCalled
from twisted.internet.task import Clock

from emulator.peers.fabric import DATAGRAM, MemoryFabric
from emulator.peers.faults import LinkFaults
from emulator.peers.network import DIAL_FAILURE_SECONDS
from emulator.peers.time import EventQueue, MemberClock, run_for
from notcharch.errors import Ran
from notcharch.values.identifiers import (
    DaemonName,
    EngineName,
    Incarnation,
    Member,
    ZoneName,
)
from notcharch.wire.messages.engines import Acknowledged, DrainEngine
from tests.unit.wire.worlds import ALPHA, BETA, GAMMA, has_fired, value_of

NAMES = (ALPHA, BETA, GAMMA)
DRAIN = DrainEngine(EngineName("engine-1"), True)


class Fabric:
    """Three daemons, each in a zone of its own, that count what they receive."""

    def __init__(self, *, encode: bool = False) -> None:
        self.clock = Clock()
        self.fabric = MemoryFabric(self.clock, Random(5), encode=encode)
        self.received: dict[DaemonName, list[str]] = {name: [] for name in NAMES}
        for name in NAMES:
            self.start(name, 1)

    def start(self, name: DaemonName, incarnation: int):
        member = Member(name, Incarnation(incarnation))
        daemon = self.fabric.join(member, ZoneName(f"zone-{name}"))

        async def drain(sender, message):
            del sender
            self.received[name].append(message.engine)
            return Acknowledged()

        daemon.network.on_request(DrainEngine, drain)
        daemon.network.on_notice(
            DrainEngine,
            lambda sender, message: self.received[name].append(message.engine),
        )
        daemon.datagrams.on_datagram(
            lambda payload, source: self.received[name].append(payload.decode())
        )
        return daemon

    def network(self, name: DaemonName):
        return self.fabric.daemon(name).network

    def notify(self, count: int) -> None:
        for number in range(count):
            message = DrainEngine(EngineName(str(number)), True)
            self.network(ALPHA).notify(BETA, message)

    def run(self, seconds: float) -> None:
        run_for(self.clock, seconds)


@pytest.mark.parametrize(
    ("faults", "check"),
    [
        (LinkFaults(), lambda got: got == [str(n) for n in range(100)]),
        (LinkFaults(loss=0.5), lambda got: 20 < len(got) < 80),
        (LinkFaults(duplication=0.5), lambda got: 120 < len(got) < 180),
        (LinkFaults(reorder=1.0), lambda got: got != sorted(got, key=int)),
        (LinkFaults(loss=1.0), lambda got: got == []),
    ],
)
def test_link_faults(faults, check):
    fabric = Fabric()
    fabric.fabric.plan.set_link((ALPHA, BETA), faults)
    fabric.notify(100)
    fabric.run(1)
    assert check(fabric.received[BETA])


def test_delays_lie_in_their_range():
    fabric = Fabric()
    fabric.fabric.plan.set_default(LinkFaults(delay_min=1.0, delay_max=2.0))
    fabric.notify(20)
    fabric.run(0.99)
    assert fabric.received[BETA] == []
    fabric.run(1.02)
    assert len(fabric.received[BETA]) == 20


def test_a_one_way_cut_lets_the_other_direction_through():
    fabric = Fabric()
    fabric.fabric.cut([ALPHA], [BETA], one_way=True)
    fabric.fabric.daemon(ALPHA).datagrams.send("beta:1", b"lost")
    fabric.fabric.daemon(BETA).datagrams.send("alpha:1", b"arrives")
    fabric.run(1)
    assert fabric.received[BETA] == []
    assert fabric.received[ALPHA] == ["arrives"]


def test_a_long_cut_refuses_unwritten_and_healing_ends_it():
    fabric = Fabric()
    fabric.fabric.cut(fabric.fabric.names_in(ZoneName("zone-alpha")), [BETA])
    early = fabric.network(ALPHA).request(BETA, DRAIN, 1.0)
    fabric.run(DIAL_FAILURE_SECONDS + 0.1)
    assert value_of(early).err_value.ran is Ran.UNKNOWN
    late = fabric.network(ALPHA).request(BETA, DRAIN, 60.0)
    fabric.run(0.1)
    assert value_of(late).err_value.ran is Ran.NO
    fabric.fabric.heal()
    healed = fabric.network(ALPHA).request(BETA, DRAIN, 60.0)
    fabric.run(0.1)
    assert value_of(healed) == Ok(Acknowledged())


def test_a_paused_daemon_wakes_late_to_everything_that_waited():
    fabric = Fabric()
    fired = []
    clock = fabric.fabric.daemon(BETA).clock
    clock.callLater(1.0, lambda: fired.append(clock.seconds()))
    fabric.fabric.pause(BETA)
    asked = fabric.network(ALPHA).request(BETA, DRAIN, 60.0)
    fabric.run(10)
    assert (fired, fabric.received[BETA], has_fired(asked)) == ([], [], False)
    fabric.fabric.resume(BETA)
    fabric.run(0.1)
    assert fired == [10.0]
    assert value_of(asked) == Ok(Acknowledged())


def test_a_call_that_is_due_in_a_paused_daemon_can_be_cancelled_when_it_wakes():
    """In a stopped process an overdue call is pending until the reactor runs it."""
    fabric = Fabric()
    fired = []
    clock = fabric.fabric.daemon(BETA).clock
    cancelled = clock.callLater(1.0, lambda: fired.append("cancelled"))
    moved = clock.callLater(1.0, lambda: fired.append("moved"))
    fabric.fabric.pause(BETA)
    fabric.run(2)
    fabric.fabric.resume(BETA)
    assert cancelled.active()
    cancelled.cancel()
    moved.reset(3.0)
    fabric.run(1)
    assert fired == []
    fabric.run(3)
    assert fired == ["moved"]


def test_a_crashed_process_does_nothing_more_and_its_successor_is_another():
    fabric = Fabric()
    fired = []
    old = fabric.fabric.daemon(BETA)
    old.clock.callLater(1.0, lambda: fired.append(True))
    fabric.fabric.pause(BETA)
    lost = fabric.network(ALPHA).request(BETA, DRAIN, 5.0)
    fabric.run(0.5)
    new = fabric.start(BETA, 2)
    fabric.fabric.resume(BETA)
    old.datagrams.send("alpha:1", b"from the grave")
    fabric.run(6)
    assert (fired, fabric.received[BETA]) == ([], [])
    assert value_of(lost).err_value.ran is Ran.UNKNOWN
    assert fabric.fabric.daemon(BETA) is new
    assert fabric.fabric.is_running(BETA)


def test_a_silent_crash_tells_nobody():
    fabric = Fabric()
    fabric.fabric.pause(BETA)
    asked = fabric.network(ALPHA).request(BETA, DRAIN, 5.0)
    fabric.run(0.1)
    fabric.fabric.crash(BETA, silent=True)
    fabric.run(4.8)
    assert not has_fired(asked)
    fabric.run(0.2)
    assert value_of(asked).err_value.ran is Ran.UNKNOWN


def test_duplicated_requests_run_twice_but_are_answered_once():
    fabric = Fabric()
    fabric.fabric.plan.set_default(LinkFaults(duplication=1.0))
    asked = fabric.network(ALPHA).request(BETA, DRAIN, 5.0)
    fabric.run(1)
    assert fabric.received[BETA] == ["engine-1"] * 2
    assert value_of(asked) == Ok(Acknowledged())


def test_bytes_are_counted_as_the_codec_writes_them():
    fabric = Fabric(encode=True)
    fabric.network(ALPHA).request(BETA, DRAIN, 5.0)
    fabric.fabric.daemon(ALPHA).datagrams.send("nobody:1", b"12345")
    fabric.run(1)
    traffic = fabric.fabric.traffic
    frame = b'["request",1,{"type":"DrainEngine","engine":"engine-1","drain":true}]'
    assert traffic[(ALPHA, "DrainEngine")].bytes == len(frame)
    assert traffic[(BETA, "Acknowledged")].messages == 1
    assert traffic[(ALPHA, DATAGRAM)].bytes == 5
    assert (BETA, "DrainEngine") not in traffic


def test_delayed_calls_can_be_moved_and_withdrawn():
    underlying = Clock()
    clock = MemberClock(EventQueue(underlying))
    fired = []
    sooner = clock.callLater(5.0, fired.append, "sooner")
    later = clock.callLater(1.0, fired.append, "later")
    withdrawn = clock.callLater(2.0, fired.append, "withdrawn")
    sooner.reset(0.5)
    later.delay(9.0)
    withdrawn.cancel()
    assert [call.active() for call in (sooner, later, withdrawn)] == [True, True, False]
    assert later.getTime() == 10.0
    run_for(underlying, 4.0)
    assert fired == ["sooner"]
    run_for(underlying, 6.0)
    assert fired == ["sooner", "later"]
    for call in (sooner, later, withdrawn):
        with pytest.raises(AlreadyCalled):
            call.cancel()
