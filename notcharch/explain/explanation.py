"""The cause of a request's end, as far as the lines tell it."""

from collections.abc import Sequence

import msgspec

from notcharch.events.accounts import (
    BudgetRefused,
    OwnerUnanswered,
    PartitionGivenUp,
    PartitionTakenOver,
    TurnAdopted,
    TurnDenied,
)
from notcharch.events.calls import (
    AnswerOverdue,
    CallBrokenOff,
    CallerLeft,
    CallerNotIdentified,
    CallRefused,
    CallSentAgain,
    CallServed,
    RequestMalformed,
    RequestWithoutRoute,
)
from notcharch.events.process import (
    DependencyLost,
    DependencyRegained,
    EnginesChanged,
    LinesDropped,
    ProcessPaused,
    ProcessStarted,
    ProcessStopped,
    ProcessStopping,
    ZonesDrained,
)
from notcharch.events.tenants import KeysUnsure, LimitReached
from notcharch.explain.log_lines import LogLine

PAUSE_TOLD_SECONDS = 1.5
"""A pause is told so much after its end at the latest."""
AROUND_SECONDS = 4.0
"""Lines of dependencies and owners this long before a request are looked at."""

END_EVENTS = (
    CallServed.number,
    CallRefused.number,
    CallBrokenOff.number,
    CallerLeft.number,
    RequestWithoutRoute.number,
    RequestMalformed.number,
    CallerNotIdentified.number,
)
CONTEXT_EVENTS = (
    DependencyLost.number,
    DependencyRegained.number,
    EnginesChanged.number,
    ProcessStarted.number,
    ProcessStopping.number,
    ProcessStopped.number,
    PartitionTakenOver.number,
    PartitionGivenUp.number,
    LinesDropped.number,
    ProcessPaused.number,
    KeysUnsure.number,
)
SPENT = 402
OVER_LIMIT = 429
NOT_FOUND = 404


class Explanation(msgspec.Struct, frozen=True):
    """What the lines say of one request."""

    request: str
    lines: tuple[LogLine, ...]
    """The request's own, in order."""
    context: tuple[LogLine, ...]
    """Those that tell what its daemon and its owner went through."""
    cause: str
    is_explained: bool
    """Whether the cause is told by a line, not guessed."""


def explain(request: str, lines: Sequence[LogLine]) -> Explanation:
    """Find a request's lines, what happened around them, and the cause."""
    own = tuple(line for line in lines if line.text("request") == request)
    if not own:
        return Explanation(request, (), (), _without_lines(lines), False)
    context = _context(own, lines)
    cause, is_explained = _cause(own, context)
    return Explanation(request, own, context, cause, is_explained)


def _without_lines(lines: Sequence[LogLine]) -> str:
    reasons = [
        "no daemon read it whole",
        "its daemon was killed before it wrote its lines",
    ]
    if any(line.number == LinesDropped.number for line in lines):
        reasons.append("lines were left out on some daemon (event 2408)")
    return "no line names it: " + ", or ".join(reasons)


def _context(own: Sequence[LogLine], lines: Sequence[LogLine]) -> tuple[LogLine, ...]:
    begin = own[0].at - AROUND_SECONDS
    end = own[-1].at
    machines = {line.machine for line in own}
    machines |= {line.text("owner").partition("|")[0] for line in own}
    partitions = {
        line.text("partition") for line in own if line.number == OwnerUnanswered.number
    }
    found = []
    for line in lines:
        late = PAUSE_TOLD_SECONDS if line.number == ProcessPaused.number else 0.0
        if line.number not in CONTEXT_EVENTS or not begin <= line.at <= end + late:
            continue
        if line.machine in machines or line.text("partition") in partitions - {""}:
            found.append(line)
    return (*_drains(own, lines), *found)


def _drains(own: Sequence[LogLine], lines: Sequence[LogLine]) -> tuple[LogLine, ...]:
    """Give the line that tells which zones were drained when a request ended."""
    end = own[-1]
    known = [
        line
        for line in lines
        if line.number == ZonesDrained.number
        and line.machine == end.machine
        and line.at <= end.at
    ]
    return tuple(known[-1:])


def _cause(own: Sequence[LogLine], context: Sequence[LogLine]) -> tuple[str, bool]:
    ends = [line for line in own if line.number in END_EVENTS]
    if not ends:
        return "its end was not logged: its daemon ended or lines were dropped", False
    end = ends[-1]
    told = {
        CallServed.number: _served,
        CallRefused.number: _refused,
        CallBrokenOff.number: _broken_off,
        CallerLeft.number: _left,
        RequestWithoutRoute.number: _without_route,
        RequestMalformed.number: _malformed,
        CallerNotIdentified.number: _not_identified,
    }[end.number]
    return told(end, own, context), True


def _served(end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    return (
        f"served by {end.text('engine')} with {end.text('status')} "
        f"after {end.text('seconds')} s, {end.text('admission_seconds')} s of them "
        "before its admission"
    )


def _without_route(
    end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]
) -> str:
    version = int(end.fields.get("table_version", 0))
    if version < 0:
        return f"the daemon knew no table yet{_troubles(context)}"
    return f"table {version} has no route for {end.text('host')}{end.text('path')}"


def _malformed(end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    return f"a header can't be read, for {end.text('host')}{end.text('path')}"


def _not_identified(
    end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]
) -> str:
    age = end.fields.get("proof_age_seconds")
    known = "" if age is None else f", certainly the newest {age} s before"
    table = f"judged by table {end.text('table_version')}{known}"
    return f"{end.text('cause')}; {table}{_troubles(context)}"


def _refused(end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    status = int(end.fields.get("status", 0))
    if status == SPENT:
        return _spent(own)
    if status == OVER_LIMIT:
        return _over_limit(own)
    if status == NOT_FOUND:
        return _denied(own)
    if end.text("phase") == "admission":
        return _unadmitted(end, own, context)
    return f"{end.text('reason')}; {_attempts(end, own)}{_troubles(context)}"


def _spent(own: Sequence[LogLine]) -> str:
    for line in own:
        if line.number == BudgetRefused.number:
            return (
                f"the budget of {line.text('budget_tokens')} tokens: "
                f"{line.text('used_tokens')} used, {line.text('under_way_tokens')} "
                f"under way, and this call may need {line.text('most_tokens')}"
            )
    return "the owner of the program's account said that the budget is spent"


def _over_limit(own: Sequence[LogLine]) -> str:
    for line in own:
        if line.number == LimitReached.number:
            limit = f"{line.text('calls_per_second')} a second and {line.text('burst_calls')}"
            text = (
                f"tenant {line.text('tenant')} has {line.text('calls_left')} calls left "
                f"of its limit of {limit} at once"
            )
            return text + _limit_cause(line)
    return "over its tenant's limit, said the owner that counts it; its line is missing"


def _limit_cause(line: LogLine) -> str:
    """Return why a limit without room for all refused this call."""
    reserved = line.fields.get("reserved_calls")
    beside = f" beside {reserved} reserved calls" if reserved else ""
    if line.fields.get("begins_program"):
        return f"; its program would have begun and is not expected to fit{beside}"
    cause = line.fields.get("cause")
    if cause == "loops":
        made = line.text("program_calls")
        return f"; its program has made {made} calls, far more than its kind, and has no room{beside}"
    if cause == "unclaimed":
        return f"; it belongs to no program and has no room{beside}"
    return ""


def _denied(own: Sequence[LogLine]) -> str:
    for line in own:
        if line.number in (TurnDenied.number, TurnAdopted.number):
            return f"no partition keeps the turn {line.text('turn')}"
    return "it has no route, or names a turn that nobody keeps"


def _unadmitted(
    end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]
) -> str:
    asked = [line for line in own if line.number == OwnerUnanswered.number]
    if not asked:
        return f"not admitted within {end.text('seconds')} s{_troubles(context)}"
    line = asked[0]
    owner = line.text("owner").partition("|")[0] or "nobody known"
    return (
        f"the owner of partition {line.text('partition')} ({owner}) did not decide "
        f"within {end.text('seconds')} s{_troubles(context)}"
    )


def _attempts(end: LogLine, own: Sequence[LogLine]) -> str:
    causes = ", ".join(_attempt_causes(own))
    tried = end.text("engines_tried")
    known = end.text("engines_known")
    text = f"{tried} engines tried of {known} known"
    return f"{text} ({causes})" if causes else text


def _attempt_causes(own: Sequence[LogLine]) -> list[str]:
    """Say of each engine that did not serve the call why."""
    causes = {
        line.text("engine"): line.text("cause")
        for line in own
        if line.number == CallSentAgain.number
    }
    for line in own:
        if line.number == AnswerOverdue.number:
            limit = line.text("limit_seconds")
            overdue = f"no first answer in {limit} s, longer than usual"
            causes.setdefault(line.text("engine"), overdue)
    return [f"{engine}: {cause}" for engine, cause in causes.items()]


def _broken_off(
    end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]
) -> str:
    return (
        f"cut after {end.text('events')} events while {end.text('phase')}: "
        f"{end.text('cause')}{_troubles(context)}"
    )


def _left(end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    return (
        f"the caller left after {end.text('seconds')} s while {end.text('phase')}"
        f"{_troubles(context)}"
    )


def _troubles(context: Sequence[LogLine]) -> str:
    """Name what its daemon or its owner lost, gave up or began meanwhile."""
    told: list[str] = []
    for line in context:
        if line.number == ZonesDrained.number and line.fields.get("in_force"):
            zones = ", ".join(line.names("in_force"))
            told.append(f"{line.machine} knew the zones {zones} to be drained")
        elif line.number == DependencyLost.number:
            told.append(
                f"{line.machine} could not reach {line.text('dependency')} "
                f"({line.text('fault')})"
            )
        elif line.number == PartitionGivenUp.number:
            told.append(
                f"{line.machine} gave up partition {line.text('partition')} "
                f"({line.text('cause')})"
            )
        elif line.number == PartitionTakenOver.number:
            told.append(f"{line.machine} took over partition {line.text('partition')}")
        elif line.number == KeysUnsure.number:
            verb = "could judge" if line.fields.get("is_sure") else "could not judge"
            told.append(f"{line.machine} {verb} keys")
        elif line.number == ProcessPaused.number:
            told.append(f"{line.machine} stood still for {line.text('seconds')} s")
        elif line.number in (ProcessStarted.number, ProcessStopping.number):
            verb = "started" if line.number == ProcessStarted.number else "was stopping"
            told.append(f"{line.machine} {verb}")
    unique = list(dict.fromkeys(told))
    return "; before it: " + "; ".join(unique) if unique else ""
