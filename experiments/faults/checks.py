"""The checks at the end of a run, against the truth of the stand-ins. Pure."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from emulator.http.control_server import EmulatorSnapshot
from experiments.faults.facts import CallerFacts, CallName, CutCause

MOST_FINDINGS_SHOWN = 20
LEAVING_SECONDS = 5.0
"""A leaving engine gets no new work after this time: the list's lag and two polls."""


class Check(msgspec.Struct, frozen=True):
    """A count that must be 0, with what was counted."""

    name: str
    count: int
    found: tuple[str, ...] = ()


def attempts_of(snapshot: EmulatorSnapshot) -> Counter[CallName]:
    """Count the attempts of each call that application engines accepted.

    A request's id is `program/sequence/attempt`.
    """
    attempts: Counter[CallName] = Counter()
    for engine in snapshot.engines:
        for request in engine.side_effects:
            program, sequence, _ = request.rsplit("/", 2)
            attempts[CallName(program, int(sequence))] += 1
    return attempts


def all_checks(
    facts: CallerFacts, snapshot: EmulatorSnapshot, budget_tokens: int
) -> tuple[Check, ...]:
    """Give every check, those that found nothing too."""
    attempts = attempts_of(snapshot)
    doubled = [name for name in facts.unrepeatable if attempts[name] > 1]
    ran_after_all = [name for name in facts.not_run if attempts[name]]
    never_ran = [name for name in facts.lost_answers if not attempts[name]]
    planned = [text for text in facts.cut_details if _is_planned(text)]
    unexplained = [text for text in facts.cut_details if _is_unexplained(text)]
    return (
        _check("wrong answers", facts.wrong_answers),
        _check("lost or mixed histories", facts.wrong_histories),
        _check("unrepeatable calls that ran twice", doubled),
        _check('calls that ran after `ran: "no"`', ran_after_all),
        _check('calls that never ran despite `ran: "yes"`', never_ran),
        _check("programs over their budget", overspent(facts, attempts, budget_tokens)),
        _check("engines with memory of ended programs", holders(snapshot)),
        _check("engines with new work though long leaving", late_work(snapshot)),
        _check("programs that ended by a failure", facts.failures),
        _check("requests cut by planned stops", planned),
        _check("requests cut without a fault", unexplained),
    )


def overspent(
    facts: CallerFacts, attempts: Counter[CallName], budget_tokens: int
) -> list[str]:
    """Give programs whose accepted attempts together cost more than the budget.

    Every attempt counts whole, also one that an engine lost before its end, so the
    check is as strict as it can be.
    """
    spent: Counter[str] = Counter()
    for call in facts.spending:
        spent[call.name.program] += call.tokens * attempts[call.name]
    return [
        f"{program}: {tokens} tokens"
        for program, tokens in spent.items()
        if tokens > budget_tokens
    ]


def holders(snapshot: EmulatorSnapshot) -> list[str]:
    """Give the engines that still hold memory, once all programs have ended."""
    return [
        f"{engine.name}: {program} {blocks} blocks"
        for engine in snapshot.engines
        for program, blocks in engine.blocks_by_program.items()
        if blocks
    ]


def late_work(snapshot: EmulatorSnapshot) -> list[str]:
    """Give the engines that accepted requests too long after they began to leave."""
    return [
        f"{engine.name}: {engine.counters.last_accepted_leaving_seconds:.1f} s"
        for engine in snapshot.engines
        if engine.counters.last_accepted_leaving_seconds > LEAVING_SECONDS
    ]


def _check(name: str, found: Sequence[object]) -> Check:
    return Check(name, len(found), tuple(map(str, found[:MOST_FINDINGS_SHOWN])))


def _is_planned(detail: str) -> bool:
    return detail.startswith(f"{CutCause.PLANNED_STOP.value}:")


def _is_unexplained(detail: str) -> bool:
    return detail.startswith(f"{CutCause.NONE.value}:")
