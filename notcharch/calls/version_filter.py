"""Which engines of a service may get a call, by their software versions."""

from collections.abc import Sequence

import msgspec

from notcharch.calls.engine_state import EngineState
from notcharch.scheduling.software_versions import SoftwareVersions

RESTART_DOUBT_SECONDS = 5.0
"""An engine that started again has written its entry, and it was read, within this time:
three heartbeats and the interval between two reads."""


class VersionRule(msgspec.Struct, frozen=True):
    """Which software versions may get a call."""

    version: str | None = None
    """The one that began the call's stream; None if it has not begun."""
    begins_stream: bool = False
    """The call may begin a stream that can be resumed elsewhere."""


ANY_VERSION = VersionRule()


class VersionFilter:
    """Filters engines by version, and decides which must confirm theirs."""

    def __init__(self, versions: SoftwareVersions) -> None:
        """`versions` are those of the listed engines."""
        self._versions = versions

    def allowed(
        self,
        service: str,
        states: Sequence[EngineState],
        rule: VersionRule,
        now: float,
    ) -> Sequence[EngineState]:
        """Return the engines whose version may get a call."""
        if rule == ANY_VERSION:
            return states
        states = [state for state in states if not state.has_stale_entry]
        if rule.version is not None:
            return [state for state in states if state.engine.version == rule.version]
        settled = self._versions.settled(service, now)
        if settled is None:
            return states
        return [state for state in states if state.engine.version in settled]

    def must_confirm(self, state: EngineState, now: float) -> bool:
        """Return whether an engine must be asked when it started before a stream begins.

        That is so where it may start again under its id, and its version matters: another
        one may serve too, or the engine failed and may have started again with another.
        """
        engine, failed_at = state.engine, state.failed_at
        if engine.started_ms is None:
            return False
        if failed_at is not None and now - failed_at < RESTART_DOUBT_SECONDS:
            return True
        return self._versions.needs_records(engine.service, now)
