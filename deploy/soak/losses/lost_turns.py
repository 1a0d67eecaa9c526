"""Kept turns that are denied or reach no engine, and configuration that is gone."""

from deploy.soak.losses.disturbances import was_disturbed, was_in_touch
from deploy.soak.losses.owed import are_half_full, certainly_fits, share_reached
from deploy.soak.losses.records import (
    LAST_SECONDS,
    RECOVERY_SECONDS,
    Evidence,
    Judgement,
    PlayTurn,
)
from deploy.soak.observations import OK, Asked, Violation
from deploy.soak.settings import RETENTION_SECONDS

DENIALS = (404, 410)
LEAST_TRIES = 5
FIRST_TURNS_SHARE = 0.9
OTHER_TURNS_SHARE = 0.8


def configuration_gone(evidence: Evidence) -> Judgement:
    """Judge whether the newest configuration is in force everywhere after the final fault.

    A daemon that never serves its route in the last seconds has lost it as well.
    """
    since = evidence.back_at + RECOVERY_SECONDS
    found = []
    examined = {probe.daemon for probe in evidence.probes if probe.at >= since}
    for daemon in sorted(examined):
        answers = [
            probe.status
            for probe in evidence.probes
            if probe.daemon == daemon and probe.at >= since
        ]
        if 404 in answers or OK not in answers:
            found.append(Violation("LOST", daemon, f"newest route: {answers}"))
    return Judgement("4 configuration gone", len(examined), found)


def denied_turns(evidence: Evidence) -> Judgement:
    """Judge the turns whose previous one was kept, at any daemon."""
    examined = 0
    found = []
    for turn in evidence.kept_turns:
        for asked in turn.tries:
            if asked.sent_at - turn.previous_ended_at >= RETENTION_SECONDS:
                continue
            examined += asked.status != 0
            if asked.status in DENIALS:
                what = f"{asked.status} at {asked.daemon} for {turn.previous}"
                found.append(Violation("LOST", asked.id, what))
    return Judgement("5 a kept turn is unknown", examined, found)


def unreached_turns(evidence: Evidence) -> Judgement:
    """Judge the turns that were tried five times in calm, and reached no engine."""
    examined = 0
    found = []
    for turn in evidence.kept_turns:
        tries = [
            one for one in _last_tries(evidence, turn) if _counts(evidence, turn, one)
        ]
        if tries:
            examined += 1
        if len(tries) < LEAST_TRIES:
            continue
        begin, end = tries[0].sent_at, tries[-1].ended_at
        if are_half_full(evidence, begin, end):
            continue
        first_turns = evidence.first_turns
        if share_reached(evidence, first_turns, begin, end) >= FIRST_TURNS_SHARE:
            found.append(_unreached(turn, tries))
    return Judgement("6 no engine in five tries", examined, found)


def _last_tries(evidence: Evidence, turn: PlayTurn) -> list[Asked]:
    """Return the tries after the last one that reached an engine."""
    last: list[Asked] = []
    for asked in turn.tries:
        last = [] if evidence.has_reached(asked) else [*last, asked]
    return last


def _counts(evidence: Evidence, turn: PlayTurn, asked: Asked) -> bool:
    """Return whether a try was in calm, in time, of a kept turn and certainly fits."""
    if not asked.is_connected or not asked.ended_at or asked.ended_at > turn.aim:
        return False
    if asked.sent_at - turn.previous_ended_at >= RETENTION_SECONDS:
        return False
    if was_disturbed(evidence, asked) or not was_in_touch(evidence, asked):
        return False
    return certainly_fits(evidence, asked)


def unreached_after_final_fault(evidence: Evidence) -> Judgement:
    """Judge the turns that were asked for in the last seconds of the recovery.

    Neither the answers nor the daemons matter, only what certainly fits is owed.
    """
    end = evidence.back_at + RECOVERY_SECONDS
    begin = end - LAST_SECONDS
    examined = 0
    found = []
    for turn in evidence.kept_turns:
        if end - turn.previous_ended_at >= RETENTION_SECONDS:
            continue
        tries = [one for one in turn.tries if evidence.back_at <= one.sent_at <= end]
        examined += bool(tries)
        in_last = [one for one in tries if one.sent_at >= begin]
        if not in_last or tries[0].sent_at > begin:
            continue
        if not all(_is_owed(evidence, one) for one in in_last):
            continue
        if not any(map(evidence.has_reached, in_last)) and _may_reach(
            evidence, turn, begin, end
        ):
            found.append(_unreached(turn, in_last))
    return Judgement("7 no engine after the final fault", examined, found)


def _is_owed(evidence: Evidence, asked: Asked) -> bool:
    return bool(asked.ended_at) and certainly_fits(evidence, asked)


def _may_reach(evidence: Evidence, turn: PlayTurn, begin: float, end: float) -> bool:
    """Return whether engines had room, or other turns reached them."""
    others = [other for other in evidence.turns if other is not turn]
    are_others_served = share_reached(evidence, others, begin, end) >= OTHER_TURNS_SHARE
    return are_others_served or not are_half_full(evidence, begin, end)


def _unreached(turn: PlayTurn, tries: list[Asked]) -> Violation:
    answers = " ".join(str(one.status) for one in tries)
    what = f"{turn.program} from {turn.previous}: {answers} ({tries[-1].id})"
    return Violation("LOST", turn.id, what)
