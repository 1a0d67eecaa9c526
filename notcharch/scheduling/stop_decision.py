"""Whether a call can end before a planned stop cuts what runs. Pure.

A call that is refused costs its caller a try at another daemon. One that is cut is lost if
it must not be repeated, and has wasted an engine's time if it may be.
"""

import enum

import msgspec

from notcharch.scheduling.call_durations import Durations

DURATION_FACTOR = 1.15
"""Calls vary, and the other daemons' calls are at the engines as well when one stops."""
DURATION_MARGIN_SECONDS = 0.15
"""Added to a known duration: a pause of a daemon or an engine is about 0.1 s."""
DEADLINE_MARGIN_SECONDS = 0.1
"""Added to the time before a deadline: its answer has to leave the process, too."""


class Basis(enum.Enum):
    """What a call's expected duration is known from."""

    DURATIONS = "the route's calls"
    DEADLINE = "its deadline"


class StopInputs(msgspec.Struct, frozen=True):
    """What is known of a call that is about to be sent to an engine."""

    seconds_left: float
    """Until running calls are cut."""
    durations: Durations | None
    """Those of the route's latest calls; None if not known."""
    deadline_seconds: float
    """Until the call's deadline."""
    is_repeatable: bool


class StopDecision(msgspec.Struct, frozen=True):
    """Whether to refuse a call, and why."""

    is_refused: bool
    basis: Basis
    expected_seconds: float
    """With its margin."""
    seconds_left: float


def decide(inputs: StopInputs) -> StopDecision:
    """Return whether a call has to be refused now, as it may not end in time.

    One that must run at most once is expected to take as long as nearly all calls
    lately, since being cut loses it; one that may be repeated, as long as most calls. No
    call lasts beyond its deadline.
    """
    by_deadline = max(inputs.deadline_seconds, 0.0) + DEADLINE_MARGIN_SECONDS
    expected, basis = by_deadline, Basis.DEADLINE
    if inputs.durations is not None:
        known = inputs.durations.rare_seconds
        if inputs.is_repeatable:
            known = inputs.durations.usual_seconds
        known += inputs.durations.reading_seconds
        by_durations = known * DURATION_FACTOR + DURATION_MARGIN_SECONDS
        if by_durations < by_deadline:
            expected, basis = by_durations, Basis.DURATIONS
    is_refused = expected > inputs.seconds_left
    return StopDecision(is_refused, basis, expected, inputs.seconds_left)
