"""The scale run of one region: start, table, idleness, load, a rack, a zone.

`python -m experiments.scale FILE` runs the `ScaleSize` in a JSON file and writes its
`RegionFigures` as JSON to standard output; progress goes to standard error.
"""

import gc
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from experiments.capacity.process_cost import resident_bytes
from experiments.scale_figures import (
    LossFigures,
    MessageRate,
    PhaseFigures,
    RegionFigures,
)
from experiments.scale_load import ScaleLoad
from experiments.scale_region import ScaleRegion, ScaleSize, tenant_rows
from notcharch.table.draft import ChangeCell, ChangesDraft, Draft, WholeDraft
from notcharch.table.publisher import PublishRequest
from notcharch.values.identifiers import (
    DaemonName,
    ServiceName,
    TableVersion,
    ZoneName,
)

RACK_DAEMONS = 4
START_LIMIT_SECONDS = 60.0
TABLE_LIMIT_SECONDS = 30.0
LOSS_LIMIT_SECONDS = 60.0
SETTLE_SECONDS = 20.0
IDLE_SECONDS = 30.0
QUIET_SECONDS = 40.0
"""After which no news of a publication is spread any more."""

CHANGE_SECONDS = 15.0
"""Between two changes of the table: 86,400 / 5,700 is 15.2."""

CHANGES = 4
LOG_CUT_SECONDS = 60.0
"""Longer than a read waits at the log, so that none is left from before."""

LOAD_SECONDS = 20.0
LOADS = (0.5, 1.0)
"""Calls of one daemon a second."""

FIRST_ZONE, LAST_ZONE = ZoneName("zone1"), ZoneName("zone3")


class ScaleRun:
    """Takes one region through all steps and keeps the figures."""

    def __init__(self, size: ScaleSize, report: Callable[[str], None]) -> None:
        """`report` takes a line of progress after each step."""
        self._size = size
        self._report = report
        self._began = time.process_time()
        gc.collect()
        self._resident_before = resident_bytes()
        self.region = ScaleRegion(size)
        self._resident_models = resident_bytes()

    def run(self) -> RegionFigures:
        """Run every step."""
        region = self.region
        region.start_all()
        members, leaders = self._until(region.membership_agrees, region.partitions_led)
        region.list_engines()
        (stewards,) = self._until(region.engines_claimed)
        self._step(f"started {members} {leaders} {stewards}")
        region.advance(SETTLE_SECONDS)
        resident = resident_bytes() - self._resident_models
        spread = self._publish(TableVersion(0), 1.0)
        outage = self._publish_into_outage()
        self._step(f"table {spread}, log down {outage}")
        region.advance(QUIET_SECONDS)
        phases = [self._phase("idle", IDLE_SECONDS, 0.0), self._changes_phase()]
        region.advance(QUIET_SECONDS)
        phases += [self._phase("load", LOAD_SECONDS, rate) for rate in LOADS]
        region.advance(SETTLE_SECONDS)
        losses = self._losses()
        return RegionFigures(
            self._size.daemons,
            self._size.engines,
            self._size.partitions,
            self._size.zones,
            self._size.seed,
            self._size.cold,
            members,
            leaders,
            stewards,
            spread,
            outage,
            resident / self._size.daemons,
            tuple(phases),
            losses,
            time.process_time() - self._began,
        )

    def _step(self, text: str) -> None:
        seconds = time.process_time() - self._began
        self._report(f"{self._size.daemons} daemons, {seconds:.0f} s used: {text}")

    def _until(self, *conditions: Callable[[], bool]) -> list[float | None]:
        """Give the seconds until each condition first held, in this order.

        A condition is looked at only when those before it held, so that its time
        is never below theirs.
        """
        began = self.region.clock.seconds()
        times: list[float | None] = []
        for condition in conditions:
            held = self.region.seconds_until(condition, LOSS_LIMIT_SECONDS)
            passed = self.region.clock.seconds() - began
            times.append(None if held is None else passed)
        return times

    def _publish(self, base: TableVersion, share: float) -> float | None:
        """Publish a whole table; gives the seconds until all daemons have it."""
        self._begin_publishing(base, _whole(share))
        return self.region.seconds_until(
            lambda: self._least_version() > base, TABLE_LIMIT_SECONDS
        )

    def _begin_publishing(self, base: TableVersion, draft: Draft) -> None:
        request = PublishRequest(draft, base, "scale run")
        publisher = self.region.running_cores()[0].publisher
        Deferred.fromCoroutine(publisher.publish(request, TABLE_LIMIT_SECONDS))

    def _least_version(self) -> TableVersion:
        return min(core.table.version for core in self.region.running_cores())

    def _publish_into_outage(self) -> float | None:
        """Publish while only one daemon has the log, which then fails for it, too.

        Gives the seconds from then until all daemons have the version.
        """
        region = self.region
        before = self._least_version()
        region.cut_log_of_others()
        region.advance(LOG_CUT_SECONDS)
        self._begin_publishing(before, _whole(2.0))
        first = region.running_cores()[0]
        region.run_until(lambda: first.table.version > before, TABLE_LIMIT_SECONDS)
        region.cut_log()
        passed = region.seconds_until(
            lambda: self._least_version() > before, TABLE_LIMIT_SECONDS
        )
        region.heal_log()
        return passed

    def _changes_phase(self) -> PhaseFigures:
        """Measure while a cell of the table is changed again and again."""
        loop = LoopingCall(self._change_cell)
        loop.clock = self.region.clock
        loop.start(CHANGE_SECONDS)
        self.region.advance(CHANGE_SECONDS)
        figures = self._phase("changes", CHANGES * CHANGE_SECONDS, 0.0)
        loop.stop()
        return figures

    def _change_cell(self) -> None:
        version = self._least_version()
        change = ChangeCell(ServiceName("service-1"), "concurrency", 1000 + version)
        self._begin_publishing(version, ChangesDraft((change,)))

    def _phase(self, name: str, seconds: float, rate: float) -> PhaseFigures:
        region, daemons = self.region, self._size.daemons
        load = ScaleLoad(region, rate * daemons) if rate else None
        if load is not None:
            load.start()
            region.advance(LOAD_SECONDS)
            load.answered = load.failed = 0
        region.fabric.traffic.clear()
        began = time.process_time()
        region.advance(seconds)
        used = time.process_time() - began
        if load is not None:
            load.stop()
        share = seconds * daemons
        figures = PhaseFigures(
            name,
            seconds,
            rate,
            load.answered if load else 0,
            load.failed if load else 0,
            100 * used / share,
            max(self._bytes_by_daemon().values(), default=0) / seconds,
            self._rates(share),
        )
        self._step(
            f"{name} {rate}: {figures.bytes:.0f} B/s, {figures.core_percent:.2f}% core"
        )
        return figures

    def _rates(self, share: float) -> tuple[MessageRate, ...]:
        messages: dict[str, int] = defaultdict(int)
        sizes: dict[str, int] = defaultdict(int)
        for (_, name), traffic in self.region.fabric.traffic.items():
            messages[name] += traffic.messages
            sizes[name] += traffic.bytes
        rates = (
            MessageRate(name, messages[name] / share, sizes[name] / share)
            for name in messages
        )
        return tuple(sorted(rates, key=lambda rate: -rate.bytes))

    def _bytes_by_daemon(self) -> dict[DaemonName, int]:
        sizes: dict[DaemonName, int] = defaultdict(int)
        for (daemon, _), traffic in self.region.fabric.traffic.items():
            sizes[daemon] += traffic.bytes
        return sizes

    def _losses(self) -> tuple[LossFigures, ...]:
        region = self.region
        rack = region.running_in(FIRST_ZONE)[:RACK_DAEMONS]
        if len(rack) < RACK_DAEMONS:
            rack = rack[:1]
        first = self._loss("rack", rack)
        region.advance(SETTLE_SECONDS)
        return first, self._loss("zone", region.running_in(LAST_ZONE))

    def _loss(self, name: str, lost: tuple[DaemonName, ...]) -> LossFigures:
        region = self.region
        region.fabric.traffic.clear()
        began = time.process_time()
        region.crash_silently(lost)
        members, leaders, stewards = self._until(
            region.membership_agrees,
            region.partitions_led,
            region.engines_claimed,
        )
        left = len(region.running_cores())
        figures = LossFigures(
            name,
            len(lost),
            members,
            leaders,
            stewards,
            sum(self._bytes_by_daemon().values()) / left,
            (time.process_time() - began) / left,
        )
        self._step(f"lost a {name} of {len(lost)}: {members} {leaders} {stewards}")
        return figures


def _whole(share: float) -> WholeDraft:
    return WholeDraft(rows=tenant_rows(share=share), keys=None)


def _report(line: str) -> None:
    sys.stderr.write(f"{line}\n")
    sys.stderr.flush()


def main() -> int:
    """Run one region."""
    size = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ScaleSize)
    figures = ScaleRun(size, _report).run()
    sys.stdout.buffer.write(msgspec.json.encode(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
