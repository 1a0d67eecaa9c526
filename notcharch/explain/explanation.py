"""The cause of a request's end, as far as the lines tell it."""

from collections.abc import Callable, Sequence

import msgspec

from notcharch.events.accounts import (
    BudgetRefused,
    GatewayLost,
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
    EngineChosen,
    RequestMalformed,
    RequestNotRead,
    RequestWithoutRoute,
    StreamBegan,
    StreamTakenUp,
)
from notcharch.events.engine_load import LoadTrackerSilent
from notcharch.events.http import SlowReaderCut
from notcharch.events.outages import (
    RefusedInOutage,
    StoreOutageKnown,
    StoreOutageOver,
)
from notcharch.events.process import (
    CallRefusedForStop,
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
from notcharch.explain.doubts import doubt_cause, doubt_lines
from notcharch.explain.ended_engines import ended_engines
from notcharch.explain.log_lines import LogLine
from notcharch.explain.planned_stops import stop_cause
from notcharch.values.framing import Framing
from notcharch.values.scoping import SEPARATOR

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
    RequestNotRead.number,
    CallerNotIdentified.number,
    CallRefusedForStop.number,
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
    LoadTrackerSilent.number,
    StoreOutageKnown.number,
    StoreOutageOver.number,
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
    own = tuple(line for line in lines if _names(line, request))
    if not own:
        return Explanation(request, (), (), _without_lines(lines), False)
    context = _context(own, lines)
    cause, is_explained = _cause(own, context)
    return Explanation(request, own, context, cause, is_explained)


def _names(line: LogLine, request: str) -> bool:
    """Return whether a line is of a request; owners know it with its tenant."""
    name = line.text("request")
    return name == request or name.endswith(f"{SEPARATOR}{request}")


def _without_lines(lines: Sequence[LogLine]) -> str:
    reasons = [
        "no daemon read it whole",
        "its daemon was killed before it wrote its lines",
    ]
    if any(line.number == LinesDropped.number for line in lines):
        reasons.append("lines were left out on some daemon (event 2408)")
    return "no line names it: " + ", or ".join(reasons)


def owner_machine(member: str) -> str:
    """Return the machine of an owner, whose name may end in the port of its address."""
    name, _, address = member.partition("|")
    port = address.rpartition(":")[2]
    return name.removesuffix(f":{port}") if port else name


def _context(own: Sequence[LogLine], lines: Sequence[LogLine]) -> tuple[LogLine, ...]:
    begin = own[0].at - AROUND_SECONDS
    end = own[-1].at
    machines = {line.machine for line in own}
    machines |= {owner_machine(line.text("owner")) for line in own}
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
    return (*_drains(own, lines), *doubt_lines(own, lines), *found)


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
    stopped = stop_cause(own)
    if stopped and end.number != CallServed.number:
        return f"{stopped}{_troubles(context)}", True
    told = {
        CallServed.number: _served,
        CallRefused.number: _refused,
        CallBrokenOff.number: _broken_off,
        CallerLeft.number: _left,
        RequestWithoutRoute.number: _without_route,
        RequestMalformed.number: _malformed,
        RequestNotRead.number: _not_read,
        CallerNotIdentified.number: _not_identified,
    }[end.number]
    return told(end, own, context), True


def _served(end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    return (
        f"served by {end.text('engine')} with {end.text('status')} "
        f"after {end.text('seconds')} s, {end.text('admission_seconds')} s of them "
        "before its admission"
        f"{_choice(end.text('engine'), own)}{_versions(own)}{_answer_end(end)}"
    )


def _answer_end(line: LogLine) -> str:
    """Say how an engine's answer ended, if it was not whole beyond doubt."""
    framing, body = line.text("framing"), line.text("body_bytes")
    unfinished = line.fields.get("unfinished_bytes")
    inside = f", {unfinished} bytes after its last whole event" if unfinished else ""
    is_inferred = framing == Framing.CONNECTION.value
    if not framing or not (inside or is_inferred):
        return ""
    told = "with its connection" if is_inferred else f"as told by its {framing}"
    return f"; its answer ended {told} after {body} bytes{inside}"


def _versions(own: Sequence[LogLine]) -> str:
    """Say at which software version a stream began, and at which it went on and why."""
    texts = []
    for line in own:
        if line.number == StreamTakenUp.number:
            first = line.text("first_attempt") or "an attempt that it does not name"
            texts.append(
                f"it resumed the stream that began as {first} after event "
                f"{line.text('after_event')}, begun at version "
                f"{line.text('version') or 'unknown'} ({line.text('source')})"
            )
        elif line.number == StreamBegan.number:
            texts.append(
                f"its first event came from version {line.text('version')} "
                f"({line.text('engine')})"
            )
        elif line.number == CallSentAgain.number and line.fields.get("events"):
            texts.append(
                f"it was sent on after {line.text('events')} events from version "
                f"{line.text('version')} ({line.text('engine')}: "
                f"{line.text('cause')}{_answer_end(line)})"
            )
    ends = [line for line in own if line.number in END_EVENTS]
    if texts and ends and ends[-1].fields.get("version"):
        texts.append(f"it ended at version {ends[-1].text('version')}")
    return "".join(f"; {text}" for text in texts)


def _choice(engine: str, own: Sequence[LogLine]) -> str:
    """Say why the engine that served a call was chosen."""
    chosen = [
        line
        for line in own
        if line.number == EngineChosen.number and line.text("engine") == engine
    ]
    if not chosen:
        return ""
    line = chosen[-1]
    return (
        f"; the engine was chosen as {line.text('reason')} with "
        f"{line.text('in_flight')} calls at {line.text('slots')} slots: "
        f"{line.text('run_seconds')} s for its run, {line.text('wait_seconds')} s for a "
        f"slot, {line.text('reading_seconds')} s to read the prompt, "
        f"{line.text('distance_seconds')} s for the distance expected, and "
        f"{line.text('lowest_seconds')} s in all at the best engine"
        f"{_urgency(line)}"
    )


def _urgency(line: LogLine) -> str:
    """Say how urgent the engine was told that a call is."""
    level = line.fields.get("urgency")
    return "" if level is None else f"; its urgency was {level} (0 first, 9 last)"


def _without_route(
    end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]
) -> str:
    version = int(end.fields.get("table_version", 0))
    if version < 0:
        return f"the daemon knew no table yet{_troubles(context)}"
    return f"table {version} has no route for {end.text('host')}{end.text('path')}"


def _malformed(end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    return f"a header can't be read, for {end.text('host')}{end.text('path')}"


def _not_read(end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    size = end.fields.get("body_bytes")
    body = "in chunks" if size is None else f"of {size} bytes"
    return (
        f"not run: {end.text('cause')} for a body {body}, {end.text('seconds')} s after "
        f"its head, of which it waited {end.text('waited_seconds')} s for memory"
    )


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
    return (
        f"{end.text('reason')}; {_attempts(end, own)}{ended_engines(own)}"
        f"{_troubles(context)}"
    )


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
    for line in own:
        if line.number == RefusedInOutage.number:
            is_owners = bool(line.fields.get("is_owners_decision"))
            needs = "its admission needs an append" if is_owners else "no owner decided"
            return (
                f"the store had been down for {line.text('outage_seconds')} s and "
                f"{needs}; the caller was told to retry after "
                f"{line.text('retry_after_seconds')} s"
            )
    doubt = doubt_cause(own)
    if doubt:
        return f"{doubt}{_troubles(context)}"
    resumed = [line for line in own if line.number == StreamTakenUp.number]
    if any(not line.text("version") for line in resumed):
        return f"{end.text('reason')}{_versions(own)}{_troubles(context)}"
    asked = [line for line in own if line.number == OwnerUnanswered.number]
    if not asked:
        reason, seconds = end.text("reason"), end.text("seconds")
        return f"not admitted within {seconds} s: {reason}{_troubles(context)}"
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
        line.text("engine"): f"{line.text('cause')}{_answer_end(line)}"
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
        f"{end.text('cause')}{_versions(own)}{_answer_end(end)}{ended_engines(own)}"
        f"{_troubles(context)}"
    )


def _left(end: LogLine, own: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    for line in own:
        if line.number == SlowReaderCut.number:
            return (
                f"cut after {end.text('seconds')} s while {end.text('phase')}: the "
                f"caller had not read {line.text('buffered_bytes')} bytes, and the "
                "daemon held too much for slow readers"
            )
    return (
        f"the caller left after {end.text('seconds')} s while {end.text('phase')}"
        f"{_versions(own)}{_troubles(context)}"
    )


def _troubles(context: Sequence[LogLine]) -> str:
    """Name what its daemon or its owner lost, gave up or began meanwhile."""
    told = [text for line in context if (text := _trouble(line))]
    unique = list(dict.fromkeys(told))
    return "; before it: " + "; ".join(unique) if unique else ""


def _trouble(line: LogLine) -> str:
    """Describe one event of a machine; empty if it may not have affected the request."""
    describe = TROUBLES.get(line.number)
    text = describe(line) if describe is not None else ""
    return f"{line.machine} {text}" if text else ""


def _zones_drained(line: LogLine) -> str:
    if not line.fields.get("in_force"):
        return ""
    return f"knew the zones {', '.join(line.names('in_force'))} to be drained"


def _dependency_lost(line: LogLine) -> str:
    return f"could not reach {line.text('dependency')} ({line.text('fault')})"


def _partition_given_up(line: LogLine) -> str:
    return f"gave up partition {line.text('partition')} ({line.text('cause')})"


def _keys_unsure(line: LogLine) -> str:
    verb = "could judge" if line.fields.get("is_sure") else "could not judge"
    return f"{verb} keys"


def _tracker_silent(line: LogLine) -> str:
    return f"got no engine loads from {line.text('tracker')} ({line.text('cause')})"


def _gateway_lost(line: LogLine) -> str:
    process = f"{line.text('daemon')} {line.text('incarnation')}"
    return f"took {process} for lost ({line.text('cause')})"


TROUBLES: dict[int, Callable[[LogLine], str]] = {
    ZonesDrained.number: _zones_drained,
    DependencyLost.number: _dependency_lost,
    StoreOutageKnown.number: lambda _: "knew the store to be down",
    PartitionGivenUp.number: _partition_given_up,
    PartitionTakenOver.number: lambda line: (
        f"took over partition {line.text('partition')}"
    ),
    KeysUnsure.number: _keys_unsure,
    GatewayLost.number: _gateway_lost,
    LoadTrackerSilent.number: _tracker_silent,
    ProcessPaused.number: lambda line: f"stood still for {line.text('seconds')} s",
    ProcessStarted.number: lambda _: "started",
    ProcessStopping.number: lambda _: "was stopping",
}
"""How an event of a daemon is described that may have affected a request, by number."""
