"""`notcharch demo`: the whole system on one machine, a small mix, and a report."""

import argparse
import random
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import LoopingCall, deferLater, react

from experiments.child_process import ChildError
from experiments.demo_report import report_text
from experiments.demo_system import CALLER_KEY, DemoSystem
from experiments.load_client import LoadClient
from experiments.workloads import (
    ProgramRunner,
    ProgramShape,
    WorkloadResult,
    draw_mix,
)
from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import DONE, FAILED

DEFAULT_PROGRAMS = 24
DEFAULT_SECONDS = 5.0
RELEASE_SECONDS = 5.0
"""How long the engines are given to release what ended programs held."""

PROGRESS_SECONDS = 1.0
EPILOG = """Starts the stand-ins and three daemons, and stops them again.

example:
  notcharch demo --programs 50 --seconds 10
"""


@attrs.frozen
class DemoOptions:
    """What the command line asks for; programs begin over `seconds`."""

    programs: int
    seconds: float
    seed: int
    folder: Path | None
    """Where settings and logs are kept; None for a folder that is removed."""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the options."""
    parser.epilog = EPILOG
    parser.add_argument(
        "--programs", type=int, default=DEFAULT_PROGRAMS, help="programs to run"
    )
    parser.add_argument(
        "--seconds",
        type=float,
        default=DEFAULT_SECONDS,
        help="time over which the programs begin, seconds",
    )
    parser.add_argument(
        "--keep", type=Path, metavar="DIR", help="keep settings and logs here"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the workload")


def run(arguments: argparse.Namespace) -> int:
    """Run the demo; exit status 0 only if every program got right answers."""
    options = DemoOptions(
        arguments.programs, arguments.seconds, arguments.seed, arguments.keep
    )
    passed: list[bool] = []
    try:
        react(_main, (options, passed.append))
    except SystemExit as end:
        # How `react` ends, also after an error, which it has reported.
        return DONE if not end.code and passed == [True] else FAILED


async def _main(
    reactor: Any, options: DemoOptions, on_end: Callable[[bool], None]
) -> None:
    with tempfile.TemporaryDirectory(prefix="notcharch-demo-") as temporary:
        folder = options.folder or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        system = DemoSystem(reactor, folder, _print)
        try:
            on_end(await _run(reactor, system, options))
        except ChildError as error:
            _print(f"failed: {error}")
        finally:
            await system.stop()


async def _run(reactor: Any, system: DemoSystem, options: DemoOptions) -> bool:
    await system.start()
    shapes = draw_mix(random.Random(options.seed), options.programs)
    result = WorkloadResult()
    client = LoadClient(
        reactor, system.addresses, CALLER_KEY, random.Random(options.seed + 1)
    )
    started_at = reactor.seconds()
    progress = LoopingCall(_show_progress, result, len(shapes))
    progress.start(PROGRESS_SECONDS, now=False)
    runner = ProgramRunner(client, reactor, result, _nothing)
    await _play(reactor, runner, shapes, options.seconds)
    progress.stop()
    seconds = reactor.seconds() - started_at
    await client.close()
    await deferLater(reactor, RELEASE_SECONDS)
    snapshot = await system.snapshot()
    _print(report_text(result, client.counters, snapshot, seconds))
    all_done = result.programs_done == result.programs_begun > 0
    return all_done and result.wrong_answers == 0


async def _play(
    reactor: Any,
    runner: ProgramRunner,
    shapes: tuple[ProgramShape, ...],
    seconds: float,
) -> None:
    """Begin the programs one after another, and wait for all of them."""
    running = []
    for shape in shapes:
        running.append(Deferred.fromCoroutine(runner.run(shape)))
        await deferLater(reactor, seconds / max(1, len(shapes)))
    await gatherResults(running)


def _show_progress(result: WorkloadResult, programs: int) -> None:
    _print(
        f"  {result.programs_done} programs done of {programs} and their children,"
        f" {result.calls_done} calls answered, {result.wrong_answers} wrong"
    )


def _nothing() -> None:
    """Take note of nothing."""


def _print(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


COMMAND = CommandSpec(
    name="demo",
    summary="run the whole system on this machine with a small mix of work",
    configure=configure,
    run=run,
)
