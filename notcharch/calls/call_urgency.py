"""The urgency of calls, by what this daemon knows of their programs and routes."""

from notcharch.calls.interface import OpaqueCall, Route
from notcharch.scheduling.urgency import (
    ProgramCall,
    ProgramTimes,
    QuickCalls,
    UsualTimes,
    standing,
    urgency_level,
)


class RouteTimes:
    """What is usual for the programs of one route."""

    def __init__(self, route: Route) -> None:
        """Start without samples."""
        self.programs = ProgramTimes(route.objective_seconds)
        self.quick_calls = QuickCalls()


class CallUrgency:
    """Rates the calls of all routes, and learns what is usual for them."""

    def __init__(self) -> None:
        """Start without samples."""
        self._routes: dict[str, RouteTimes] = {}
        self._peers: dict[tuple[str, int], ProgramTimes] = {}
        """By service and priority: calls of equal priority wait together."""

    def _route(self, route: Route) -> RouteTimes:
        known = self._routes.get(route.name)
        if known is None:
            known = self._routes[route.name] = RouteTimes(route)
        return known

    def _programs(self, route: Route, service: str) -> ProgramTimes:
        key = (service, route.priority)
        known = self._peers.get(key)
        if known is None:
            known = self._peers[key] = ProgramTimes(route.objective_seconds)
        return known

    def usual(self, route: Route, service: str) -> UsualTimes:
        """Return what is usual for a call of a route at a service."""
        known = self._route(route)
        return UsualTimes(
            route_program_seconds=known.programs.seconds,
            program_seconds=self._programs(route, service).seconds,
            quick_call_seconds=known.quick_calls.seconds,
        )

    def level(
        self,
        call: OpaqueCall,
        route: Route,
        service: str,
        cached_engine: str,
        now: float,
    ) -> int:
        """Return the urgency of a call that is sent now."""
        described = describe(call, route, cached_engine, now - call.arrived)
        position = standing(described, self.usual(route, service))
        return urgency_level(call.priority, position)

    def admitted(
        self, call: OpaqueCall, route: Route, service: str, cached_engine: str
    ) -> None:
        """Learn from an admitted call."""
        described = describe(call, route, cached_engine)
        for times in (self._route(route).programs, self._programs(route, service)):
            times.record(described, route.objective_seconds)

    def served(self, route: Route, seconds: float) -> None:
        """Learn from the duration of a served call."""
        self._route(route).quick_calls.record(seconds)


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
