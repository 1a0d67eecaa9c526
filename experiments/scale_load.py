"""A modest load on a scale region: programs of two calls, evenly over the daemons."""

import itertools

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from experiments.scale_region import TENANTS, ScaleRegion
from experiments.virtual.caller import DirectCaller
from notcharch.daemon.core import DaemonCore
from notcharch.errors import Problem
from notcharch.values.chat import Answer, ChatMessage
from notcharch.values.identifiers import ProgramId, ServiceName, TenantName

CALLS_PER_PROGRAM = 2
PROMPT = "word " * 200
MOST_ANSWER_TOKENS = 16


class ScaleLoad:
    """Begins programs at a rate until it is stopped; counts how their calls end."""

    def __init__(self, region: ScaleRegion, calls_per_second: float) -> None:
        """`calls_per_second` are those of the whole region."""
        self.answered = 0
        self.failed = 0
        self._region = region
        self._numbers = itertools.count()
        self._loop = LoopingCall(self._begin_program)
        self._loop.clock = region.clock
        self._seconds = CALLS_PER_PROGRAM / calls_per_second

    def start(self) -> None:
        """Begin."""
        self._loop.start(self._seconds, now=True)

    def stop(self) -> None:
        """Begin no more programs; those under way go on."""
        self._loop.stop()

    def _begin_program(self) -> None:
        number = next(self._numbers)
        cores = self._region.running_cores()
        Deferred.fromCoroutine(self._run(cores[number % len(cores)], number))

    async def _run(self, core: DaemonCore, number: int) -> None:
        tenant = number % TENANTS
        caller = DirectCaller(TenantName(f"tenant-{tenant}"))
        created = await caller.create(core, ServiceName(f"service-{tenant}"))
        if isinstance(created, Err):
            self.failed += CALLS_PER_PROGRAM
            return
        for sequence in range(1, CALLS_PER_PROGRAM + 1):
            await self._call(core, caller, created.ok_value, sequence)
        await caller.end(core, created.ok_value)

    async def _call(
        self, core: DaemonCore, caller: DirectCaller, program: ProgramId, sequence: int
    ) -> None:
        message = ChatMessage("user", f"{sequence} {PROMPT}")
        outcome: Result[Answer, Problem] = await caller.call(
            core, program, sequence, (message,), max_tokens=MOST_ANSWER_TOKENS
        )
        if isinstance(outcome, Ok):
            self.answered += 1
        else:
            self.failed += 1
