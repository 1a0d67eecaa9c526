"""Measures what leases of services' slots cost: bytes on the wire, processor time, memory.

`python -m experiments.lease_cost` prints the bytes of a renewal (request and reply as
frames between daemons, and the replicated command), and the microseconds and bytes of
a lease at the limiter with 1, 75 and 600 holders of one service.
"""

import argparse
import gc
import time
import tracemalloc

import msgspec
from result import Result

from notcharch.errors import Problem
from notcharch.services.allotments import AllotmentsState, RequestSlots
from notcharch.values.identifiers import (
    DaemonName,
    Epoch,
    Incarnation,
    Member,
    ServiceName,
)
from notcharch.wire.codec import (
    MessageCodec,
    ReplyEnvelope,
    RequestEnvelope,
    default_codec,
)
from notcharch.wire.messages.services import AllotmentGranted, RequestAllotment

SERVICE = ServiceName("chat-27")
HOLDERS = (1, 75, 600)
ROUNDS = 5
RENEWALS = 2_000
EPOCH = Epoch(3)
CONCURRENCY = 5_000
LEASE_SECONDS = 30.0
RENEWAL_SECONDS = 18.0
MICROSECONDS = 1e6


class Figures(msgspec.Struct, frozen=True):
    """What a renewal costs the limiter with so many holders."""

    holders: int
    microseconds: float
    bytes_a_lease: float


def holder(number: int) -> Member:
    """Name a daemon's process."""
    return Member(DaemonName(f"daemon-{number}"), Incarnation(1_790_000_000_000))


def command(member: Member, number: int, at: float) -> RequestSlots:
    """Build the replicated command of a renewal."""
    return RequestSlots(
        at=at,
        service=SERVICE,
        holder=member,
        number=number,
        wanted=3,
        held=3,
        concurrency=CONCURRENCY,
        lease_seconds=LEASE_SECONDS,
        keep_seconds=159.2,
    )


def renewals(state: AllotmentsState, holders: int, count: int) -> None:
    """Apply renewals of all holders in turn."""
    for number in range(count):
        at = 1_790_000_000.0 + number * 0.001
        state.apply(command(holder(number % holders), number + 1, at), EPOCH)


def measure(holders: int) -> Figures:
    """Measure time and memory with so many holders."""
    least = float("inf")
    for _ in range(ROUNDS):
        state = AllotmentsState()
        renewals(state, holders, holders)
        commands = [
            command(holder(n % holders), holders + n + 1, 1_790_000_010.0)
            for n in range(RENEWALS)
        ]
        gc.collect()
        began = time.process_time()
        for one in commands:
            state.apply(one, EPOCH)
        least = min(least, (time.process_time() - began) / RENEWALS)
    return Figures(holders, least * MICROSECONDS, _bytes_a_lease(holders))


def _bytes_a_lease(holders: int) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    state = AllotmentsState()
    renewals(state, holders, holders)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(state.leases(SERVICE)) == holders
    return (after - before) / holders


def frame_bytes(codec: MessageCodec, envelope: RequestEnvelope | ReplyEnvelope) -> int:
    """Give the length of a frame between daemons."""
    frame: Result[bytes, Problem] = codec.encode(envelope)
    return len(frame.unwrap())


def main() -> int:
    """Measure and print."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    codec = default_codec()
    request = RequestAllotment(SERVICE, holder(599), 123_456, wanted=3, held=3)
    reply = AllotmentGranted(SERVICE, 123_456, 3, LEASE_SECONDS)
    asked = frame_bytes(codec, RequestEnvelope(99_999, codec.encode_message(request)))
    told = frame_bytes(codec, ReplyEnvelope(99_999, codec.encode_message(reply)))
    replicated = len(msgspec.json.encode(command(holder(599), 123_456, 1.79e9)))
    print(f"request {asked} bytes, reply {told} bytes, command {replicated} bytes")
    print(
        f"a held service: {(asked + told) / RENEWAL_SECONDS:.0f} bytes/s at its holder"
    )
    print("\n| holders | µs a renewal | bytes a lease |")
    print("|---|---|---|")
    for holders in HOLDERS:
        figures = measure(holders)
        print(
            f"| {holders} | {figures.microseconds:.0f} | {figures.bytes_a_lease:.0f} |"
        )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
