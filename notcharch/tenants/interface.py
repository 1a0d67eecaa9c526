"""The description of a tenant in the table."""

import msgspec


class RateLimit(msgspec.Struct, frozen=True):
    """The maximum rate of a tenant's calls over all daemons together."""

    per_second: float
    burst: float
    """Number of calls beyond the rate that may come at once."""


class Tenant(msgspec.Struct, frozen=True):
    """A tenant, without its keys, so that they can't appear in log lines."""

    name: str
    priority: int | None = None
    """Overrides the priority of the route; 0 is the most urgent."""
    limit: RateLimit | None = None
    """None for an unlimited tenant."""
    regions: frozenset[str] | None = None
    """Where its calls may be served and stored; None: anywhere."""
