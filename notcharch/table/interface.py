"""Interface of the table: its rows and keys, and read access to them."""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec

from notcharch.values.identifiers import (
    PoolName,
    ServiceName,
    TableVersion,
    TenantName,
    ZoneName,
)


class ServiceRow(msgspec.Struct, frozen=True):
    """A service with its weights and limits."""

    service: ServiceName
    tenant: TenantName
    pool: PoolName
    """The model or application whose engines run the service's calls."""

    share: float = 1.0
    """Scheduling weight relative to other services, above 0."""

    priority: int = 5
    """0 (highest) to 9 (lowest)."""

    budget_tokens: int = 1_000_000
    """Token limit of a program, including its children."""

    concurrency: int = 16
    """Maximum number of concurrent calls of the service, over all daemons."""

    calls_per_program: int = 1000
    max_answer_tokens: int = 1024
    """Default and maximum token limit of a single response."""

    idle_seconds: float = 3600.0
    """A program that has no calls for this time is ended."""

    max_age_seconds: float = 86400.0
    """Maximum age of a program; older programs are stopped."""

    max_wait_seconds: float = 60.0
    """A call whose expected queueing time is longer is refused immediately."""

    paused: bool = False


class TenantKey(msgspec.Struct, frozen=True):
    """A caller's key, stored only as the hex SHA-256 digest of its text."""

    tenant: TenantName
    key_sha256: str


class Table(msgspec.Struct, frozen=True):
    """A complete version of the table."""

    version: TableVersion
    rows: tuple[ServiceRow, ...]
    keys: tuple[TenantKey, ...]
    drained_zones: tuple[ZoneName, ...] = ()
    """Zones whose engines get no new work."""


class TableSource(enum.Enum):
    """Where a replica received its version from."""

    NONE = "none"
    LOG = "log"
    PEER = "peer"


class TableView(Protocol):
    """Read access to the version in force in this daemon."""

    @property
    def version(self) -> TableVersion:
        """The version in force; it never decreases."""

    def row(self, service: ServiceName) -> ServiceRow | None:
        """Return a service's row, or None."""

    def rows(self) -> tuple[ServiceRow, ...]:
        """Return all rows, sorted by service."""

    def drained_zones(self) -> frozenset[ZoneName]:
        """Return the zones whose engines get no new work."""

    def tenant_of_key(self, key: str) -> TenantName | None:
        """Return the tenant of a caller's key, or None."""

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when a newer version comes into force."""
