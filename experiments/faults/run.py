"""One run: start the region, load it, play the schedule, wait, and check."""

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
from twisted.internet.task import deferLater

from emulator.http.control_server import EmulatorSnapshot
from experiments.faults.caller import Caller
from experiments.faults.checks import all_checks, holders
from experiments.faults.facts import CallerFacts
from experiments.faults.programs import SMALL_BUDGET_TOKENS, ProgramPlayer
from experiments.faults.region import CALLER_KEY, FaultRegion
from experiments.faults.report import (
    FaultReport,
    calm_percentiles,
    cuts_of,
    median,
)
from experiments.faults.schedule import Schedule

WARM_UP_SECONDS = 4.0
RELEASE_SECONDS = 60.0
"""Memory of ended programs must be free by then."""

RELEASE_POLL_SECONDS = 0.5


@attrs.frozen
class FaultOptions:
    """What the command line asks for; no step begins after `seconds`."""

    seed: int
    seconds: float
    players: int
    steps: tuple[str, ...]


async def run_faults(
    reactor: Any, options: FaultOptions, folder: Path, show: Callable[[str], None]
) -> FaultReport:
    """Run, and give the report; every process is stopped at the end."""
    region = FaultRegion(reactor, folder, show)
    try:
        await region.start()
        return await _loaded(reactor, options, region, show)
    finally:
        await region.stop()


async def _loaded(
    reactor: Any,
    options: FaultOptions,
    region: FaultRegion,
    show: Callable[[str], None],
) -> FaultReport:
    facts = CallerFacts()
    caller = Caller(
        reactor,
        region.addresses,
        CALLER_KEY,
        random.Random(f"{options.seed} caller"),
        facts=facts,
        cause_of_cut=region.cause_of_cut,
    )
    chance = random.Random(f"{options.seed} programs")
    player = ProgramPlayer(reactor, caller, facts, chance)
    schedule = Schedule(
        reactor, region, random.Random(f"{options.seed} schedule"), show
    )
    begun_at = reactor.seconds()
    playing = player.play(options.players)
    await deferLater(reactor, WARM_UP_SECONDS)
    await schedule.run(options.steps, options.seconds)
    player.stop_beginning()
    await playing
    seconds = reactor.seconds() - begun_at
    await caller.close()
    await region.clear()
    snapshot, release_seconds = await _released(reactor, region)
    return _report(
        options,
        facts,
        schedule,
        snapshot,
        seconds=seconds,
        release_seconds=release_seconds,
    )


async def _released(
    reactor: Any, region: FaultRegion
) -> tuple[EmulatorSnapshot, float]:
    """Wait until no memory is held, at most `RELEASE_SECONDS`."""
    begun_at = reactor.seconds()
    while True:
        snapshot = await region.snapshot()
        elapsed = reactor.seconds() - begun_at
        if not holders(snapshot) or elapsed > RELEASE_SECONDS:
            return snapshot, elapsed
        await deferLater(reactor, RELEASE_POLL_SECONDS)


def _report(
    options: FaultOptions,
    facts: CallerFacts,
    schedule: Schedule,
    snapshot: EmulatorSnapshot,
    *,
    seconds: float,
    release_seconds: float,
) -> FaultReport:
    waits = list(facts.disturbed_wait_seconds.values())
    counters = [engine.counters for engine in snapshot.engines]
    return FaultReport(
        seed=options.seed,
        seconds=seconds,
        steps=tuple(schedule.steps_done),
        checks=all_checks(facts, snapshot, SMALL_BUDGET_TOKENS),
        programs_begun=facts.programs_begun,
        programs_done=facts.programs_done,
        calls_answered=facts.calls_answered,
        unknown_outcomes=len(facts.unknown_outcomes),
        lost_answers=len(facts.lost_answers),
        not_run=len(facts.not_run),
        budgets_exhausted=facts.budgets_exhausted,
        cuts=cuts_of(facts),
        cut_details=tuple(facts.cut_details),
        unreachable=facts.unreachable,
        timed_out=facts.timed_out,
        refusals=dict(facts.refusals),
        broken_streams=dict(facts.broken_streams),
        calm_calls=len(facts.calm_call_seconds),
        calm_call_seconds=calm_percentiles(facts.calm_call_seconds),
        calm_create_seconds=calm_percentiles(facts.calm_create_seconds),
        disturbed_programs=len(waits),
        longest_wait_p50=median(waits),
        longest_wait_max=max(waits, default=0.0),
        release_seconds=release_seconds,
        planned_stop_seconds=tuple(schedule.stop_seconds),
        stale_epochs_refused=sum(c.refused_stale_epoch for c in counters),
        accepted_while_leaving=sum(c.requests_accepted_leaving for c in counters),
        last_accepted_leaving_seconds=max(
            c.last_accepted_leaving_seconds for c in counters
        ),
    )
