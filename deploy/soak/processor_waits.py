"""How long processes that were able to run waited for a processor, as the kernel counts it.

A call that is cut beside such a wait may be the machine's doing; one without it is not.
"""

from collections import defaultdict, deque
from pathlib import Path

import msgspec

LEAST_SECONDS = 0.25
"""Shorter waits are not told."""
WINDOW_SECONDS = 0.5
"""Waits within this time count together."""
NANOSECONDS = 1e9


class ProcessorWait(msgspec.Struct, frozen=True):
    """The waits of one process within a moment."""

    process: str
    ended_at: float
    seconds: float


USED_FIELD, WAITED_FIELD = 0, 1


def seconds_of(schedstat: str, field: int) -> float:
    """Return a time from the text of /proc/PID/schedstat; 0 without it."""
    fields = schedstat.split()
    return int(fields[field]) / NANOSECONDS if len(fields) > field else 0.0


def _read(pid: int, field: int) -> float:
    try:
        return seconds_of(Path(f"/proc/{pid}/schedstat").read_text(), field)
    except OSError:
        return 0.0


def read_used(pid: int) -> float:
    """Return the time for which a process ran; 0 if it has ended."""
    return _read(pid, USED_FIELD)


def read_waited(pid: int) -> float:
    """Return the time for which a process waited for a processor; 0 if it has ended."""
    return _read(pid, WAITED_FIELD)


class ProcessorWaits:
    """The waits of all processes, from samples of what the kernel counts."""

    def __init__(self) -> None:
        """Begin without samples."""
        self._samples: dict[int, deque[tuple[float, float]]] = {}
        self.all: list[ProcessorWait] = []

    def sample(self, process: str, pid: int, waited: float, now: float) -> None:
        """Note how long a process has waited since its start."""
        samples = self._samples.setdefault(pid, deque())
        samples.append((now, waited))
        while len(samples) > 2 and samples[1][0] <= now - WINDOW_SECONDS:
            samples.popleft()
        seconds = waited - samples[0][1]
        if seconds >= LEAST_SECONDS:
            self.all.append(ProcessorWait(process, round(now, 2), round(seconds, 2)))
            samples.clear()
            samples.append((now, waited))

    def totals(self) -> dict[str, float]:
        """Return for how long each process waited, in seconds."""
        seconds: dict[str, float] = defaultdict(float)
        for wait in self.all:
            seconds[wait.process] += wait.seconds
        return {name: round(total, 2) for name, total in sorted(seconds.items())}

    def text(self) -> str:
        """Return every wait, a line each."""
        return "".join(
            f"{wait.ended_at:.2f} {wait.process} {wait.seconds:.2f} s\n"
            for wait in self.all
        )
