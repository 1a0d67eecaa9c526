"""What the callers of a run have seen; the checks compare it with the engines' truth."""

import enum
from collections import Counter

import attrs


class CutCause(enum.Enum):
    """Why a daemon may have cut a request that it had got."""

    NONE = "none"
    PLANNED_STOP = "planned_stop"
    KILL = "kill"
    PAUSE = "pause"


@attrs.frozen
class CallName:
    """One call of a program."""

    program: str
    sequence: int


@attrs.frozen
class SpentCall:
    """A call of the service with small budgets; `tokens` is what one attempt uses."""

    name: CallName
    tokens: int


@attrs.define
class CallerFacts:
    """Counts and lists; times are in seconds."""

    programs_begun: int = 0
    programs_done: int = 0
    calls_answered: int = 0
    wrong_answers: list[CallName] = attrs.field(factory=list)
    wrong_histories: list[str] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)
    """Programs that ended by something which no fault may bring about."""

    unknown_outcomes: list[CallName] = attrs.field(factory=list)
    """Unrepeatable calls that may have run."""

    lost_answers: list[CallName] = attrs.field(factory=list)
    """Unrepeatable calls that were said to have run, whose answer is lost."""

    not_run: list[CallName] = attrs.field(factory=list)
    """Calls that were said not to have run, and were not asked again."""

    unrepeatable: set[CallName] = attrs.field(factory=set)
    spending: list[SpentCall] = attrs.field(factory=list)
    budgets_exhausted: int = 0
    cuts: Counter[CutCause] = attrs.field(factory=Counter)
    """Requests that a daemon had got and gave no whole response to."""

    cut_details: list[str] = attrs.field(factory=list)
    unreachable: int = 0
    """Tries that found nobody listening: nothing was sent."""

    timed_out: int = 0
    """Tries that the caller gave up."""

    refusals: Counter[str] = attrs.field(factory=Counter)
    broken_streams: Counter[str] = attrs.field(factory=Counter)
    """Streams that ended with an error event, by code."""

    calm_call_seconds: list[float] = attrs.field(factory=list)
    """Calls that were answered at the first try."""

    calm_create_seconds: list[float] = attrs.field(factory=list)
    """Programs that were created at the first try: HTTP and one commit."""

    disturbed_wait_seconds: dict[str, float] = attrs.field(factory=dict)
    """For each program with a failed try, its longest wait for one answer."""
