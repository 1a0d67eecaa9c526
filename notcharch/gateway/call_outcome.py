"""Pure functions that map the result of a stream to the outcome of a call."""

import msgspec

from notcharch.clients.ports import StreamEnd
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.values.chat import Answer, ChatMessage

MAX_ATTEMPTS = 3
RETRY_AFTER_FAILURE_SECONDS = 1.0

_SEVERITY = {Ran.NO: 0, Ran.UNKNOWN: 1, Ran.YES: 2}


def answer_of(end: StreamEnd) -> Answer:
    """Return the answer to store for a complete stream."""
    is_empty = not end.content and end.tool_calls is not None
    content = None if is_empty else end.content
    tool_calls = msgspec.UNSET if end.tool_calls is None else end.tool_calls
    message = ChatMessage("assistant", content, tool_calls=tool_calls)
    return Answer(message, end.usage, end.finish_reason)


def not_run(problem: Problem) -> Problem:
    """Return the problem of an attempt that was never sent to an engine.

    `ran` is no even if the outcome of a control message is unknown, since only
    this gateway can open the stream.
    """
    return msgspec.structs.replace(problem, ran=Ran.NO)


def with_worst_ran(earlier: Problem | None, problem: Problem) -> Problem:
    """Return `problem` with the more severe `ran` of the two."""
    return problem if earlier is None else with_ran_at_least(problem, earlier.ran)


def with_ran_at_least(problem: Problem, ran: Ran) -> Problem:
    """Return `problem` with `ran` if that is more severe than its own."""
    if _SEVERITY[ran] <= _SEVERITY[problem.ran]:
        return problem
    return msgspec.structs.replace(problem, ran=ran)


def may_retry(problem: Problem, *, repeatable: bool, attempts: int) -> bool:
    """Return whether a call whose stream failed may be retried."""
    if attempts >= MAX_ATTEMPTS or problem.is_code(ProblemCode.BAD_REQUEST):
        return False
    return repeatable or problem.ran is Ran.NO


def is_engine_failure(problem: Problem) -> bool:
    """Return whether a failure counts against the health of the engine.

    Stale epochs, overload and invalid requests do not count.
    """
    return problem.is_code(ProblemCode.ENGINE_FAILED) or problem.is_code(
        ProblemCode.UNAVAILABLE
    )


def problem_of_failed_stream(problem: Problem, *, repeatable: bool) -> Problem:
    """Return the caller's problem for a failed stream that is not retried."""
    if repeatable or problem.ran is Ran.NO:
        if problem.retry_after is not None:
            return problem
        return msgspec.structs.replace(problem, retry_after=RETRY_AFTER_FAILURE_SECONDS)
    return Problem.of(
        ProblemCode.OUTCOME_UNKNOWN,
        f"the call may have run and is never run again ({problem.message})",
        ran=Ran.UNKNOWN,
    )
