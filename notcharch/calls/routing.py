"""Lookup of the route and the service of a call in the current table."""

import msgspec
import xxhash

from notcharch.calls.interface import OpaqueCall, Route, Service
from notcharch.http.exchange import ServerLimits
from notcharch.scheduling.urgency import PriorityRank
from notcharch.tenants.keys import TenantKeys

HASH_RANGE = float(1 << 64)


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ServerLimits
    keys: TenantKeys | None = None
    """The keys of tenants; None if there are no tenants, and calls need no key."""
    lacks_routes: bool = False
    """Whether there are routes that can't be read."""
    lacks_keys: bool = False
    """Whether there are keys that can't be read."""

    def longest_resumable_seconds(self) -> float:
        """Return for how long a caller may resume a stream: twice the longest timeout."""
        return max(
            (2 * route.timeout_seconds for route in self.routes if route.is_resumable),
            default=0.0,
        )

    def resident_regions(self) -> frozenset[str]:
        """Return all residency regions of routes and tenants."""
        found = {region for route in self.routes for region in route.regions or ()}
        if self.keys is not None:
            found |= self.keys.resident_regions()
        return frozenset(found)


class Router:
    """The routes of one table version, indexed by host."""

    def __init__(
        self, table: RouteTable, previous: "Router | None" = None, now: float = 0.0
    ) -> None:
        """Index the routes by host and path prefix.

        `now`, in clock seconds, is when the table replaces the one of `previous`.
        """
        self.table = table
        self._since: dict[str, float] = {}
        """Since when each route has its services, in clock seconds, by its identity."""
        self._by_host: dict[str, dict[str, Route]] = {}
        self._priorities: dict[str, list[int]] = {}
        """The different priorities of the routes to a service, in ascending order."""
        for route in table.routes:
            identity = route_identity(route)
            self._since[identity] = (
                now if previous is None else previous.since(identity, now)
            )
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
            for share in route.shares:
                self._add_priority(share.service, route.priority)

    def since(self, identity: str, otherwise: float) -> float:
        """Return since when a route has its services; `otherwise` if it has others."""
        return self._since.get(identity, otherwise)

    def _add_priority(self, service: str, priority: int) -> None:
        known = self._priorities.setdefault(service, [])
        if priority not in known:
            known.append(priority)
            known.sort()

    def tokens_per_event(self, service: str) -> int:
        """Return the tokens in each event of a service's streams."""
        known = self.table.services.get(service)
        return 1 if known is None else known.tokens_per_event

    def priority_rank(self, route: Route, service: str) -> PriorityRank:
        """Return the rank of a route's priority among the routes of a service."""
        known = self._priorities.get(service, [route.priority])
        return PriorityRank(known.index(route.priority), len(known))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(name.partition(":")[0])
        if routes is None:
            return None
        end = len(path)
        while end > 0:
            cut = path.rfind("/", 0, end)
            if cut < 0:
                return None
            route = routes.get(path[: cut + 1])
            if route is not None:
                return route
            end = cut
        return None


def service_of(route: Route, call: OpaqueCall) -> str:
    """Return the service for a call, by the weights of the route's shares.

    Calls of one program, or about one object, stay with one service.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    key = call.program or call.affinity or call.id
    point = xxhash.xxh64_intdigest(f"{route.name}|{key}".encode()) / HASH_RANGE
    point *= sum(share.weight for share in route.shares)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def route_identity(route: Route) -> str:
    """Return a text that changes when a route gets other services or weights."""
    shares = ",".join(f"{share.service}:{share.weight}" for share in route.shares)
    return f"{route.host.lower()}{route.path_prefix} {shares}"


def stable_identity(route: Route, call: OpaqueCall) -> str:
    """Return the identity of a call's route; empty if an attempt's id decides."""
    is_same_service = len(route.shares) == 1 or bool(call.program or call.affinity)
    return route_identity(route) if is_same_service else ""


def affinity_key_of(route: Route, call: OpaqueCall) -> str:
    """Return the key of calls that should run at the same engine for its cache."""
    if call.program:
        return call.program if route.is_stream else ""
    return call.affinity if route.is_sticky else ""
