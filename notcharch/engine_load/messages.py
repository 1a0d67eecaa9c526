"""Messages between daemons and the load trackers of engines."""

import msgspec

from notcharch.scheduling.engine_load import EngineLoad
from notcharch.wire.messages.base import Message


class FinishedCall(msgspec.Struct, frozen=True, array_like=True):
    """A finished call at an engine."""

    engine: str
    event_interval_seconds: float
    """Mean seconds between two of its events."""


class EngineCallsChanged(Message, frozen=True):
    """Notice of the sender's calls in flight."""

    service: str
    sequence: int
    """Increases with each notice of a process."""
    calls: dict[str, int]
    """Absolute number of calls in flight by engine."""
    finished: tuple[FinishedCall, ...] = ()


class AskEngineLoads(Message, frozen=True):
    """Requests the loads of a service's engines. Reply: `EngineLoadsSeen`."""

    service: str


class EngineLoadsSeen(Message, frozen=True):
    """The loads of all engines of the service that the tracker knows whole."""

    loads: tuple[EngineLoad, ...] = ()


ENGINE_LOAD_MESSAGES: tuple[type[Message], ...] = (
    EngineCallsChanged,
    AskEngineLoads,
    EngineLoadsSeen,
)
