"""What certainly fits into a program's budget, and whether engines had room."""

from collections.abc import Iterable

from deploy.soak.losses.records import Evidence, PlayTurn
from deploy.soak.observations import Asked, Run
from deploy.soak.settings import TOKENS_PER_EVENT


def received_tokens(asked: Asked) -> int:
    """Return the tokens that a caller got by one try."""
    return TOKENS_PER_EVENT * len(asked.events)


def certainly_fits(evidence: Evidence, tried: Asked) -> bool:
    """Return whether a try fits into its budget, whatever else of its program is counted.

    Tries that ended before count what their callers received, those in flight beside it
    the most of a turn.
    """
    used = 0
    for other in evidence.asked.values():
        if other.program != tried.program or other is tried:
            continue
        if not other.is_connected or other.at > tried.ended_at:
            continue
        is_over = 0 < other.ended_at <= tried.at
        used += received_tokens(other) if is_over else evidence.most_tokens
    return used + evidence.most_tokens <= evidence.budget_tokens


def share_reached(
    evidence: Evidence, turns: Iterable[PlayTurn], begin: float, end: float
) -> float:
    """Return the share of the turns asked for in a time that reached an engine in it.

    Without any it is 1, so that nothing is excused.
    """
    asked = [
        [one for one in turn.tries if begin <= one.sent_at <= end] for turn in turns
    ]
    counted = [tries for tries in asked if tries]
    if not counted:
        return 1.0
    reached = sum(any(map(evidence.has_reached, tries)) for tries in counted)
    return reached / len(counted)


def are_half_full(evidence: Evidence, begin: float, end: float) -> bool:
    """Return whether engines had half of their slots taken at any moment of a time."""
    changes: list[tuple[float, int]] = []
    for request, runs in evidence.runs.items():
        asked = evidence.asked.get(request)
        if asked is None or not asked.is_stream:
            continue
        for run in runs:
            changes += _changes(run, asked, begin, end)
    running = most = 0
    for _, change in sorted(changes):
        running += change
        most = max(most, running)
    return 2 * most >= evidence.engine_slots


def _changes(
    run: Run, asked: Asked, begin: float, end: float
) -> list[tuple[float, int]]:
    """Return when a run takes and frees its slot, if it runs within a time."""
    over = max(asked.ended_at or end, run.at)
    if over < begin or run.at > end:
        return []
    return [(run.at, 1), (over, -1)]
