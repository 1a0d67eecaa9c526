"""What a daemon's polls of the platform cost: bytes and processor time of each.

    python -m experiments.capacity.poll_cost

A stand-in engine and services listen on 127.0.0.1; each poll passes a relay that
counts the bytes of both directions, HTTP headers included, TCP's not. Processor time
is that of the whole process: client, relay and stand-in together, an upper bound.
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

from emulator.settings import example_settings, load_emulator_settings
from emulator.system import start_emulator
from notcharch.platform.connections import Connections
from notcharch.platform.engine_client import EngineClient
from notcharch.platform.log_client import LogClient
from notcharch.platform.machine_list_client import MachineListClient
from notcharch.settings.schema import PlatformSection
from notcharch.table.publication import STREAM
from notcharch.values.identifiers import LogOffset, RegionName

POLLS = 200
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


async def measure_all(reactor: Any) -> list[PollCost]:
    """Measure every poll of an idle platform."""
    settings = load_emulator_settings(example_settings(), "example").unwrap()
    emulator = await start_emulator(reactor, settings)
    engine_address = next(iter(emulator.addresses.engines.values()))
    engine, services = (
        CountingFactory(address)
        for address in (engine_address, emulator.addresses.control)
    )
    engine_at, services_at = (
        f"127.0.0.1:{reactor.listenTCP(0, one, interface='127.0.0.1').getHost().port}"
        for one in (engine, services)
    )
    section = PlatformSection(log=services_at, machine_list=services_at)
    agent = Connections(reactor, CONNECT_SECONDS).agent
    client = EngineClient(agent, reactor, Random(1), section)
    log = LogClient(agent, reactor, section)
    machines = MachineListClient(agent, reactor, section)
    region = RegionName(settings.emulator.region)
    await deferLater(reactor, LIST_LAG_SECONDS)
    known = (await machines.changes(region, None)).unwrap().version
    return [
        await _measure("engine load", engine, lambda: client.load(engine_at)),
        await _measure(
            "engine cache events",
            engine,
            lambda: client.cache_events(engine_at, 0, EVENTS),
        ),
        await _measure(
            "machine list", services, lambda: machines.changes(region, known)
        ),
        await _measure(
            "log read", services, lambda: log.read(STREAM, LogOffset(0), 1, 0.0)
        ),
    ]


async def _measure(
    poll: str, factory: CountingFactory, ask: Callable[[], Any]
) -> PollCost:
    (await ask()).unwrap()
    counted = factory.counted = Counted()
    began = time.process_time()
    for _ in range(POLLS):
        (await ask()).unwrap()
    used = time.process_time() - began
    return PollCost(
        poll, counted.sent / POLLS, counted.received / POLLS, 1e6 * used / POLLS
    )


def main() -> int:
    """Print the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    from twisted.internet import reactor as installed

    reactor: Any = installed
    costs: list[PollCost] = []
    failures: list[Failure] = []

    def begin() -> None:
        measuring = Deferred.fromCoroutine(measure_all(reactor))
        measuring.addCallbacks(costs.extend, failures.append)
        measuring.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
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
