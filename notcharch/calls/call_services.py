"""Collaborators of the call lifecycle and of its runs."""

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.call_urgency import CallUrgency
from notcharch.calls.engine_sender import EngineSender
from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import (
    Admission,
    EngineDialect,
    NoQuarantine,
    NoStreamOrigins,
    Quarantine,
    StreamOrigins,
)
from notcharch.calls.planned_stop import PlannedStop
from notcharch.http.buffered_bytes import BufferedBytes
from notcharch.scheduling.first_response_times import RouteResponseTimes
from notcharch.values.memory_pool import PoolHolder, unbounded_holder


class CallServices(msgspec.Struct, frozen=True):
    """Collaborators of the call lifecycle."""

    clock: IReactorTime
    pool: EnginePool
    sender: EngineSender
    dialect: EngineDialect
    admission: Admission
    waits: RouteResponseTimes
    urgency: CallUrgency | None = None
    """Rates the urgency of calls; None if engines are not told of it."""
    answers: BufferedBytes = msgspec.field(default_factory=BufferedBytes)
    """What is held of engines' answers."""
    held: PoolHolder = msgspec.field(default_factory=unbounded_holder)
    """What calls hold besides answers."""
    origins: StreamOrigins = NoStreamOrigins()
    quarantine: Quarantine = NoQuarantine()
    stop: PlannedStop | None = None
    """The planned stop of the daemon; None if calls don't take notice of it."""
