"""The urgency of calls, by what this daemon knows of their programs and routes."""

from notcharch.calls.interface import OpaqueCall, Route
from notcharch.scheduling.urgency import (
    ProgramCall,
    RouteProgress,
    standing,
    urgency_level,
)


class CallUrgency:
    """Rates the calls of all routes, and learns what is usual for them."""

    def __init__(self) -> None:
        """Start without samples."""
        self._routes: dict[str, RouteProgress] = {}

    def _progress(self, route: Route) -> RouteProgress:
        known = self._routes.get(route.name)
        if known is None:
            known = RouteProgress(route.objective_seconds)
            self._routes[route.name] = known
        return known

    def level(
        self, call: OpaqueCall, route: Route, cached_engine: str, now: float
    ) -> int:
        """Return the urgency of a call that is sent now."""
        described = describe(call, route, cached_engine, now - call.arrived)
        position = standing(described, self._progress(route).usual)
        return urgency_level(call.priority, position)

    def admitted(self, call: OpaqueCall, route: Route, cached_engine: str) -> None:
        """Learn from an admitted call."""
        described = describe(call, route, cached_engine)
        self._progress(route).record_call(described)

    def served(self, route: Route, seconds: float) -> None:
        """Learn from the duration of a served call."""
        self._progress(route).record_duration(seconds)


def describe(
    call: OpaqueCall, route: Route, cached_engine: str, waited_seconds: float = 0.0
) -> ProgramCall:
    """Return what this daemon knows of a call's program, some time after its arrival.

    A program is under way if an engine ran it before, as the owner of its account says,
    or if its call continues a stored turn, which the owner has found.
    """
    left = call.program_remaining_seconds
    continues_turn = route.stores_turns and bool(call.previous_turn)
    return ProgramCall(
        is_program=bool(call.program),
        is_under_way=bool(cached_engine) or continues_turn,
        seconds_left=None if left is None else left - waited_seconds,
    )
