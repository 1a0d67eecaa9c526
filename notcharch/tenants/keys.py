"""The API keys of all tenants in one version of the table."""

from collections.abc import Iterable, Mapping

from notcharch.tenants.interface import Tenant

MAX_REMOVED_KEYS = 4096
"""Number of the most recently removed keys that are kept, so that logs distinguish them
from unknown keys. They take at most about 0.4 MB, at 100 bytes each."""


class TenantKeys:
    """The keys of one table version, which are never printed or compared."""

    def __init__(self, holders: Mapping[str, Tenant]) -> None:
        """Index the tenants by their keys."""
        self._holders = dict(holders)
        self._tenants = {tenant.name: tenant for tenant in self._holders.values()}
        self._removed: dict[str, None] = {}

    def holder(self, key: str) -> Tenant | None:
        """Return the tenant that holds a key, if any."""
        return self._holders.get(key)

    def tenant(self, name: str) -> Tenant | None:
        """Return the tenant with a name, if it holds a key."""
        return self._tenants.get(name)

    def resident_regions(self) -> frozenset[str]:
        """Return all regions to which tenants restrict their calls."""
        tenants = self._tenants.values()
        return frozenset(
            region for tenant in tenants for region in tenant.regions or ()
        )

    def was_removed(self, key: str) -> bool:
        """Return whether an earlier version, seen by this process, had the key."""
        return key in self._removed

    def inherit_removed(self, former: "TenantKeys") -> None:
        """Record which keys of an earlier version were removed."""
        removed = [*former._removed, *former._holders]
        absent = [key for key in removed if key not in self._holders]
        self._removed = dict.fromkeys(absent[-MAX_REMOVED_KEYS:])


def index_keys(tenants: Iterable[tuple[Tenant, Iterable[str]]]) -> TenantKeys:
    """Index tenants by their keys; a duplicate key belongs to its first holder."""
    holders: dict[str, Tenant] = {}
    for tenant, keys in tenants:
        for key in keys:
            holders.setdefault(key, tenant)
    return TenantKeys(holders)
