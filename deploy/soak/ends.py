"""How the process of a daemon ended, and whether anybody had asked for it."""

import enum
import signal

import msgspec

MOST_START_SECONDS = 12.0
"""A SIGTERM that comes later than this after the start has to meet its handler."""


class EndKind(enum.Enum):
    """Who caused the end of a process."""

    ASKED = "asked"
    """The soak, by SIGTERM or SIGKILL."""
    OWN = "own"
    """The process."""
    BEFORE_PROGRAM = "before the program"
    """SIGHUP, before the first statement of the program could ignore it."""


class ProcessEnd(msgspec.Struct, frozen=True):
    """The end of one process."""

    daemon: str
    status: int
    """As `Popen.returncode`: negative for a signal."""
    lived_ms: int
    """From the spawn until the end was noticed."""
    stop_after: float | None = None
    """Seconds from the spawn to SIGTERM; None if it was not sent."""
    stop_met_default: bool = False
    """Whether SIGTERM met its default action, as the modules were still being imported."""
    is_killed: bool = False
    """Whether SIGKILL was sent."""
    reloaded_before_program_ms: int | None = None
    """Milliseconds from the spawn to a SIGHUP that met its default action."""

    @property
    def kind(self) -> EndKind:
        """Who caused it."""
        if self._is_before_program:
            return EndKind.BEFORE_PROGRAM
        if self.is_killed and self.status == -signal.SIGKILL:
            return EndKind.ASKED
        if self.stop_after is None:
            return EndKind.OWN
        is_early = self.stop_met_default and self.stop_after <= MOST_START_SECONDS
        is_default = is_early and self.status == -signal.SIGTERM
        return EndKind.ASKED if self.status == 0 or is_default else EndKind.OWN

    @property
    def _is_before_program(self) -> bool:
        met_default = self.reloaded_before_program_ms is not None
        return met_default and self.status == -signal.SIGHUP


def has_default_action(process_status: str, number: signal.Signals) -> bool:
    """Return whether a signal would end a process, by its /proc/PID/status."""
    bit = 1 << (number - 1)
    masks = [
        int(line.split()[1], 16)
        for line in process_status.splitlines()
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return not any(mask & bit for mask in masks)
