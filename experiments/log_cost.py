"""Measures what a log line costs: `python -m experiments.log_cost` prints µs a line.

A line of a served call is emitted, encoded and written to /dev/null, as a daemon on the
platform does; beside it the same with the line left out by its bound.
"""

import os
import sys
import time

import eliot
from twisted.internet.task import Clock

from notcharch.events.calls import CallServed
from notcharch.events.event import emit
from notcharch.events.output import LogOutput

LINES = 20_000
MICROSECONDS = 1_000_000
LINE = CallServed(
    request="9c41d07be2a35f68",
    program="3fa81c07be2a35",
    session="77d20b07be2a35",
    route="r-2b9wu3f",
    engine="i-7f3a91c2",
    status=200,
    engines_tried=1,
    events=10,
    seconds=0.3123,
    admission_seconds=0.0071,
)


def microseconds_of_a_line(*, is_written: bool) -> float:
    """Give the processor time of a line."""
    clock = Clock()
    descriptor = os.open(os.devnull, os.O_WRONLY)
    left_out = frozenset() if is_written else frozenset((CallServed.number,))
    output = LogOutput(descriptor, clock, left_out)
    eliot.add_destinations(output)
    began = time.process_time()
    for _ in range(LINES):
        emit(LINE)
        if is_written:
            output.flush()
    spent = time.process_time() - began
    eliot.remove_destination(output)
    os.close(descriptor)
    return spent / LINES * MICROSECONDS


def main() -> int:
    """Print both."""
    written = microseconds_of_a_line(is_written=True)
    left_out = microseconds_of_a_line(is_written=False)
    sys.stdout.write(f"written {written:.1f} us, left out {left_out:.1f} us a line\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
