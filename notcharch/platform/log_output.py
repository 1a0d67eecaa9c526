"""The log output of a daemon on the platform: lines on standard output."""

from twisted.internet.interfaces import IReactorTime

from notcharch.events.calls import CallerNotIdentified, CallServed, EngineChosen
from notcharch.events.output import LogOutput
from notcharch.events.tenants import LimitReached

STANDARD_OUTPUT = 1
ROUTINE_EVENTS = (CallServed, CallerNotIdentified, EngineChosen, LimitReached)
"""Events whose lines are dropped first."""


def standard_output(clock: IReactorTime) -> LogOutput:
    """Return an output that writes to standard output."""
    routine = frozenset(event.number for event in ROUTINE_EVENTS)
    return LogOutput(STANDARD_OUTPUT, clock, routine)
