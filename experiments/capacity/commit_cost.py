"""What a commit costs a partition's leader and the log service, on virtual time.

    python -m experiments.capacity.commit_cost

One partition, three daemons, commands that begin programs, at several rates. Bytes
are those of the journal; processor time is the whole process's, the log service and
the simulation included.
"""

import argparse
import time

import msgspec
from twisted.internet.task import LoopingCall

from emulator.settings import example_settings, load_emulator_settings
from experiments.virtual.region import RegionPlan, VirtualRegion
from notcharch.daemon.core import DaemonCore
from notcharch.partitions.service import TOPIC
from notcharch.placement.partitions import new_program_id
from notcharch.programs.commands import BeginProgram
from notcharch.settings.schema import PartitionsSection, Settings
from notcharch.values.identifiers import PartitionNumber, ServiceName, TenantName

RATES = (0, 20, 50, 100, 200)
"""Commits a second."""

SECONDS = 20.0
START_SECONDS = 30.0
PARTITION = PartitionNumber(0)
BUDGET_TOKENS = 10**6


class CommitCost(msgspec.Struct, frozen=True):
    """Of one partition, for each second."""

    rate: int
    calls: float
    """To the log service, those of the idle daemons included."""
    bytes: float
    """Written to the journal."""
    core_milliseconds: float


def measure(rate: int) -> CommitCost:
    """Measure one rate in a region of its own."""
    emulator = load_emulator_settings(example_settings(), "example").unwrap()
    plan = RegionPlan(
        emulator=msgspec.structs.replace(emulator, engines=()),
        settings=Settings(
            partitions=PartitionsSection(partition_count=1, snapshot_seconds=86_400.0)
        ),
    )
    region = VirtualRegion(plan)
    region.start_all()
    if not region.run_until(lambda: _leader(region) is not None, START_SECONDS):
        raise RuntimeError("no leader")
    region.advance(START_SECONDS)
    loop = LoopingCall(_propose, region)
    loop.clock = region.clock
    if rate:
        loop.start(1 / rate)
    region.advance(1.0)
    log = region.models.journal
    calls, written = log.calls, _journal_bytes(region)
    began = time.process_time()
    region.advance(SECONDS)
    used = time.process_time() - began
    return CommitCost(
        rate,
        (log.calls - calls) / SECONDS,
        (_journal_bytes(region) - written) / SECONDS,
        1000 * used / SECONDS,
    )


def _journal_bytes(region: VirtualRegion) -> int:
    """Give the bytes in the journal; the plan keeps it from being trimmed."""
    return sum(map(len, region.models.journal.partition(f"{TOPIC}-0", 0).records))


def _leader(region: VirtualRegion) -> DaemonCore | None:
    for core in region.running_cores():
        if PARTITION in core.partitions.led_partitions():
            return core
    return None


def _propose(region: VirtualRegion) -> None:
    leader = _leader(region)
    if leader is None:
        raise RuntimeError("the leader was lost")
    program = new_program_id(leader.region, PARTITION)
    command = BeginProgram(
        region.clock.seconds(),
        program,
        ServiceName("guide"),
        TenantName("tenant-1"),
        BUDGET_TOKENS,
    )
    leader.partitions.propose(PARTITION, command)


def main() -> int:
    """Print the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print("| commits/s | log calls/s | journal B/s | core ms/s |\n|---|---|---|---|")
    for rate in RATES:
        cost = measure(rate)
        print(
            f"| {cost.rate} | {cost.calls:.1f} | {cost.bytes:.0f} "
            f"| {cost.core_milliseconds:.2f} |"
        )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
