"""What a daemon's polls of the platform cost: bytes and processor time of each.

    python -m experiments.capacity.poll_cost

A stand-in engine and services listen on 127.0.0.1, in a process of their own. The
processor time is that of this process, the client's alone. The bytes are counted in a
second round, by a relay: both directions, HTTP headers included, TCP's not.
"""

import argparse
import time
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.protocols import portforward
from twisted.python.failure import Failure

from emulator.system import EmulatorAddresses
from experiments.relay_children import child_server
from notcharch.clients.connections import Connections
from notcharch.clients.engine_client import EngineClient
from notcharch.clients.log_client import LogClient
from notcharch.clients.machine_list_client import MachineListClient
from notcharch.settings.schema import PlatformSection
from notcharch.table.publication import STREAM
from notcharch.values.identifiers import LogOffset, RegionName

POLLS = 200
REGION = RegionName("region1")
EVENTS = 1000
CONNECT_SECONDS = 5.0
LIST_LAG_SECONDS = 2.5
"""After which the machine list says nothing new."""


class Counted:
    """Bytes that passed the relay."""

    sent = 0
    received = 0


class CountingClient(portforward.ProxyClient):
    """Counts what the far side answers."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count and pass on."""
        server: Any = self.peer
        server.factory.counted.received += len(data)
        super().dataReceived(data)  # type: ignore[no-untyped-call]


class CountingClientFactory(portforward.ProxyClientFactory):
    """Builds counting clients."""

    protocol = CountingClient
    noisy = False


class CountingServer(portforward.ProxyServer):
    """Counts what the daemon sends."""

    clientProtocolFactory = CountingClientFactory  # noqa: N815

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count and pass on."""
        factory: Any = self.factory
        factory.counted.sent += len(data)
        super().dataReceived(data)  # type: ignore[no-untyped-call]


class CountingFactory(portforward.ProxyFactory):
    """Relays to one address and counts."""

    protocol = CountingServer
    noisy = False

    def __init__(self, address: str) -> None:
        """Relay to `host:port`."""
        host, port = address.rsplit(":", 1)
        super().__init__(host, int(port))
        self.counted = Counted()


class PollCost(msgspec.Struct, frozen=True):
    """Of one poll, on average."""

    poll: str
    sent_bytes: float
    received_bytes: float
    core_microseconds: float


class Clients:
    """A daemon's clients of one engine and of the services."""

    def __init__(self, reactor: Any, engine: str, services: str) -> None:
        """Talk to two addresses."""
        section = PlatformSection(log=services, machine_list=services)
        agent = Connections(reactor, CONNECT_SECONDS).agent
        self.engine_address = engine
        self.engine = EngineClient(agent, reactor, Random(1), section)
        self.log = LogClient(agent, reactor, section)
        self.machines = MachineListClient(agent, reactor, section)

    def polls(self, known: int) -> dict[str, Callable[[], Any]]:
        """Give every poll; `known` is the present version of the machine list."""
        engine, at = self.engine, self.engine_address
        return {
            "engine load": lambda: engine.load(at),
            "engine cache events": lambda: engine.cache_events(at, 0, EVENTS),
            "machine list": lambda: self.machines.changes(REGION, known),
            "log read": lambda: self.log.read(STREAM, LogOffset(0), 1, 0.0),
        }


async def measure_all(reactor: Any, stand_ins: EmulatorAddresses) -> list[PollCost]:
    """Measure every poll of an idle platform."""
    engine_at = next(iter(stand_ins.engines.values()))
    direct = Clients(reactor, engine_at, stand_ins.control)
    await deferLater(reactor, LIST_LAG_SECONDS)
    known = (await direct.machines.changes(REGION, None)).unwrap().version
    relays = [CountingFactory(at) for at in (engine_at, stand_ins.control)]
    counted = Clients(reactor, *(_listen(reactor, relay) for relay in relays))
    costs = []
    for name, ask in direct.polls(known).items():
        await _repeat(ask, 1)
        began = time.process_time()
        await _repeat(ask, POLLS)
        used = time.process_time() - began
        sent, received = await _bytes(counted.polls(known)[name], relays)
        costs.append(PollCost(name, sent, received, 1e6 * used / POLLS))
    return costs


async def _bytes(
    ask: Callable[[], Any], relays: list[CountingFactory]
) -> tuple[float, float]:
    await _repeat(ask, 1)
    for relay in relays:
        relay.counted = Counted()
    await _repeat(ask, POLLS)
    sent = sum(relay.counted.sent for relay in relays)
    return sent / POLLS, sum(relay.counted.received for relay in relays) / POLLS


async def _repeat(ask: Callable[[], Any], times: int) -> None:
    for _ in range(times):
        (await ask()).unwrap()


def _listen(reactor: Any, relay: CountingFactory) -> str:
    port = reactor.listenTCP(0, relay, interface="127.0.0.1")
    return f"127.0.0.1:{port.getHost().port}"


def main() -> int:
    """Print the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    from twisted.internet import reactor as installed

    reactor: Any = installed
    costs: list[PollCost] = []
    failures: list[Failure] = []

    def begin(stand_ins: EmulatorAddresses) -> None:
        measuring = Deferred.fromCoroutine(measure_all(reactor, stand_ins))
        measuring.addCallbacks(costs.extend, failures.append)
        measuring.addBoth(lambda _: reactor.stop())

    with child_server("notcharch.cli.main", "emulator") as child:
        stand_ins = msgspec.json.decode(child.address, type=EmulatorAddresses)
        reactor.callWhenRunning(begin, stand_ins)
        reactor.run()
    for failure in failures:
        failure.raiseException()
    print("| poll | sent bytes | received bytes | core µs |\n|---|---|---|---|")
    for cost in costs:
        print(
            f"| {cost.poll} | {cost.sent_bytes:.0f} | {cost.received_bytes:.0f} "
            f"| {cost.core_microseconds:.0f} |"
        )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
