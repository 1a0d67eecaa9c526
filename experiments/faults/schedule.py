"""The steps of a schedule: each brings one fault about and takes it back."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import attrs
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from emulator.faults import Fault, FaultKind
from experiments.faults.region import FaultRegion, RunningDaemon

KILLED_SECONDS = 3.0
LONG_KILLED_SECONDS = 26.0
"""Longer than it takes to give up the calls of a gateway that stays away."""

PAUSED_SECONDS = 9.0
"""Longer than the probe's interval and suspicion together, 5 s by default."""

SERVICE_SECONDS = 6.0
LEAVING_SECONDS = 5.0
SETTLE_SECONDS = 2.0
LOST_ANSWERS = 8
MODEL_ENGINES = tuple(f"model-{number}" for number in range(1, 7))
APPLICATION_ENGINES = tuple(f"application-{number}" for number in range(1, 4))
STREAM_BREAKS = 4
STEP_NAMES = (
    "kill",
    "kill_for_long",
    "pause",
    "rolling_restart",
    "log_down",
    "log_answers_lost",
    "machine_list_down",
    "engine_restart",
    "engine_leaving",
    "broken_streams",
    "kill_while_log_down",
    "pause_and_engine_restart",
    "two_kills",
)


@attrs.frozen
class Step:
    """One fault by its name."""

    name: str
    run: Callable[[], Awaitable[None]]


class Schedule:
    """Draws targets with its own chance and runs the steps one after another."""

    def __init__(
        self,
        reactor: Any,
        region: FaultRegion,
        chance: random.Random,
        report: Callable[[str], None],
    ) -> None:
        """Take the region whose processes suffer."""
        self._reactor = reactor
        self._region = region
        self._chance = chance
        self._report = report
        self.steps_done: list[str] = []
        self.stop_seconds: list[float] = []
        """How long planned stops took."""

    def steps(self) -> tuple[Step, ...]:
        """Give every step."""
        return tuple(Step(name, getattr(self, f"_{name}")) for name in STEP_NAMES)

    async def run(self, names: Sequence[str], seconds: float) -> None:
        """Run the named steps in a drawn order; begin none after `seconds`."""
        steps = [step for step in self.steps() if step.name in names]
        self._chance.shuffle(steps)
        begun_at = self._reactor.seconds()
        for step in steps:
            elapsed = self._reactor.seconds() - begun_at
            if elapsed > seconds:
                self._report(f"{elapsed:6.1f} s  no time for {step.name}")
                continue
            self._report(f"{elapsed:6.1f} s  {step.name}")
            await step.run()
            self.steps_done.append(step.name)
            await deferLater(self._reactor, SETTLE_SECONDS)

    async def _kill(self) -> None:
        await self._kill_and_restart(self._any_daemon())

    async def _kill_for_long(self) -> None:
        await self._kill_and_restart(self._any_daemon(), LONG_KILLED_SECONDS)

    async def _kill_and_restart(
        self, name: str, seconds: float = KILLED_SECONDS
    ) -> None:
        self._report(f"          kill {name}")
        await self._region.kill(name)
        await deferLater(self._reactor, seconds)
        await self._region.start_daemon(name)

    async def _two_kills(self) -> None:
        """Kill two daemons of one zone: the zone is gone for a while."""
        zone = self._chance.choice(sorted({d.zone for d in self._daemons()}))
        names = [d.name for d in self._daemons() if d.zone == zone]
        await self._together(*(self._kill_and_restart(name) for name in names))

    async def _pause(self) -> None:
        name = self._any_daemon()
        self._report(f"          pause {name}")
        self._region.pause(name)
        await deferLater(self._reactor, PAUSED_SECONDS)
        self._region.resume(name)

    async def _rolling_restart(self) -> None:
        for daemon in self._daemons():
            seconds = await self._region.stop_planned(daemon.name)
            self.stop_seconds.append(seconds)
            self._report(f"          {daemon.name} stopped within {seconds:.1f} s")
            await self._region.start_daemon(daemon.name)

    async def _log_down(self) -> None:
        await self._region.order(Fault("log", FaultKind.DOWN, SERVICE_SECONDS))
        await deferLater(self._reactor, SERVICE_SECONDS)

    async def _log_answers_lost(self) -> None:
        await self._region.order(Fault("log", FaultKind.ANSWER_LOST, LOST_ANSWERS))
        await deferLater(self._reactor, SERVICE_SECONDS / 2)

    async def _machine_list_down(self) -> None:
        await self._region.order(Fault("machine_list", FaultKind.DOWN, SERVICE_SECONDS))
        await deferLater(self._reactor, SERVICE_SECONDS)

    async def _engine_restart(self) -> None:
        await self._region.order(
            Fault(self._chance.choice(MODEL_ENGINES), FaultKind.RESTART, 2.0),
            Fault(self._chance.choice(APPLICATION_ENGINES), FaultKind.RESTART, 2.0),
        )
        await deferLater(self._reactor, 3.0)

    async def _engine_leaving(self) -> None:
        await self._region.order(
            Fault(self._chance.choice(MODEL_ENGINES), FaultKind.LEAVE),
            Fault(self._chance.choice(APPLICATION_ENGINES), FaultKind.LEAVE),
        )
        await deferLater(self._reactor, LEAVING_SECONDS)
        await self._region.clear()

    async def _broken_streams(self) -> None:
        for _ in range(STREAM_BREAKS):
            engine = self._chance.choice(MODEL_ENGINES + APPLICATION_ENGINES)
            await self._region.order(Fault(engine, FaultKind.BREAK_STREAMS))
            await deferLater(self._reactor, 0.5)

    async def _kill_while_log_down(self) -> None:
        await self._together(self._log_down(), self._kill())

    async def _pause_and_engine_restart(self) -> None:
        await self._together(self._pause(), self._engine_restart())

    async def _together(self, *runs: Any) -> None:
        started = [Deferred.fromCoroutine(run) for run in runs]
        await gatherResults(started, consumeErrors=True)

    def _daemons(self) -> list[RunningDaemon]:
        return list(self._region.daemons.values())

    def _any_daemon(self) -> str:
        return self._chance.choice(self._daemons()).name
