"""The problems with which a steward refuses or sends on calls."""

from notcharch.errors import Problem, ProblemCode
from notcharch.scheduling.waits import SHORTEST_RETRY_SECONDS
from notcharch.values.identifiers import EngineName


def overloaded(retry_after: float) -> Problem:
    """Say that the queue is longer than the call may wait."""
    return Problem.of(
        ProblemCode.OVERLOADED,
        "the engine's queue is longer than the call may wait",
        retry_after=max(retry_after, SHORTEST_RETRY_SECONDS),
    )


def engine_closed(engine: EngineName) -> Problem:
    """Say that the engine gets no new work."""
    return Problem.of(
        ProblemCode.NO_ENGINE,
        f"engine {engine} takes no new work now",
        retry_after=SHORTEST_RETRY_SECONDS,
    )


def withdrawn() -> Problem:
    """Say that the call's own gateway withdrew it, or died."""
    return Problem.of(ProblemCode.TIMED_OUT, "the call was withdrawn by its gateway")


def not_steward(engine: EngineName, hint: str | None) -> Problem:
    """Say that another daemon stewards the engine."""
    return Problem.of(
        ProblemCode.NOT_STEWARD,
        f"this daemon does not steward engine {engine}",
        hint=hint,
        retry_after=SHORTEST_RETRY_SECONDS,
    )
