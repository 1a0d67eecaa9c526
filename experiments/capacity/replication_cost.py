"""What a commit costs a group of three replicas, on the memory fabric.

    python -m experiments.capacity.replication_cost

One partition, three daemons, commands that begin programs, at several rates. Bytes
are those of `ReplicationNotice` frames that all three send; processor time is the
whole process's, codec and simulation included, less that of a rate of 0.
"""

import argparse
import time

import msgspec
from twisted.internet.task import LoopingCall

from emulator.settings import example_settings, load_emulator_settings
from experiments.virtual.region import RegionPlan, VirtualRegion
from notcharch.daemon.core import DaemonCore
from notcharch.placement.partitions import new_program_id
from notcharch.programs.commands import BeginProgram
from notcharch.settings.schema import ReplicationSection, Settings
from notcharch.values.identifiers import PartitionNumber, ServiceName, TenantName

RATES = (0, 20, 50, 100, 200)
"""Commits a second."""

SECONDS = 20.0
START_SECONDS = 30.0
PARTITION = PartitionNumber(0)
BUDGET_TOKENS = 10**6
NOTICE = "ReplicationNotice"


class CommitCost(msgspec.Struct, frozen=True):
    """Of the whole group, for each second."""

    rate: int
    messages: float
    bytes: float
    core_milliseconds: float


def measure(rate: int) -> CommitCost:
    """Measure one rate in a region of its own."""
    emulator = load_emulator_settings(example_settings(), "example").unwrap()
    plan = RegionPlan(
        emulator=msgspec.structs.replace(emulator, engines=()),
        settings=Settings(replication=ReplicationSection(partition_count=1)),
        encode=True,
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
    region.fabric.traffic.clear()
    began = time.process_time()
    region.advance(SECONDS)
    used = time.process_time() - began
    notices = [t for (_, name), t in region.fabric.traffic.items() if name == NOTICE]
    return CommitCost(
        rate,
        sum(traffic.messages for traffic in notices) / SECONDS,
        sum(traffic.bytes for traffic in notices) / SECONDS,
        1000 * used / SECONDS,
    )


def _leader(region: VirtualRegion) -> DaemonCore | None:
    for core in region.running_cores():
        if core.replicas.led_partitions():
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
    leader.replicas.propose(PARTITION, command)


def main() -> int:
    """Print the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print("| commits/s | notices/s | notice B/s | core ms/s |\n|---|---|---|---|")
    for rate in RATES:
        cost = measure(rate)
        print(
            f"| {cost.rate} | {cost.messages:.1f} | {cost.bytes:.0f} "
            f"| {cost.core_milliseconds:.2f} |"
        )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
