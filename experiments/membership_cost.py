"""What membership costs a daemon: bytes a second and processor time.

    python -m experiments.membership_cost [--members 4 20 75] [--seconds 300]

For each size it prints three rows: a quiet region, one that restarts a daemon each
30 seconds, and a quiet one over real UDP and TCP sockets of the loopback interface
(for `--socket-seconds` of real time, for the processor time of the system calls).

Bytes are those that one daemon sends, on average, with 28 bytes of IP and UDP
header for each datagram and 52 bytes of IP and TCP header for each message of an
exchange; a daemon receives as many. Processor time is the whole process's, divided
by its daemons; on the fabric it includes the simulation itself.
"""

import argparse
import sys
import time
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from emulator.peers.fabric import DATAGRAM
from experiments.membership_region import (
    FIRST_INCARNATION,
    REGION,
    ZONES,
    MembershipRegion,
    daemon_name,
)
from notcharch.clients.ports import (
    Machine,
    MachineChanges,
    MachineKind,
    MachineState,
)
from notcharch.membership.service import MembershipService
from notcharch.membership.swim import Swim
from notcharch.settings.schema import MembershipSection
from notcharch.values.identifiers import Incarnation, Member
from notcharch.wire.codec import default_codec
from notcharch.wire.connections import TcpPeerNetwork
from notcharch.wire.datagrams import UdpDatagramPort
from notcharch.wire.messages.membership import MemberRecord

UDP_HEADER_BYTES = 28
TCP_HEADER_BYTES = 52
WARM_UP_SECONDS = 300.0
"""Until the records of the common start are no longer spread."""

SOCKET_WARM_UP_SECONDS = 15.0
RESTART_SECONDS = 30.0
TABLE_VERSION = 123_456
DIGEST_KEY = "table"


class Cost(msgspec.Struct, frozen=True):
    """One row: averages for each daemon and second."""

    members: int
    kind: str
    datagrams: float
    datagram_bytes: float
    exchange_bytes: float
    core_percent: float

    @property
    def total_bytes(self) -> float:
        """All bytes sent a second, headers included."""
        return self.datagram_bytes + self.exchange_bytes


def on_fabric(members: int, seconds: float, *, restarts: bool) -> Cost:
    """Measure a region on the memory fabric, in simulated seconds."""
    region = MembershipRegion(members, encode=True)
    for service in region.services.values():
        service.set_digest(DIGEST_KEY, TABLE_VERSION)
    region.run(WARM_UP_SECONDS)
    region.fabric.traffic.clear()
    began = time.process_time()
    passed = 0.0
    while passed < seconds:
        if restarts:
            region.restart(region.random.choice(sorted(region.services)))
        region.run(RESTART_SECONDS)
        passed += RESTART_SECONDS
    used = time.process_time() - began
    datagrams, datagram_bytes, exchange_bytes = 0, 0, 0
    for (_, message_type), traffic in region.fabric.traffic.items():
        if message_type == DATAGRAM:
            datagrams += traffic.messages
            datagram_bytes += traffic.bytes + UDP_HEADER_BYTES * traffic.messages
        else:
            exchange_bytes += traffic.bytes + TCP_HEADER_BYTES * traffic.messages
    share = members * passed
    return Cost(
        members,
        "restarts" if restarts else "quiet",
        datagrams / share,
        datagram_bytes / share,
        exchange_bytes / share,
        100 * used / share,
    )


class SocketMember:
    """A daemon's membership over real sockets, on one port number for both."""

    def __init__(self, reactor: Any, index: int) -> None:
        """Bind the sockets of daemon `index`."""
        member = Member(daemon_name(index), Incarnation(FIRST_INCARNATION + index))
        zone = ZONES[index % len(ZONES)]
        self.network = TcpPeerNetwork(
            reactor,
            reactor,
            own=member,
            region=REGION,
            codec=default_codec(),
            random=Random(index),
        )
        self.datagrams = UdpDatagramPort()
        port = self._listen(reactor)
        address = f"127.0.0.1:{port}"
        record = MemberRecord(member, zone, address)
        swim = Swim(REGION, record, MembershipSection(), Random(index))
        self.service = MembershipService(swim, reactor, self.datagrams, self.network)
        self.service.set_digest(DIGEST_KEY, TABLE_VERSION)
        kind, state = MachineKind.DAEMON, MachineState.LIVE
        self.machine = Machine(member.daemon, kind, REGION, zone, address, state)

    def stop(self) -> None:
        """Close the sockets."""
        self.service.stop()
        self.network.stop()
        self.datagrams.close()

    def _listen(self, reactor: Any) -> int:
        while True:
            port = self.network.listen("127.0.0.1", 0)
            try:
                return self.datagrams.listen(reactor, "127.0.0.1", port)
            except CannotListenError:
                self.network.stop()


async def on_sockets(reactor: Any, count: int, seconds: float) -> Cost:
    """Measure a region over real sockets, in real seconds."""
    members = [SocketMember(reactor, index) for index in range(count)]
    machines = tuple(member.machine for member in members)
    for member in members:
        member.service.start()
        member.service.apply_machines(MachineChanges(1, True, machines))
    await deferLater(reactor, SOCKET_WARM_UP_SECONDS)
    began = time.process_time()
    await deferLater(reactor, seconds)
    core_percent = 100 * (time.process_time() - began) / (count * seconds)
    found = min(len(member.service.live_members()) for member in members)
    for member in members:
        member.stop()
    return Cost(found, "sockets", 0.0, 0.0, 0.0, core_percent)


async def all_on_sockets(
    reactor: Any, sizes: list[int], seconds: float, costs: list[Cost]
) -> None:
    """Measure one size after another."""
    for count in sizes:
        costs.append(await on_sockets(reactor, count, seconds))


def measure_sockets(sizes: list[int], seconds: float) -> list[Cost]:
    """Run the reactor until every size is measured; a failure ends the run."""
    from twisted.internet import reactor

    costs: list[Cost] = []
    failures: list[Failure] = []

    def begin() -> None:
        measuring = all_on_sockets(reactor, sizes, seconds, costs)
        running = Deferred.fromCoroutine(measuring)
        running.addErrback(failures.append)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    for failure in failures:
        failure.raiseException()
    return costs


def row(cost: Cost) -> str:
    """Write a row of the table; figures that a kind does not measure are empty."""
    text = f"| {cost.members} | {cost.kind} "
    if cost.datagrams:
        text += (
            f"| {cost.datagrams:.2f} | {cost.datagram_bytes:.0f} "
            f"| {cost.exchange_bytes:.0f} | {cost.total_bytes:.0f} "
        )
    else:
        text += "| | | | "
    return text + f"| {cost.core_percent:.3f} |"


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, nargs="+", default=[4, 20, 75])
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--socket-seconds", type=float, default=30.0)
    arguments = parser.parse_args()
    print(
        "| members | region | datagrams/s | datagram B/s | exchange B/s | B/s | core % |"
    )
    print("|---|---|---|---|---|---|---|")
    costs = measure_sockets(arguments.members, arguments.socket_seconds)
    for size in arguments.members:
        for restarts in (False, True):
            costs.append(on_fabric(size, arguments.seconds, restarts=restarts))
    for cost in sorted(costs, key=lambda cost: cost.members):
        print(row(cost))
    return 0


if __name__ == "__main__":
    sys.exit(main())
