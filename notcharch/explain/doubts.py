"""What the lines of a refused request tell of its program's doubted tokens."""

from collections.abc import Sequence
from typing import Any

from notcharch.events.accounts import BudgetDoubted, DoubtTaken, GatewayLost
from notcharch.explain.log_lines import LogLine

MAX_EARLIER_LINES = 5
"""Earlier lines about the doubt of a program that are shown."""


def doubt_cause(own: Sequence[LogLine]) -> str:
    """Return why a request was refused for doubt; empty if it was not."""
    line = _refusal(own)
    if line is None:
        return ""
    told = "; ".join(_source(source) for source in line.fields.get("sources") or ())
    return (
        "it is not known what its program has used of its budget of "
        f"{line.text('budget_tokens')} tokens: {line.text('used_tokens')} certain, "
        f"{line.text('doubted_tokens')} doubted, {line.text('unproven_tokens')} "
        f"unproven, {line.text('under_way_tokens')} under way, and this call may need "
        f"{line.text('most_tokens')}; in doubt: {told or 'its sources are not logged'}; "
        f"the caller was told to retry after {line.text('retry_seconds')} s"
    )


def doubt_lines(
    own: Sequence[LogLine], lines: Sequence[LogLine]
) -> tuple[LogLine, ...]:
    """Return the earlier lines that tell who lost what is doubted."""
    refusal = _refusal(own)
    if refusal is None:
        return ()
    earlier = [line for line in lines if line.at <= refusal.at]
    taken = [
        line
        for line in earlier
        if line.number == DoubtTaken.number
        and line.text("program") == refusal.text("program")
    ][-MAX_EARLIER_LINES:]
    gateways = {
        source.get("gateway", "")
        for line in (refusal, *taken)
        for source in line.fields.get("sources") or ()
    }
    lost = [
        line
        for line in earlier
        if line.number == GatewayLost.number
        and f"{line.text('daemon')} {line.text('incarnation')}" in gateways
    ][-MAX_EARLIER_LINES:]
    return tuple(sorted((*taken, *lost), key=lambda line: line.at))


def _refusal(own: Sequence[LogLine]) -> LogLine | None:
    found = [line for line in own if line.number == BudgetDoubted.number]
    return found[-1] if found else None


def _source(source: dict[str, Any]) -> str:
    call, gateway = source.get("call"), source.get("gateway")
    offset = source.get("offset", -1)
    text = f"{source.get('tokens')} of {source.get('cause')}"
    if call:
        text += f", {call}"
    if gateway:
        text += f" at {gateway}"
    return text + (f", record at {offset}" if offset >= 0 else "")
