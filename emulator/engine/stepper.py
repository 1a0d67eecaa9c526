"""Runs a batch's plans on a clock, with one timer for each plan.

An engine stands for a machine of its own: when this process is late with a timer,
the next plan still begins where the last one ended.
"""

from collections.abc import Callable

import attrs
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from emulator.engine.batch import Batch, BatchChange, StepPlan


class Stepper:
    """Runs plans over time; `on_change` is called with the effects of each finished plan."""

    def __init__(
        self,
        clock: IReactorTime,
        batch: Batch,
        longest_plan: int | None,
        before_change: Callable[[float], None],
        on_change: Callable[[BatchChange, float], None],
    ) -> None:
        """Begin idle; a plan covers at most `longest_plan` steps.

        `before_change` is called when a plan ends, before it has any effect; `on_change`
        gets what it did and when it ended, and calls `begin`.
        """
        self._clock = clock
        self._batch = batch
        self._longest_plan = longest_plan
        self._before_change = before_change
        self._on_change = on_change
        self._plan: StepPlan | None = None
        self._plan_start = 0.0
        self._timer: IDelayedCall | None = None
        self._stalled = False

    def batch_changed(self) -> None:
        """Let a change take effect after the present step, or at once when idle."""
        plan = self._plan
        if plan is None:
            self.begin(self._clock.seconds())
            return
        passed = (self._clock.seconds() - self._plan_start) / plan.step_seconds
        done = min(int(passed), plan.steps - 1)
        if done:
            self._batch.apply(plan, done)
            self._plan_start += done * plan.step_seconds
        self._plan = attrs.evolve(plan, steps=1)
        self._arm_timer(self._plan)

    def begin(self, at: float) -> None:
        """Admit what fits and run the next plan from a time on, if there is one."""
        if self._stalled or self._plan is not None:
            return
        self._batch.admit()
        self._plan = self._batch.plan(self._longest_plan)
        if self._plan is not None:
            self._plan_start = at
            self._arm_timer(self._plan)

    def stall(self, stalled: bool) -> None:
        """Stop after the present step, or go on."""
        if stalled and self._plan is not None:
            self.batch_changed()
        self._stalled = stalled
        self.begin(self._clock.seconds())

    def drop(self) -> None:
        """Drop the current plan, as a restart does."""
        self._plan = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm_timer(self, plan: StepPlan) -> None:
        wait = max(0.0, self._end_of(plan) - self._clock.seconds())
        if self._timer is None:
            self._timer = self._clock.callLater(wait, self._plan_ended)
        else:
            self._timer.reset(wait)

    def _plan_ended(self) -> None:
        self._timer = None
        plan = self._plan
        self._plan = None
        if plan is not None:
            end = self._end_of(plan)
            self._before_change(end)
            change = self._batch.apply(plan, plan.steps)
            self._on_change(change, end)

    def _end_of(self, plan: StepPlan) -> float:
        return self._plan_start + plan.steps * plan.step_seconds
