"""The operator's configuration and the engines' entries, as the product's types."""

from collections.abc import Iterable

import msgspec

from notcharch.calls.interface import Engine, Route, Service, ServiceShare
from notcharch.calls.routing import RouteTable
from notcharch.http.server import ServerLimits
from notcharch.scheduling.cold_engines import ColdLimit
from notcharch.tenants.interface import RateLimit, Tenant
from notcharch.tenants.keys import keys_of

REPEATABLE = "idempotent"
STREAM = "streaming"
DRAINING = "draining"
DRAINED_ZONE_PREFIX = "evacuate/"
"""Before a zone's name, in the keys of drained zones."""


class SplitEntry(msgspec.Struct):
    """One part of a split route."""

    service: str
    weight: float


class RouteEntry(msgspec.Struct):
    """A route as the operator writes it."""

    name: str
    host: str
    path_prefix: str
    kind: str = "non_idempotent"
    timeout_ms: float = 30000
    target_latency_ms: float = 1000
    priority: int = 0
    service: str = ""
    traffic_split: list[SplitEntry] = []
    retry_attempts: int = 1
    retains_transcripts: bool = False
    retention_s: float = 60.0
    sticky_sessions: bool = False
    resumable: bool = False
    public: bool = False
    allowed_regions: list[str] | None = None


class EngineEntry(msgspec.Struct):
    """What all engines of a service are."""

    tokens_per_event: int = 1


class ServiceEntry(msgspec.Struct):
    """A service as the operator writes it."""

    name: str
    connection_limit: int = 100
    engine: EngineEntry | None = None
    cold_start_s: float = 0.0
    """For so long an engine is slow after its start; 0: never."""
    cold_per_s: float = 0.0
    """Calls a second that it bears meanwhile, from all daemons together."""


class LimitsEntry(msgspec.Struct):
    """What clients may send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class TenantEntry(msgspec.Struct):
    """A tenant as the operator writes it."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    """Calls a second over all daemons; 0 means no limit."""
    burst: float = 0.0
    allowed_regions: list[str] | None = None


class ConfigurationEntry(msgspec.Struct):
    """The whole configuration."""

    version: int
    routes: list[RouteEntry]
    services: list[ServiceEntry]
    limits: LimitsEntry
    tenants: list[TenantEntry] | None = None


class ServerEntry(msgspec.Struct):
    """An engine's own entry in the store."""

    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    cold_remaining_ms: float = 0.0
    """For so long it is still slow after its start, as it was when it wrote this."""


CONFIGURATION = msgspec.json.Decoder(ConfigurationEntry)
SERVER = msgspec.json.Decoder(ServerEntry)


def regions_of(names: list[str] | None) -> frozenset[str] | None:
    """Translate regions of residence; an empty list names none, as if left out."""
    return frozenset(names) if names else None


def drained_zones_of(keys: Iterable[str]) -> frozenset[str]:
    """Give the zones that are drained, from the keys of the operator's topic."""
    return frozenset(
        key.removeprefix(DRAINED_ZONE_PREFIX)
        for key in keys
        if key.startswith(DRAINED_ZONE_PREFIX)
    )


def route_of(entry: RouteEntry) -> Route:
    """Translate a route."""
    shares = tuple(
        ServiceShare(part.service, part.weight) for part in entry.traffic_split
    )
    is_stream = entry.kind == STREAM
    return Route(
        name=entry.name,
        host=entry.host,
        path_prefix=entry.path_prefix,
        shares=shares or (ServiceShare(entry.service, 1.0),),
        is_repeatable=entry.kind == REPEATABLE or (is_stream and entry.resumable),
        is_stream=is_stream,
        is_resumable=entry.resumable,
        is_sticky=entry.sticky_sessions,
        max_engines=entry.retry_attempts,
        timeout_seconds=entry.timeout_ms / 1000,
        objective_seconds=entry.target_latency_ms / 1000,
        priority=entry.priority,
        stores_turns=entry.retains_transcripts,
        retention_seconds=entry.retention_s,
        is_public=entry.public,
        regions=regions_of(entry.allowed_regions),
    )


def tenant_of(entry: TenantEntry) -> Tenant:
    """Translate a tenant, without its keys."""
    is_limited = entry.rate_per_s > 0
    limit = RateLimit(entry.rate_per_s, entry.burst) if is_limited else None
    regions = regions_of(entry.allowed_regions)
    return Tenant(entry.name, entry.priority, limit, regions)


def table_of(value: bytes) -> RouteTable:
    """Translate the configuration; `msgspec.ValidationError` if it can't be read."""
    entry = CONFIGURATION.decode(value)
    services = {
        service.name: Service(
            service.name,
            service.connection_limit,
            service.engine.tokens_per_event if service.engine else 1,
            ColdLimit(service.cold_start_s, service.cold_per_s),
        )
        for service in entry.services
    }
    limits = ServerLimits(
        entry.limits.max_header_bytes,
        entry.limits.max_body_bytes,
        entry.limits.header_timeout_ms / 1000,
        entry.limits.idle_timeout_ms / 1000,
    )
    routes = tuple(route_of(route) for route in entry.routes)
    keys = None
    if entry.tenants is not None:
        keys = keys_of((tenant_of(tenant), tenant.api_keys) for tenant in entry.tenants)
    return RouteTable(entry.version, routes, services, limits, keys)


def engine_of(id: str, value: bytes) -> Engine:
    """Translate an engine's entry; `msgspec.ValidationError` if it can't be read."""
    entry = SERVER.decode(value)
    host, _, port = entry.address.rpartition(":")
    return Engine(
        id=id,
        service=entry.service,
        host=host,
        port=int(port),
        zone=entry.zone,
        slots=max(entry.slots, 1),
        is_draining=entry.state == DRAINING,
        cold_seconds=max(entry.cold_remaining_ms, 0.0) / 1000,
    )
