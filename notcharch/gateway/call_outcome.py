"""What a failure means for a call: pure functions, no state."""

import msgspec

from notcharch.clients.ports import StreamEnd
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.values.chat import Answer, ChatMessage

MOST_ATTEMPTS = 3
RETRY_AFTER_FAILURE_SECONDS = 1.0

_SEVERITY = {Ran.NO: 0, Ran.UNKNOWN: 1, Ran.YES: 2}


def answer_of(end: StreamEnd) -> Answer:
    """Give the answer that is stored for a complete stream."""
    is_empty = not end.content and end.tool_calls is not None
    content = None if is_empty else end.content
    tool_calls = msgspec.UNSET if end.tool_calls is None else end.tool_calls
    message = ChatMessage("assistant", content, tool_calls=tool_calls)
    return Answer(message, end.usage, end.finish_reason)


def not_run(problem: Problem) -> Problem:
    """Give the problem of a call that was never sent to an engine.

    A control message whose outcome is unknown cannot have run the call: only
    this gateway opens the stream.
    """
    return msgspec.structs.replace(problem, ran=Ran.NO)


def worse_of(earlier: Problem | None, problem: Problem) -> Problem:
    """Give `problem` with the `ran` of the attempt that came furthest."""
    if earlier is None or _SEVERITY[earlier.ran] <= _SEVERITY[problem.ran]:
        return problem
    return msgspec.structs.replace(problem, ran=earlier.ran)


def may_repeat(problem: Problem, *, repeatable: bool, attempts: int) -> bool:
    """Tell whether a call whose stream was lost may be tried again."""
    if attempts >= MOST_ATTEMPTS or problem.is_code(ProblemCode.BAD_REQUEST):
        return False
    return repeatable or problem.ran is Ran.NO


def is_fault_of_engine(problem: Problem) -> bool:
    """Tell whether a failure counts against the engine.

    A stale epoch, a full engine and a request that it cannot take do not.
    """
    return problem.is_code(ProblemCode.ENGINE_FAILED) or problem.is_code(
        ProblemCode.UNAVAILABLE
    )


def problem_of_lost_stream(problem: Problem, *, repeatable: bool) -> Problem:
    """Give what the caller learns when a lost call is not tried again."""
    if repeatable or problem.ran is Ran.NO:
        if problem.retry_after is not None:
            return problem
        return msgspec.structs.replace(problem, retry_after=RETRY_AFTER_FAILURE_SECONDS)
    return Problem.of(
        ProblemCode.OUTCOME_UNKNOWN,
        f"the call may have run and is never run again ({problem.message})",
        ran=Ran.UNKNOWN,
    )
