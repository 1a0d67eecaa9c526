"""What a play saw, and its verdict."""

from collections import Counter
from collections.abc import Callable

import msgspec

from deploy.soak.losses.cuts import (
    closed_kept_connections,
    cut_around_configuration,
    cut_around_reload,
    cut_around_stop,
    cut_in_store_trouble,
    is_at_deadline,
)
from deploy.soak.losses.lost_turns import (
    configuration_gone,
    denied_turns,
    unreached_after_final_fault,
    unreached_turns,
)
from deploy.soak.losses.owed import certainly_fits
from deploy.soak.losses.records import Evidence, Judgement
from deploy.soak.losses.schedule import PlaySize
from deploy.soak.observations import OK, Asked, Violation
from deploy.soak.oracle import is_doubted

WAYS: tuple[Callable[[Evidence], Judgement], ...] = (
    cut_around_stop,
    cut_around_reload,
    cut_around_configuration,
    configuration_gone,
    denied_turns,
    unreached_turns,
    unreached_after_final_fault,
    closed_kept_connections,
    cut_in_store_trouble,
)
BUDGET_SPENT = 402


class RefusedTry(msgspec.Struct, frozen=True):
    """A try that was refused for its program's budget, though it certainly fits."""

    request: str
    program: str
    cut_calls: int
    """Calls of the program that had been cut by then; each may leave a doubt."""


class PlayReport(msgspec.Struct, frozen=True):
    """What a play saw."""

    seed: int
    size: PlaySize
    turns: int
    first_turns: int
    tries: int
    answers: dict[str, int]
    """Tries of turns by the status of their answer; 0 without one."""
    cut_at_deadline: int
    """Requests that ended without a whole answer at their deadline, which is allowed."""
    doubted: list[RefusedTry]
    """Refused for doubt."""
    spent: list[RefusedTry]
    """Refused with 402."""
    ways: list[Judgement]
    others: list[Violation]
    """Promises beside the ways to lose a turn, the budget's among them."""

    @property
    def is_kept(self) -> bool:
        """Whether nothing was lost, and every other promise held."""
        return not self.others and not any(way.violations for way in self.ways)

    @property
    def verdict(self) -> str:
        """Return the outcome in words."""
        if self.is_kept:
            return "kept"
        broken = [
            f"{way.way}: {len(way.violations)} of {way.examined}"
            for way in self.ways
            if way.violations
        ]
        broken += sorted({violation.rule for violation in self.others})
        return "broken; " + "; ".join(broken)


def _is_spent(asked: Asked) -> bool:
    return asked.status == BUDGET_SPENT


def _refused(evidence: Evidence, refused: Asked) -> RefusedTry:
    cut = [
        one
        for one in evidence.asked.values()
        if one.program == refused.program and one.is_stream and not one.is_whole
        if 0 < one.ended_at <= refused.at and one.is_connected
    ]
    return RefusedTry(refused.id, refused.program, len(cut))


def judge(
    evidence: Evidence, size: PlaySize, seed: int, others: list[Violation]
) -> PlayReport:
    """Judge a play in every way."""
    tries = [asked for turn in evidence.turns for asked in turn.tries]
    refused = [one for one in tries if one.ended_at and one.status not in (0, OK)]
    fitting = [one for one in refused if certainly_fits(evidence, one)]
    answers = Counter(str(one.status) for one in tries)
    return PlayReport(
        seed=seed,
        size=size,
        turns=len(evidence.turns),
        first_turns=len(evidence.first_turns),
        tries=len(tries),
        answers=dict(answers),
        cut_at_deadline=sum(
            asked.is_connected
            and not asked.is_whole
            and bool(asked.ended_at)
            and is_at_deadline(asked)
            for asked in evidence.asked.values()
        ),
        doubted=[_refused(evidence, one) for one in fitting if is_doubted(one)],
        spent=[_refused(evidence, one) for one in fitting if _is_spent(one)],
        ways=[way(evidence) for way in WAYS],
        others=others,
    )
