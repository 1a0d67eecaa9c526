"""The load of an engine over all daemons, as a load tracker reports it."""

import msgspec


class EngineLoad(msgspec.Struct, frozen=True, array_like=True):
    """Calls in flight at one engine from all daemons, and the engine's speed."""

    engine: str
    in_flight: int
    event_interval_seconds: float | None = None
    """Mean seconds between two events of a call; None while too few calls were seen."""
