"""Measures paging: bytes of a program before and after, and the time to page in.

`python -m experiments.page_cost` prints two tables. The log service is the stand-in
of this tree, over HTTP on the loopback interface and without any pause of its own.
"""

import argparse
import gc
import statistics
import time
import tracemalloc
from typing import Any

from result import Err, Ok, Result
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.internet.task import react

from emulator.settings import load_emulator_settings
from emulator.system import start_emulator
from experiments.program_cost import EPOCH, Case, Driver
from notcharch.clients.connections import Connections
from notcharch.clients.log_client import LogClient
from notcharch.clients.ports import LogPage, LogPort, LogRecord
from notcharch.errors import Problem, ProblemCode
from notcharch.programs.commands import PageOut, PagesDropped
from notcharch.programs.history import History
from notcharch.programs.page_log import PageLog
from notcharch.programs.pages import PageReference, decode_page
from notcharch.programs.paging_plan import PAGE_BYTES, DraftedPage, plan_page_out
from notcharch.settings.schema import PlatformSection
from notcharch.values.identifiers import (
    LogOffset,
    PartitionNumber,
    ProgramId,
    RegionName,
)

REGION = RegionName("region1")
PARTITION = PartitionNumber(5)
CASES = (Case(1000, 5, 200), Case(500, 20, 400), Case(4, 470, 1808))
PAGE_INS = 50
SETTINGS = """
[emulator]
[[engines]]
name = "model-1"
pools = ["model"]
"""


class CountingLog:
    """Keeps nothing but sizes, so that it does not count as memory of a replica."""

    def __init__(self) -> None:
        """Begin with empty streams."""
        self.records = 0
        self.data_bytes = 0

    def append(
        self, stream: str, records: tuple[LogRecord, ...]
    ) -> "Deferred[Result[LogOffset, Problem]]":
        """Count the records."""
        first = self.records
        self.records += len(records)
        self.data_bytes += sum(len(record.data) for record in records)
        return succeed(Ok(LogOffset(first)))

    def read(
        self, stream: str, offset: LogOffset, limit: int, wait_seconds: float = 0.0
    ) -> "Deferred[Result[LogPage, Problem]]":
        """Refuse: nothing is kept."""
        return succeed(Err(Problem.of(ProblemCode.UNAVAILABLE, "nothing is kept")))


async def page_everything_out(
    driver: Driver, log: PageLog, texts: list[str] | None = None
) -> None:
    """Write and drop, in batches as a leader does, until nothing is worth a page."""
    while True:
        plan = plan_page_out([(PARTITION, driver.state)], 0)
        drafts = [DraftedPage.of(r) for r in plan.programs.get(PARTITION, [])]
        if not drafts:
            return
        records = tuple(draft.log_record() for draft in drafts)
        first = await log.append(PARTITION, records)
        assert first is not None, "the log service failed"
        if texts is not None:
            texts.extend(record.data for record in records)
        pages = tuple(
            draft.written_at(LogOffset(first + index))
            for index, draft in enumerate(drafts)
        )
        begin = time.perf_counter()
        result = driver.state.apply(PageOut(4.0, pages), EPOCH)
        driver.timings.add("PageOut", (time.perf_counter() - begin))
        assert result == PagesDropped(len(pages))


async def measure_bytes(case: Case) -> str:
    """Give a row: memory and snapshot of one program, held and paged."""
    driver = Driver()
    log = CountingLog()
    pages = PageLog(log, reactor, REGION)
    gc.collect()
    tracemalloc.start()
    baseline = tracemalloc.get_traced_memory()[0]
    for _ in range(case.programs):
        driver.run_program(case)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - baseline
    held_snapshot = len(driver.state.snapshot())
    await page_everything_out(driver, pages)
    gc.collect()
    paged = tracemalloc.get_traced_memory()[0] - baseline
    tracemalloc.stop()
    paged_snapshot = len(driver.state.snapshot())
    sizes = (held, paged, held_snapshot, paged_snapshot, log.records, log.data_bytes)
    cells = " | ".join(f"{size // case.programs}" for size in sizes)
    return f"| {case.turns} | {cells} |"


def decode_all(history: History, texts: list[str]) -> dict[bytes, bytes]:
    """Check and decompress every page, without the way to the log service."""
    return {
        page.digest: decode_page(texts[page.offset], page) for page in history.pages
    }


async def read_all(
    pages: tuple[PageReference, ...], program: ProgramId, log: PageLog
) -> None:
    """Read every page of a program at once."""
    reads = [
        Deferred.fromCoroutine(log.read(PARTITION, program, page)) for page in pages
    ]
    for read in reads:
        await read


async def measure_time(case: Case, port: LogPort, texts: list[str]) -> str:
    """Give a row: time of dropping a page, decoding and reading a whole history."""
    driver = Driver()
    programs = [driver.run_program(case) for _ in range(case.programs)]
    await page_everything_out(driver, PageLog(port, reactor, REGION), texts)
    dropped = driver.timings.seconds["PageOut"] / len(programs)
    decoded: list[float] = []
    fetched: list[float] = []
    for index in range(PAGE_INS):
        program = programs[index % len(programs)]
        record = driver.state.record(program)
        assert record is not None
        begin = time.perf_counter()
        decode_all(record.history, texts)
        decoded.append(time.perf_counter() - begin)
        # A log of its own, so that nothing is in its cache.
        log = PageLog(port, reactor, REGION)
        begin = time.perf_counter()
        await read_all(record.history.pages, program, log)
        fetched.append(time.perf_counter() - begin)
    return (
        f"| {case.turns} | {1e6 * dropped:.0f} | {1e6 * statistics.median(decoded):.0f} "
        f"| {1e3 * statistics.median(fetched):.1f} | {1e3 * max(fetched):.1f} |"
    )


async def measure(real_reactor: Any) -> None:
    """Print both tables."""
    emulator = await start_emulator(
        real_reactor, load_emulator_settings(SETTINGS, "measurement").unwrap()
    )
    connections = Connections(reactor, 5.0)
    address = emulator.addresses.control
    settings = PlatformSection(log=address, machine_list=address, weight_store=address)
    port = LogClient(connections.agent, reactor, settings)
    texts: list[str] = []
    print(f"pages of {PAGE_BYTES} plain bytes")
    print("| turns | held | paged | snapshot | paged snapshot | pages | written |")
    print("|---|---|---|---|---|---|---|")
    for case in CASES:
        print(await measure_bytes(case))
    print("\n| turns | drop, µs | decode, µs | read, ms | longest read, ms |")
    print("|---|---|---|---|---|")
    for case in CASES:
        print(await measure_time(case, port, texts))
    await connections.close()


def main() -> None:
    """Measure on the real reactor."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    react(lambda real_reactor: ensureDeferred(measure(real_reactor)))


if __name__ == "__main__":
    main()
