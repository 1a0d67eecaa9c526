"""What the lines of a request say of a planned stop that ended it."""

from collections.abc import Sequence

from notcharch.events.process import CallCutByStop, CallRefusedForStop
from notcharch.explain.log_lines import LogLine


def stop_cause(own: Sequence[LogLine]) -> str:
    """Return how a planned stop ended a request; empty if none did."""
    for line in own:
        if line.number == CallRefusedForStop.number:
            return _refused(line)
        if line.number == CallCutByStop.number:
            return _cut(line)
    return ""


def _refused(line: LogLine) -> str:
    runs = line.fields.get("runs")
    ran = "it was not sent again" if runs else "it has not run"
    return (
        f"refused by a planned stop while {line.text('phase')}: "
        f"{line.text('expected_seconds')} s expected by {line.text('basis')}, "
        f"{line.text('seconds_left')} s left before running calls are cut; {ran}"
    )


def _cut(line: LogLine) -> str:
    return (
        f"cut by a planned stop: it had run for {line.text('running_seconds')} s when the "
        "grace period was over"
    )
