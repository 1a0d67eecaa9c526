"""What an engine counts, and what was ever filled for a program anywhere."""

import attrs

from notcharch.values.identifiers import ProgramId


@attrs.define
class EngineCounters:
    """Counts since the emulator started; a restart of the engine keeps them.

    Tokens are prompt or answer tokens. "Unused" tokens were filled and thrown away
    without ever serving a later prompt: the wasted cache. An ended program's last
    turn is never used again, so `tokens_released_unused` has a floor above 0.
    """

    requests_accepted: int = 0
    requests_accepted_leaving: int = 0
    """Accepted after the engine was said to be leaving."""

    last_accepted_leaving_seconds: float = 0.0
    """The longest time after the leave at which a request was still accepted."""

    requests_finished: int = 0
    requests_cancelled: int = 0
    requests_lost: int = 0
    """Queued or running when the engine restarted."""

    refused_duplicate: int = 0
    refused_stale_epoch: int = 0
    tokens_prefilled: int = 0
    tokens_cached: int = 0
    """Prompt tokens found in the cache (hits)."""

    tokens_decoded: int = 0
    tokens_refilled: int = 0
    """Prefilled though they had been filled before, here or on another engine."""

    tokens_imported: int = 0
    tokens_exported: int = 0
    blocks_evicted: int = 0
    blocks_evicted_unused: int = 0
    tokens_evicted_unused: int = 0
    tokens_released_unused: int = 0
    tokens_lost_unused: int = 0
    """Unused and lost in a restart."""

    side_effects: int = 0
    """Accepted requests of an application engine."""


class FillHistory:
    """How far each program's prompt was ever filled, over all engines that share it.

    Programs only append, so one number for each is enough. It is kept when memory is
    released, since a program may go on elsewhere.
    """

    def __init__(self) -> None:
        """Begin with nothing filled."""
        self._filled: dict[ProgramId, int] = {}

    def refilled(self, program: ProgramId, start: int, end: int) -> int:
        """Count the tokens of `start` … `end` that were filled before."""
        return max(0, min(end, self._filled.get(program, 0)) - start)

    def note(self, program: ProgramId, end: int) -> None:
        """Record that a program's tokens up to `end` were filled."""
        if end > self._filled.get(program, 0):
            self._filled[program] = end
