"""Problems that a steward returns when it refuses or redirects a call."""

from notcharch.errors import Problem, ProblemCode
from notcharch.scheduling.waits import SHORTEST_RETRY_SECONDS
from notcharch.values.identifiers import EngineName


def overloaded(retry_after: float) -> Problem:
    """Return the problem for a queue that is longer than the call may wait."""
    return Problem.of(
        ProblemCode.OVERLOADED,
        "the engine's queue is longer than the call may wait",
        retry_after=max(retry_after, SHORTEST_RETRY_SECONDS),
    )


def engine_closed(engine: EngineName) -> Problem:
    """Return the problem for an engine that accepts no new work."""
    return Problem.of(
        ProblemCode.NO_ENGINE,
        f"engine {engine} accepts no new work at present",
        retry_after=SHORTEST_RETRY_SECONDS,
    )


def withdrawn() -> Problem:
    """Return the problem for a call whose gateway withdrew it or died."""
    return Problem.of(ProblemCode.TIMED_OUT, "the call was withdrawn by its gateway")


def not_steward(engine: EngineName, hint: str | None) -> Problem:
    """Return the problem that redirects a caller to another steward."""
    return Problem.of(
        ProblemCode.NOT_STEWARD,
        f"this daemon does not steward engine {engine}",
        hint=hint,
        retry_after=SHORTEST_RETRY_SECONDS,
    )
