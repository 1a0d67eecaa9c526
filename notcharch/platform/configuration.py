"""Decodes the operator's configuration and the engines' entries."""

from collections.abc import Iterable
from ipaddress import IPv4Address
from typing import Annotated

import msgspec
from msgspec import Meta

from notcharch.calls.interface import Engine, Route, Service, ServiceShare
from notcharch.calls.routing import RouteTable
from notcharch.http.exchange import ServerLimits
from notcharch.platform.settings import Address
from notcharch.scheduling.cold_engines import ColdLimit
from notcharch.tenants.interface import RateLimit, Tenant
from notcharch.tenants.keys import index_keys

IDEMPOTENT_KIND = "idempotent"
STREAMING_KIND = "streaming"
DRAINING_STATE = "draining"
ENGINE_STATES = frozenset(("ready", DRAINING_STATE))
DRAINED_ZONE_PREFIX = "evacuate/"
"""Prefix of the keys of drained zones, followed by the zone's name."""
MAX_COLD_MS = 3_600_000
"""The longest remaining cold time that is believed: engines warm up in seconds."""
MAX_SLOTS = 1_000_000
MAX_PORT = 65535


class SplitEntry(msgspec.Struct):
    """One service of a split route, with its weight."""

    service: str
    weight: float


class RouteEntry(msgspec.Struct):
    """A route of the operator's configuration."""

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
    """Properties shared by all engines of a service."""

    tokens_per_event: int = 1


class ServiceEntry(msgspec.Struct):
    """A service of the operator's configuration."""

    name: str
    health_path: str = ""
    connection_limit: int = 100
    engine: EngineEntry | None = None
    cold_start_s: float = 0.0
    """How long an engine is cold after its start; 0 for never."""
    cold_per_s: float = 0.0
    """Calls per second that a cold engine can take, from all daemons together."""


class LimitsEntry(msgspec.Struct):
    """Limits on clients' requests and connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class TenantEntry(msgspec.Struct):
    """A tenant of the operator's configuration."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    """Calls per second over all daemons; 0 for no limit."""
    burst: float = 0.0
    allowed_regions: list[str] | None = None


class ConfigurationEntry(msgspec.Struct):
    """The operator's configuration."""

    version: int
    routes: list[RouteEntry]
    services: list[ServiceEntry]
    limits: LimitsEntry
    tenants: list[TenantEntry] | None = None


class ServerEntry(msgspec.Struct):
    """An engine's entry in the store."""

    service: str
    address: str
    zone: str = ""
    slots: Annotated[int, Meta(le=MAX_SLOTS)] = 1
    state: str = ""
    """One of `ENGINE_STATES`; else it does not tell whether the engine leaves."""
    cold_remaining_ms: Annotated[float, Meta(le=MAX_COLD_MS)] = 0.0
    """Remaining time for which the engine is cold, at the time of writing."""
    version: str = ""
    """Version of the engine's software."""
    born: int | None = None
    """Unix milliseconds of the engine's start, where it may start again under its id."""


CONFIGURATION_DECODER = msgspec.json.Decoder(ConfigurationEntry)
SERVER_DECODER = msgspec.json.Decoder(ServerEntry)


def to_regions(names: list[str] | None) -> frozenset[str] | None:
    """Convert the allowed regions; an empty list is the same as none."""
    return frozenset(names) if names else None


def parse_drained_zones(keys: Iterable[str]) -> frozenset[str]:
    """Return the drained zones from the keys of the operator's topic."""
    return frozenset(
        key.removeprefix(DRAINED_ZONE_PREFIX)
        for key in keys
        if key.startswith(DRAINED_ZONE_PREFIX)
    )


def to_route(entry: RouteEntry) -> Route:
    """Convert a route's entry to a `Route`."""
    shares = tuple(
        ServiceShare(part.service, part.weight) for part in entry.traffic_split
    )
    is_stream = entry.kind == STREAMING_KIND
    return Route(
        name=entry.name,
        host=entry.host,
        path_prefix=entry.path_prefix,
        shares=shares or (ServiceShare(entry.service, 1.0),),
        is_repeatable=entry.kind == IDEMPOTENT_KIND or (is_stream and entry.resumable),
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
        regions=to_regions(entry.allowed_regions),
    )


def to_tenant(entry: TenantEntry) -> Tenant:
    """Convert a tenant's entry to a `Tenant`, without its keys."""
    is_limited = entry.rate_per_s > 0
    limit = RateLimit(entry.rate_per_s, entry.burst) if is_limited else None
    regions = to_regions(entry.allowed_regions)
    return Tenant(entry.name, entry.priority, limit, regions)


def to_table(entry: ConfigurationEntry) -> RouteTable:
    """Convert the configuration."""
    services = {
        service.name: Service(
            service.name,
            service.connection_limit,
            service.engine.tokens_per_event if service.engine else 1,
            ColdLimit(service.cold_start_s, service.cold_per_s),
            service.health_path,
        )
        for service in entry.services
    }
    limits = ServerLimits(
        entry.limits.max_header_bytes,
        entry.limits.max_body_bytes,
        entry.limits.header_timeout_ms / 1000,
        entry.limits.idle_timeout_ms / 1000,
    )
    routes = tuple(to_route(route) for route in entry.routes)
    keys = None
    if entry.tenants is not None:
        keys = index_keys(
            (to_tenant(tenant), tenant.api_keys) for tenant in entry.tenants
        )
    return RouteTable(entry.version, routes, services, limits, keys)


def parse_address(text: str) -> Address:
    """Parse `IP:PORT`; raises `ValueError` if nobody can listen there."""
    host, _, port_text = text.rpartition(":")
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        message = "no port"
        raise ValueError(message)
    return Address(str(IPv4Address(host)), port)


def to_engine(id: str, entry: ServerEntry) -> Engine:
    """Convert an engine's entry; raises `ValueError` for an invalid address."""
    address = parse_address(entry.address)
    return Engine(
        id=id,
        service=entry.service,
        host=address.host,
        port=address.port,
        zone=entry.zone,
        slots=max(entry.slots, 1),
        is_draining=entry.state == DRAINING_STATE,
        cold_seconds=max(entry.cold_remaining_ms, 0.0) / 1000,
        version=entry.version,
        started_ms=entry.born,
    )
