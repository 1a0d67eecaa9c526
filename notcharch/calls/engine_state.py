"""What this daemon knows of one engine."""

from notcharch.calls.interface import Engine
from notcharch.scheduling.cold_engines import WarmupState
from notcharch.scheduling.engine_health import EngineHealth


class EngineState:
    """What this daemon knows of one engine."""

    def __init__(self, engine: Engine, health: EngineHealth) -> None:
        """Start without calls."""
        self.engine = engine
        self.health = health
        self.warmth = WarmupState()
        self.in_flight = 0
        """Calls of this daemon in flight at the engine."""
        self.failed_at: float | None = None
        """Clock seconds of the last failure that a restart may have caused."""
        self.has_stale_entry = False
        """Whether it started after its entry was written, so its version is unknown."""
        self.last_resort_since: float | None = None
        """Clock seconds since which it is draining or unlisted."""

    @property
    def id(self) -> str:
        """Return the engine's id."""
        return self.engine.id

    @property
    def zone(self) -> str:
        """Return the engine's zone."""
        return self.engine.zone

    @property
    def slots(self) -> int:
        """Return the number of calls that it runs concurrently."""
        return self.engine.slots

    @property
    def run_seconds(self) -> float | None:
        """Return the usual duration of a call, if known."""
        return self.health.run_seconds
