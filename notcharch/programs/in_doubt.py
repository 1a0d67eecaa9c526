"""What programs must assume after their group was rebuilt. Pure.

A rebuilt group may lack the newest commands: admissions, dispatches, answers, ends.
For a program with n finished calls, call n+1 may have run, whatever the state says.
Calls after it may have run, too; a caller that repeats one of them, m, is too early,
and thereby tells that all up to m may have run. So up to n+1, or m:

* a running attempt is given up as one that may have run; its reservation stays
  charged, and an unrepeatable call is finished with `OUTCOME_UNKNOWN`;
* no failure says `ran: no` of such a call any more;
* an unrepeatable call is finished with `OUTCOME_UNKNOWN` without being run. The one
  after m is new.

The mark is a part of applying the first command of the new generation, which every
command's epoch tells: no command can come before it, and no leader can forget it.
"""

import msgspec

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.programs import refusals
from notcharch.programs.attempts import close_call, finish_with_problem
from notcharch.programs.record import CallPhase, OpenCall, ProgramRecord
from notcharch.programs.store import ProgramStore
from notcharch.programs.tree import touch
from notcharch.programs.turns import NO_MESSAGES, EncodedTurn
from notcharch.values.identifiers import CallSequence

REASON = "its group of replicas was rebuilt and may have lost its newest commands"


def mark_all(store: ProgramStore, generation: int, at: float) -> None:
    """Begin a generation: doubt the next call of every program."""
    store.generation = generation
    # In sorted order: replicas keep records in different orders.
    for program in sorted(store.records):
        record = store.records[program]
        if record.call is not None:
            _doubt_call(store, record, record.call, at)
        record.doubtful = record.next_sequence


def _doubt_call(
    store: ProgramStore, record: ProgramRecord, call: OpenCall, at: float
) -> None:
    if call.running:
        # Its dispatch may be what was lost.
        call.phase = CallPhase.DISPATCHED
        problem = Problem.of(
            ProblemCode.UNAVAILABLE,
            REASON,
            ran=Ran.UNKNOWN,
            retry_after=refusals.RETRY_SECONDS,
        )
        finish_with_problem(store, record, call, problem, at)
    else:
        call.may_have_run = True
        if call.failure is not None and call.failure.ran is Ran.NO:
            call.failure = msgspec.structs.replace(call.failure, ran=Ran.UNKNOWN)


def note_asked(record: ProgramRecord, sequence: CallSequence) -> None:
    """Learn from an early call, while there is doubt, that those before it may have run."""
    if record.in_doubt:
        record.doubtful = max(record.doubtful, sequence)


def close_unrepeatable(
    store: ProgramStore, record: ProgramRecord, digest: bytes, at: float
) -> None:
    """Finish the doubtful call of a program: it may have run, so it never runs again."""
    problem = refusals.outcome_unknown(record.next_sequence, REASON)
    messages = msgspec.Raw(NO_MESSAGES)
    turn = EncodedTurn(digest, store.first_attempt, messages, None, problem)
    close_call(store, record, turn, 0)
    touch(store, record, at)
