"""What a tenant has used of its limit, as one owner tells the next."""

import msgspec


class TenantUse(msgspec.Struct, frozen=True, array_like=True):
    """The state of one tenant's limit."""

    level: float
    """Calls left in its bucket."""
    recent: list[float]
    """Calls let in within the last window, by slots of `recent_calls`, newest first."""
