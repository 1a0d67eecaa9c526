"""What the lines of a request tell of engines that ended under it."""

from collections.abc import Sequence

from notcharch.events.quarantine import AttemptNotSent, EngineEnded
from notcharch.explain.log_lines import LogLine


def ended_engines(own: Sequence[LogLine]) -> str:
    """Name the engines that ended under the request, in this try and in others."""
    told = [
        line
        for line in own
        if line.number in (AttemptNotSent.number, EngineEnded.number)
    ]
    if not told:
        return ""
    last = told[-1]
    if last.fields.get("is_leaving"):
        return f"; {last.text('engine')} ended while it was leaving"
    names = ", ".join(last.names("ends"))
    return (
        f"; engines that ended under this request, {last.text('identity')} in all its "
        f"tries: {names or 'none'}"
    )
