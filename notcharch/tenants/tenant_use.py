"""The used part of a tenant's limit, passed from an owner to its successor."""

import msgspec


class TenantUse(msgspec.Struct, frozen=True, array_like=True):
    """The state of one tenant's limit."""

    level: float
    """Calls available in its bucket."""
    recent: list[float]
    """Calls admitted within the last window, by slots of `recent_calls`, newest
    first."""
