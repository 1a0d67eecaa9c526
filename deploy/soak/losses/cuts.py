"""Requests that a daemon read and did not answer whole, around planned work."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from deploy.soak.losses.disturbances import was_disturbed, was_in_touch
from deploy.soak.losses.records import (
    CONFIG_APPLY_SECONDS,
    LOSS_SLACK_SECONDS,
    Evidence,
    Judgement,
)
from deploy.soak.observations import Asked, Violation
from deploy.soak.settings import CALL_SECONDS, GRACE_SECONDS

AFTER_GRACE_SECONDS = 1.0
AFTER_APPLY_SECONDS = 1.0
CUT_FACTOR = 3.0
"""Next to a configuration, cuts count when they are so many times as frequent."""
USED_SHARE = 0.7
"""Next to a configuration, a request that has used so much of its time doesn't count."""
LAST_OF_GRACE_SHARE = 5 / 6
SENT_AFTER_STOP_SECONDS = 3.0
MOST_CLOSES = 3
"""Of kept connections under requests that were passed on, by one daemon."""


def was_cut(evidence: Evidence, asked: Asked) -> bool:
    """Return whether a request was read whole, and its connection ended without an answer.

    Engines are sound in a play, so no cut is theirs.
    """
    if not asked.is_connected or asked.is_whole or not asked.ended_at:
        return False
    if asked.lost_by_caller or is_at_deadline(asked):
        return False
    seconds = asked.ended_at - asked.sent_at
    return evidence.has_reached(asked) or seconds > LOSS_SLACK_SECONDS


def is_at_deadline(asked: Asked) -> bool:
    """Return whether the deadline of a request was reached when it ended."""
    return asked.ended_at - asked.sent_at >= CALL_SECONDS


def _describe(asked: Asked, evidence: Evidence) -> str:
    return (
        f"cut at {asked.daemon}, {asked.path}, status {asked.status}, "
        f"{len(asked.events)} events, {len(evidence.runs.get(asked.id, ()))} runs, "
        f"{asked.ended_at - asked.sent_at:.2f} s after it was sent at {asked.sent_at:.2f}"
    )


def _cuts_beside(
    evidence: Evidence,
    name: str,
    is_beside: Callable[[Asked], bool],
    is_excused: Callable[[Asked], bool] = lambda _: False,
) -> Judgement:
    beside = [
        asked
        for asked in evidence.asked.values()
        if asked.ended_at and is_beside(asked) and not was_disturbed(evidence, asked)
    ]
    cut = [asked for asked in beside if was_cut(evidence, asked)]
    found = [
        Violation("LOST", asked.id, _describe(asked, evidence))
        for asked in cut
        if not is_excused(asked)
    ]
    return Judgement(name, len(beside), found)


def cut_around_stop(evidence: Evidence) -> Judgement:
    """Judge the requests that were under way when their daemon got SIGTERM, or came later."""
    stops = _by_daemon((stop.daemon, stop.at) for stop in evidence.stops)

    def is_beside(asked: Asked) -> bool:
        until = GRACE_SECONDS + AFTER_GRACE_SECONDS
        return any(at <= asked.ended_at <= at + until for at in stops[asked.daemon])

    def is_excused(asked: Asked) -> bool:
        last = LAST_OF_GRACE_SHARE * GRACE_SECONDS
        return evidence.has_reached(asked) and any(
            asked.sent_at <= at + SENT_AFTER_STOP_SECONDS
            and at + last <= asked.ended_at <= at + GRACE_SECONDS
            for at in stops[asked.daemon]
        )

    return _cuts_beside(evidence, "1 cut around SIGTERM", is_beside, is_excused)


def cut_around_reload(evidence: Evidence) -> Judgement:
    """Judge the requests sent up to `config_apply_ms` after SIGHUP, and cut after it."""
    reloads = _by_daemon((reload.daemon, reload.at) for reload in evidence.reloads)

    def is_beside(asked: Asked) -> bool:
        return any(
            asked.sent_at <= at + CONFIG_APPLY_SECONDS and at <= asked.ended_at
            for at in reloads[asked.daemon]
        )

    return _cuts_beside(evidence, "2 cut around SIGHUP", is_beside)


def cut_around_configuration(evidence: Evidence) -> Judgement:
    """Judge the requests that end beside a new configuration.

    They count where a daemon then cuts more than three times as often as at other times.
    """
    until = CONFIG_APPLY_SECONDS + AFTER_APPLY_SECONDS

    def is_beside(asked: Asked) -> bool:
        return any(
            one.at <= asked.ended_at <= one.at + until for one in evidence.published
        )

    def is_excused(asked: Asked) -> bool:
        return asked.ended_at - asked.sent_at >= USED_SHARE * CALL_SECONDS

    counts = _CutShares()
    for asked in evidence.asked.values():
        if asked.ended_at and not was_disturbed(evidence, asked):
            is_cut = was_cut(evidence, asked) and not is_excused(asked)
            counts.add(asked.daemon, is_beside=is_beside(asked), is_cut=is_cut)
    name = "3 cut around a configuration"
    judged = _cuts_beside(evidence, name, is_beside, is_excused)
    frequent = [
        violation
        for violation in judged.violations
        if counts.is_frequent(evidence.asked[violation.request].daemon)
    ]
    return Judgement(name, judged.examined, frequent)


class _CutShares:
    """How often each daemon cuts requests, beside configurations and at other times."""

    def __init__(self) -> None:
        self._asked: dict[tuple[str, bool], int] = defaultdict(int)
        self._cut: dict[tuple[str, bool], int] = defaultdict(int)

    def add(self, daemon: str, *, is_beside: bool, is_cut: bool) -> None:
        self._asked[daemon, is_beside] += 1
        self._cut[daemon, is_beside] += is_cut

    def is_frequent(self, daemon: str) -> bool:
        beside = self._share(daemon, is_beside=True)
        return beside > CUT_FACTOR * self._share(daemon, is_beside=False)

    def _share(self, daemon: str, *, is_beside: bool) -> float:
        place = daemon, is_beside
        return self._cut[place] / max(self._asked[place], 1)


def closed_kept_connections(evidence: Evidence) -> Judgement:
    """Judge daemons that close kept connections under requests that they passed on."""
    examined = 0
    closed: dict[str, list[str]] = defaultdict(list)
    for asked in evidence.asked.values():
        if not asked.is_on_kept_connection or not evidence.has_reached(asked):
            continue
        if not was_in_touch(evidence, asked):
            continue
        examined += 1
        is_closed = not asked.is_whole and not asked.status
        if is_closed and asked.ended_at and not asked.lost_by_caller:
            closed[asked.daemon].append(asked.id)
    found = [
        Violation("LOST", daemon, f"closed kept connections under {requests}")
        for daemon, requests in closed.items()
        if len(requests) > MOST_CLOSES
    ]
    return Judgement("8 kept connections closed", examined, found)


def cut_in_store_trouble(evidence: Evidence) -> Judgement:
    """Judge the plain requests around planned work that only the store's trouble disturbed."""
    troubles = [one for one in evidence.disruptions if one.is_store]
    judged = [
        way(evidence)
        for way in (cut_around_stop, cut_around_reload, cut_around_configuration)
    ]

    def is_in_trouble(asked: Asked) -> bool:
        return not asked.is_stream and any(
            one.began <= asked.ended_at and one.ended >= asked.sent_at
            for one in troubles
        )

    examined = sum(
        bool(asked.ended_at) and is_in_trouble(asked)
        for asked in evidence.asked.values()
    )
    found = {
        violation.request: violation
        for judgement in judged
        for violation in judgement.violations
        if is_in_trouble(evidence.asked[violation.request])
    }
    return Judgement("9 trouble of the store alone", examined, list(found.values()))


def _by_daemon(marks: Iterable[tuple[str, float]]) -> dict[str, list[float]]:
    times: dict[str, list[float]] = defaultdict(list)
    for daemon, at in marks:
        times[daemon].append(at)
    return times
