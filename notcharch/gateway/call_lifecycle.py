"""State machine of one call at its gateway; performs no I/O.

Each input reports the result of the previous step and returns the next `Step`. See
docs/design/gateway.md for the state diagram. Resources are acquired in a fixed order
(admission, slot, grant), and no call waits for an earlier one while it holds a later
one, which rules out deadlocks.
"""

from typing import Protocol

import attrs
from automat import TypeMachineBuilder, pep614

from notcharch.clients.ports import StreamEnd
from notcharch.errors import Problem, Ran
from notcharch.gateway.call_outcome import (
    answer_of,
    not_run,
    with_ran_at_least,
    with_worst_ran,
)
from notcharch.gateway.call_steps import (
    AcquireSlot,
    Admit,
    AwaitOtherGateway,
    CommitAnswer,
    CommitFailure,
    OpenStream,
    Place,
    ReturnAnswer,
    ReturnProblem,
    Step,
)
from notcharch.values.chat import Answer
from notcharch.values.identifiers import EngineName


class CallLifecycle(Protocol):
    """Inputs of the state machine; each returns the next step."""

    def begin(self) -> Step:
        """Start the state machine."""

    def admitted(self, ran_before: Ran) -> Step:
        """Continue after the leader admitted a new attempt of this gateway.

        `ran_before` tells whether earlier attempts at the call may have run, also those
        of other requests.
        """

    def in_progress(self) -> Step:
        """Continue when another gateway runs the call."""

    def answered(self, answer: Answer) -> Step:
        """Continue with the stored answer of the call."""

    def refused(self, problem: Problem) -> Step:
        """Continue after a refusal by the leader or with a stored failure."""

    def slot_acquired(self) -> Step:
        """Continue after a concurrency slot was acquired."""

    def slot_refused(self, problem: Problem) -> Step:
        """Continue after no slot became free before the deadline."""

    def placed(self, engine: EngineName) -> Step:
        """Continue after the engine was granted and the dispatch was journalled."""

    def placing_refused(self, problem: Problem) -> Step:
        """Continue after no engine was granted or the dispatch was not recorded."""

    def stream_ended(self, end: StreamEnd) -> Step:
        """Continue after the engine sent the complete answer."""

    def stream_failed(self, problem: Problem) -> Step:
        """Continue after the stream failed and the call will not be retried."""

    def stream_failed_retrying(self, problem: Problem) -> Step:
        """Continue after the stream failed and the call will be retried."""

    def committed(self) -> Step:
        """Continue after the outcome of the attempt was journalled."""

    def commit_failed(self, problem: Problem) -> Step:
        """Continue after the outcome was not journalled before the deadline."""

    def superseded(self) -> Step:
        """Continue when the leader has already abandoned this attempt."""


@attrs.define
class CallLifecycleCore:
    """State shared by all transitions: the attempts and the result so far."""

    attempts: int = 0
    failed_engines: frozenset[EngineName] = frozenset()
    engine: EngineName | None = None
    answer: Answer | None = None
    problem: Problem | None = None
    earlier_problem: Problem | None = None
    """Failure of the earlier attempts, with the most severe `ran` among them."""
    ran_before: Ran = Ran.NO
    """Whether attempts before the newest one may have run, as the leader reported."""

    def record_failure(self, problem: Problem) -> CommitFailure:
        """Record a failed stream; returns the step that stores its outcome."""
        if self.engine is not None:
            self.failed_engines |= {self.engine}
        self.earlier_problem = with_worst_ran(self.earlier_problem, problem)
        self.problem = problem
        return CommitFailure(problem)

    def final_problem(self) -> ReturnProblem:
        """Return a problem that the leader reported or stored for the whole call."""
        assert self.problem is not None
        return ReturnProblem(with_worst_ran(self.earlier_problem, self.problem))

    def unconfirmed_problem(self, ran: Ran) -> ReturnProblem:
        """Return a problem that the leader did not store.

        Its `ran` covers this attempt, the earlier ones, and others that are known only
        by `ran`.
        """
        problem = with_ran_at_least(self.final_problem().problem, ran)
        return ReturnProblem(with_ran_at_least(problem, self.ran_before))


builder = TypeMachineBuilder(CallLifecycle, CallLifecycleCore)
new = builder.state("new")
admitting = builder.state("admitting")
waiting = builder.state("waiting")
acquiring_slot = builder.state("taking_slot")
placing = builder.state("placing")
streaming = builder.state("streaming")
committing_answer = builder.state("committing_answer")
committing_refusal = builder.state("committing_refusal")
committing_repeat = builder.state("committing_repeat")
ended = builder.state("ended")


@pep614(new.upon(CallLifecycle.begin).to(admitting))
def _begin(lifecycle: CallLifecycle, core: CallLifecycleCore) -> Step:
    return Admit()


@pep614(admitting.upon(CallLifecycle.admitted).to(acquiring_slot))
def _admitted(
    lifecycle: CallLifecycle, core: CallLifecycleCore, ran_before: Ran
) -> Step:
    core.attempts += 1
    core.ran_before = ran_before
    return AcquireSlot()


@pep614(admitting.upon(CallLifecycle.in_progress).to(waiting))
def _in_progress(lifecycle: CallLifecycle, core: CallLifecycleCore) -> Step:
    return AwaitOtherGateway()


@pep614(waiting.upon(CallLifecycle.in_progress).to(admitting))
def _still_in_progress(lifecycle: CallLifecycle, core: CallLifecycleCore) -> Step:
    # The leader may have abandoned the attempt of the other gateway since.
    return Admit()


@pep614(admitting.upon(CallLifecycle.answered).to(ended))
@pep614(waiting.upon(CallLifecycle.answered).to(ended))
def _answered(
    lifecycle: CallLifecycle, core: CallLifecycleCore, answer: Answer
) -> Step:
    return ReturnAnswer(answer)


@pep614(admitting.upon(CallLifecycle.refused).to(ended))
@pep614(waiting.upon(CallLifecycle.refused).to(ended))
def _refused(
    lifecycle: CallLifecycle, core: CallLifecycleCore, problem: Problem
) -> Step:
    core.problem = problem
    return core.final_problem()


@pep614(acquiring_slot.upon(CallLifecycle.slot_acquired).to(placing))
def _slot_acquired(lifecycle: CallLifecycle, core: CallLifecycleCore) -> Step:
    return Place(core.failed_engines)


@pep614(acquiring_slot.upon(CallLifecycle.slot_refused).to(committing_refusal))
@pep614(placing.upon(CallLifecycle.placing_refused).to(committing_refusal))
def _refused_before_run(
    lifecycle: CallLifecycle, core: CallLifecycleCore, problem: Problem
) -> Step:
    core.problem = not_run(problem)
    return CommitFailure(core.problem)


@pep614(placing.upon(CallLifecycle.placed).to(streaming))
def _placed(
    lifecycle: CallLifecycle, core: CallLifecycleCore, engine: EngineName
) -> Step:
    core.engine = engine
    return OpenStream()


@pep614(streaming.upon(CallLifecycle.stream_ended).to(committing_answer))
def _stream_ended(
    lifecycle: CallLifecycle, core: CallLifecycleCore, end: StreamEnd
) -> Step:
    core.answer = answer_of(end)
    return CommitAnswer(core.answer)


@pep614(streaming.upon(CallLifecycle.stream_failed).to(committing_refusal))
@pep614(streaming.upon(CallLifecycle.stream_failed_retrying).to(committing_repeat))
def _stream_failed(
    lifecycle: CallLifecycle, core: CallLifecycleCore, problem: Problem
) -> Step:
    return core.record_failure(problem)


@pep614(committing_answer.upon(CallLifecycle.committed).to(ended))
def _answer_committed(lifecycle: CallLifecycle, core: CallLifecycleCore) -> Step:
    assert core.answer is not None
    return ReturnAnswer(core.answer)


@pep614(committing_answer.upon(CallLifecycle.commit_failed).to(ended))
def _answer_not_committed(
    lifecycle: CallLifecycle, core: CallLifecycleCore, problem: Problem
) -> Step:
    # The engine sent its complete answer, whatever the leader reports.
    return ReturnProblem(with_ran_at_least(problem, Ran.YES))


@pep614(committing_refusal.upon(CallLifecycle.committed).to(ended))
def _refusal_committed(lifecycle: CallLifecycle, core: CallLifecycleCore) -> Step:
    return core.final_problem()


@pep614(committing_refusal.upon(CallLifecycle.commit_failed).to(ended))
@pep614(committing_repeat.upon(CallLifecycle.commit_failed).to(ended))
def _refusal_not_committed(
    lifecycle: CallLifecycle, core: CallLifecycleCore, problem: Problem
) -> Step:
    # The refusal is returned at once; `OutcomeDelivery` keeps trying to store it.
    return core.unconfirmed_problem(Ran.NO)


@pep614(committing_answer.upon(CallLifecycle.superseded).to(waiting))
@pep614(committing_repeat.upon(CallLifecycle.superseded).to(waiting))
def _superseded(lifecycle: CallLifecycle, core: CallLifecycleCore) -> Step:
    # Another attempt may be running, and its outcome is the outcome of the call.
    return AwaitOtherGateway()


@pep614(committing_refusal.upon(CallLifecycle.superseded).to(ended))
def _refusal_superseded(lifecycle: CallLifecycle, core: CallLifecycleCore) -> Step:
    # A newer attempt exists, and it may run.
    return core.unconfirmed_problem(Ran.UNKNOWN)


@pep614(committing_repeat.upon(CallLifecycle.committed).to(admitting))
def _repeat(lifecycle: CallLifecycle, core: CallLifecycleCore) -> Step:
    return Admit()


CallLifecycleMachine = builder.build()
