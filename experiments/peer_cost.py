"""What a request between two daemons costs in processor time, over TCP.

    python -m experiments.peer_cost [--requests 20000] [--open 1 20 200]

Both daemons are in this process, so the time printed is that of both sides together,
system calls included; the request asks a steward for a quote.
"""

import argparse
import sys
import time
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, gatherResults
from twisted.python.failure import Failure

from notcharch.values.identifiers import (
    DaemonName,
    EngineName,
    Incarnation,
    Member,
    ProgramId,
    RegionName,
)
from notcharch.wire.codec import default_codec
from notcharch.wire.connections import TcpPeerNetwork
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import EngineQuote, QuoteEngine

ASKING, ANSWERING = DaemonName("daemon-1"), DaemonName("daemon-2")
WARM_UP_REQUESTS = 500
TIME_OUT_SECONDS = 30.0
MICROSECONDS = 1e6


def new_network(reactor: Any, name: DaemonName) -> TcpPeerNetwork:
    """Make the network of one daemon."""
    return TcpPeerNetwork(
        reactor,
        reactor,
        own=Member(name, Incarnation(1)),
        region=RegionName("region1"),
        codec=default_codec(),
        random=Random(1),
    )


async def quote(sender: Member, message: Message) -> Message:
    """Answer as a steward would, without its work."""
    del sender
    assert isinstance(message, QuoteEngine)
    return EngineQuote(message.engine, 0.1, 1000.0, message.prompt_tokens, True)


async def ask(network: TcpPeerNetwork, count: int) -> None:
    """Send requests one after another."""
    for number in range(count):
        message = QuoteEngine(
            EngineName("engine-17"), ProgramId("region1-2a-0123456789abcdef"), number
        )
        reply = await network.request(ANSWERING, message, TIME_OUT_SECONDS)
        reply.unwrap()


async def measure(reactor: Any, requests: int, open_counts: list[int]) -> None:
    """Print a row for each number of requests that are open at once."""
    asking = new_network(reactor, ASKING)
    answering = new_network(reactor, ANSWERING)
    answering.on_request(QuoteEngine, quote)
    asking.set_address(ANSWERING, f"127.0.0.1:{answering.listen('127.0.0.1', 0)}")
    await ask(asking, WARM_UP_REQUESTS)
    print("| open at once | processor µs a request, both sides |\n|---|---|")
    for open_count in open_counts:
        each = requests // open_count
        began = time.process_time()
        workers = [Deferred.fromCoroutine(ask(asking, each)) for _ in range(open_count)]
        await gatherResults(workers)
        used = (time.process_time() - began) / (each * open_count)
        print(f"| {open_count} | {used * MICROSECONDS:.0f} |", flush=True)


def main() -> int:
    """Run the reactor for the measurement; a failure ends it."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--open", type=int, nargs="+", default=[1, 20, 200])
    arguments = parser.parse_args()
    failures: list[Failure] = []

    def begin() -> None:
        measuring = measure(reactor, arguments.requests, arguments.open)
        running = Deferred.fromCoroutine(measuring)
        running.addErrback(failures.append)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    for failure in failures:
        failure.printTraceback()
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
