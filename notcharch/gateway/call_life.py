"""The life of one call at its gateway, as a machine without I/O.

Each input says what came of the last step and gives the next `Step`. The drawing
is in docs/design/gateway.md. Resources are taken in one fixed order (admission,
slot, grant) and nobody waits for an earlier one while holding a later one, so
calls cannot wait for one another in a circle.
"""

from typing import Protocol

import attrs
from automat import TypeMachineBuilder, pep614

from notcharch.clients.ports import StreamEnd
from notcharch.errors import Problem
from notcharch.gateway.call_outcome import answer_of, not_run, worse_of
from notcharch.gateway.call_steps import (
    Admit,
    AwaitOther,
    CommitAnswer,
    CommitFailure,
    GiveAnswer,
    GiveProblem,
    OpenStream,
    Place,
    Step,
    TakeSlot,
)
from notcharch.values.chat import Answer
from notcharch.values.identifiers import EngineName


class CallLife(Protocol):
    """The inputs of the machine; each gives the next step."""

    def begin(self) -> Step:
        """Start the life."""

    def admitted(self) -> Step:
        """Note that the leader admitted the call as a new attempt of this gateway."""

    def in_progress(self) -> Step:
        """Note that another gateway is running the call."""

    def answered(self, answer: Answer) -> Step:
        """Note that the call has a stored answer."""

    def refused(self, problem: Problem) -> Step:
        """Note that the leader refused, or that the stored outcome is a failure."""

    def slot_taken(self) -> Step:
        """Note that a concurrency slot is held."""

    def slot_refused(self, problem: Problem) -> Step:
        """Note that no slot was free in time."""

    def placed(self, engine: EngineName) -> Step:
        """Note that the engine is granted and the dispatch is in the journal."""

    def placing_refused(self, problem: Problem) -> Step:
        """Note that no engine was granted, or the dispatch could not be recorded."""

    def stream_ended(self, end: StreamEnd) -> Step:
        """Note that the engine gave the whole answer."""

    def stream_lost(self, problem: Problem) -> Step:
        """Note that the stream is lost and the call is not repeated."""

    def stream_lost_for_now(self, problem: Problem) -> Step:
        """Note that the stream is lost and the call is repeated."""

    def committed(self) -> Step:
        """Note that the end of the attempt is in the journal."""

    def commit_failed(self, problem: Problem) -> Step:
        """Note that the end could not be journalled in time."""

    def superseded(self) -> Step:
        """Note that the leader had given this attempt up before."""


@attrs.define
class CallLifeCore:
    """What the machine remembers: the attempts and what it is about to give."""

    attempts: int = 0
    failed_engines: frozenset[EngineName] = frozenset()
    engine: EngineName | None = None
    answer: Answer | None = None
    problem: Problem | None = None
    lost: Problem | None = None
    """The worst problem of earlier attempts: what may have run stays so."""

    def lose(self, problem: Problem) -> CommitFailure:
        """Remember a lost stream and have its end stored."""
        if self.engine is not None:
            self.failed_engines |= {self.engine}
        self.lost = worse_of(self.lost, problem)
        self.problem = problem
        return CommitFailure(problem)

    def final_problem(self) -> GiveProblem:
        """Give the problem; `ran` covers every attempt of this life."""
        assert self.problem is not None
        return GiveProblem(worse_of(self.lost, self.problem))


builder = TypeMachineBuilder(CallLife, CallLifeCore)
new = builder.state("new")
admitting = builder.state("admitting")
waiting = builder.state("waiting")
taking_slot = builder.state("taking_slot")
placing = builder.state("placing")
streaming = builder.state("streaming")
committing_answer = builder.state("committing_answer")
committing_refusal = builder.state("committing_refusal")
committing_repeat = builder.state("committing_repeat")
ended = builder.state("ended")


@pep614(new.upon(CallLife.begin).to(admitting))
def _begin(life: CallLife, core: CallLifeCore) -> Step:
    return Admit()


@pep614(admitting.upon(CallLife.admitted).to(taking_slot))
def _admitted(life: CallLife, core: CallLifeCore) -> Step:
    core.attempts += 1
    return TakeSlot()


@pep614(admitting.upon(CallLife.in_progress).to(waiting))
def _in_progress(life: CallLife, core: CallLifeCore) -> Step:
    return AwaitOther()


@pep614(waiting.upon(CallLife.in_progress).to(admitting))
def _still_in_progress(life: CallLife, core: CallLifeCore) -> Step:
    # The leader may have given up the other gateway, so it is asked again.
    return Admit()


@pep614(admitting.upon(CallLife.answered).to(ended))
@pep614(waiting.upon(CallLife.answered).to(ended))
def _answered(life: CallLife, core: CallLifeCore, answer: Answer) -> Step:
    return GiveAnswer(answer)


@pep614(admitting.upon(CallLife.refused).to(ended))
@pep614(waiting.upon(CallLife.refused).to(ended))
def _refused(life: CallLife, core: CallLifeCore, problem: Problem) -> Step:
    core.problem = problem
    return core.final_problem()


@pep614(taking_slot.upon(CallLife.slot_taken).to(placing))
def _slot_taken(life: CallLife, core: CallLifeCore) -> Step:
    return Place(core.failed_engines)


@pep614(taking_slot.upon(CallLife.slot_refused).to(committing_refusal))
@pep614(placing.upon(CallLife.placing_refused).to(committing_refusal))
def _not_run(life: CallLife, core: CallLifeCore, problem: Problem) -> Step:
    core.problem = not_run(problem)
    return CommitFailure(core.problem)


@pep614(placing.upon(CallLife.placed).to(streaming))
def _placed(life: CallLife, core: CallLifeCore, engine: EngineName) -> Step:
    core.engine = engine
    return OpenStream()


@pep614(streaming.upon(CallLife.stream_ended).to(committing_answer))
def _stream_ended(life: CallLife, core: CallLifeCore, end: StreamEnd) -> Step:
    core.answer = answer_of(end)
    return CommitAnswer(core.answer)


@pep614(streaming.upon(CallLife.stream_lost).to(committing_refusal))
@pep614(streaming.upon(CallLife.stream_lost_for_now).to(committing_repeat))
def _stream_lost(life: CallLife, core: CallLifeCore, problem: Problem) -> Step:
    return core.lose(problem)


@pep614(committing_answer.upon(CallLife.committed).to(ended))
def _answer_committed(life: CallLife, core: CallLifeCore) -> Step:
    assert core.answer is not None
    return GiveAnswer(core.answer)


@pep614(committing_answer.upon(CallLife.commit_failed).to(ended))
def _answer_not_committed(life: CallLife, core: CallLifeCore, problem: Problem) -> Step:
    return GiveProblem(problem)


@pep614(committing_refusal.upon(CallLife.committed).to(ended))
def _refusal_committed(life: CallLife, core: CallLifeCore) -> Step:
    return core.final_problem()


@pep614(committing_refusal.upon(CallLife.commit_failed).to(ended))
@pep614(committing_repeat.upon(CallLife.commit_failed).to(ended))
def _refusal_not_committed(
    life: CallLife, core: CallLifeCore, problem: Problem
) -> Step:
    # The caller gets the refusal itself at once; its storing goes on elsewhere.
    return core.final_problem()


@pep614(committing_answer.upon(CallLife.superseded).to(waiting))
@pep614(committing_repeat.upon(CallLife.superseded).to(waiting))
def _superseded(life: CallLife, core: CallLifeCore) -> Step:
    # Another attempt may be running; its outcome is the call's outcome.
    return AwaitOther()


@pep614(committing_refusal.upon(CallLife.superseded).to(ended))
def _refusal_superseded(life: CallLife, core: CallLifeCore) -> Step:
    return core.final_problem()


@pep614(committing_repeat.upon(CallLife.committed).to(admitting))
def _repeat(life: CallLife, core: CallLifeCore) -> Step:
    return Admit()


CallLifeMachine = builder.build()
