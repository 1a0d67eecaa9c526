"""Continuous batching in steps, without a clock.

A step gives each decoding sequence one token and prefills one chunk. Steps with the
same sequences last equally long, so a plan covers all of them until one finishes or
a prefill ends; the cost is per change of the batch, not per token.
"""

import heapq
from collections import deque
from collections.abc import Callable

import attrs
from sortedcontainers import SortedKeyList

from emulator.engine.counters import EngineCounters
from emulator.engine.rates import EngineRates
from emulator.engine.runs import EngineRun, RunState


@attrs.frozen
class StepPlan:
    """Equal steps to come: their number, seconds each and prefill tokens each."""

    steps: int
    step_seconds: float
    prefill_tokens: int


@attrs.frozen
class BatchChange:
    """The runs that gave their first token, and those that gave their last."""

    first_tokens: list[EngineRun]
    finished: list[EngineRun]


class Batch:
    """The sequences that wait, prefill and decode."""

    def __init__(
        self,
        rates: EngineRates,
        counters: EngineCounters,
        start: Callable[[EngineRun], bool],
    ) -> None:
        """Begin empty; `start` takes memory for a run, or says there is none."""
        self.rates = rates
        self.slowdown = 1.0
        self.step = 0
        self.waiting: SortedKeyList[EngineRun, tuple[int, int]] = SortedKeyList(
            key=_waiting_order
        )
        self._counters = counters
        self._start = start
        self._prefilling: deque[EngineRun] = deque()
        self._decoding: list[tuple[int, int, EngineRun]] = []
        self._decoding_count = 0

    @property
    def running(self) -> int:
        """Count the sequences in the batch."""
        return len(self._prefilling) + self._decoding_count

    def decoding_runs(self) -> list[EngineRun]:
        """Give the runs that get a token in every step."""
        return [run for _, _, run in self._decoding if run.state is RunState.RUNNING]

    def prefill_backlog(self) -> int:
        """Count the prompt tokens still to be prefilled by admitted runs."""
        return sum(run.prefill_left for run in self._prefilling)

    def admit(self) -> list[EngineRun]:
        """Fill free slots by priority, then age; the head waits for its memory."""
        admitted = []
        while self.waiting and self.running < self.rates.slots:
            run = self.waiting[0]
            if not self._start(run):
                break
            del self.waiting[0]
            run.state = RunState.RUNNING
            self._prefilling.append(run)
            admitted.append(run)
        return admitted

    def plan(self, longest: int | None) -> StepPlan | None:
        """Plan equal steps, at most `longest`; None when nothing runs."""
        if not self.running:
            return None
        steps, prefill = self._prefill_steps()
        next_finish = self._next_finish()
        if next_finish is not None:
            steps = min(steps or next_finish, next_finish)
        if longest is not None:
            steps = min(steps, longest)
        seconds = self.rates.step_time(self._decoding_count, prefill) * self.slowdown
        return StepPlan(steps, seconds, prefill)

    def apply(self, plan: StepPlan, steps: int) -> BatchChange:
        """Run `steps` of a plan, or all that it has if fewer."""
        self.step += steps
        self._counters.tokens_decoded += steps * self._decoding_count
        finished = self._finish_decoding()
        first_tokens = self._prefill(plan.prefill_tokens * steps)
        finished += [run for run in first_tokens if run.answer.tokens == run.tokens]
        return BatchChange(first_tokens, finished)

    def tokens_of(self, run: EngineRun, steps_ahead: int = 0) -> int:
        """Count a decoding run's answer tokens, at this step or some ahead."""
        if run.first_step is None:
            return 0
        given = self.step + steps_ahead - run.first_step + 1
        return min(given, run.answer.tokens)

    def remove(self, run: EngineRun) -> None:
        """Take out a run that is cancelled."""
        if run.state is RunState.QUEUED:
            self.waiting.remove(run)
        elif run.first_step is None:
            self._prefilling.remove(run)
        else:
            self._decoding_count -= 1
        run.tokens = self.tokens_of(run)

    def clear(self) -> None:
        """Clear all runs."""
        self.waiting.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self._decoding_count = 0

    def _prefill_steps(self) -> tuple[int, int]:
        if not self._prefilling:
            return 0, 0
        chunk = self.rates.chunk_tokens
        head = self._prefilling[0].prefill_left
        if head > chunk:
            return (head - 1) // chunk, chunk
        return 1, min(chunk, self.prefill_backlog())

    def _next_finish(self) -> int | None:
        while self._decoding and self._decoding[0][2].state is not RunState.RUNNING:
            heapq.heappop(self._decoding)
        return self._decoding[0][0] - self.step if self._decoding else None

    def _prefill(self, budget: int) -> list[EngineRun]:
        done = []
        while budget and self._prefilling:
            run = self._prefilling[0]
            part = min(budget, run.prefill_left)
            run.prefill_left -= part
            budget -= part
            self._counters.tokens_prefilled += part
            if run.prefill_left:
                break
            self._prefilling.popleft()
            self._give_first_token(run)
            done.append(run)
        return done

    def _give_first_token(self, run: EngineRun) -> None:
        run.first_step = self.step
        run.tokens = 1
        self._counters.tokens_decoded += 1
        if run.answer.tokens > 1:
            finish = self.step + run.answer.tokens - 1
            heapq.heappush(self._decoding, (finish, run.order, run))
            self._decoding_count += 1

    def _finish_decoding(self) -> list[EngineRun]:
        finished = []
        while self._decoding and self._decoding[0][0] <= self.step:
            run = heapq.heappop(self._decoding)[2]
            if run.state is RunState.RUNNING:
                self._decoding_count -= 1
                run.tokens = run.answer.tokens
                finished.append(run)
        return finished


def _waiting_order(run: EngineRun) -> tuple[int, int]:
    return run.request.priority, run.order
