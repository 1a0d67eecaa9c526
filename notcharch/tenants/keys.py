"""Which tenant holds which API key, in one version of the table."""

from collections.abc import Iterable, Mapping

from notcharch.tenants.interface import Tenant

MAX_REMOVED_KEYS = 4096
"""So many removed keys are remembered, newest first, to tell them from unknown ones in
the log. At 100 bytes each they take 0.4 MB at most."""


class TenantKeys:
    """The keys of one table version. Neither prints nor compares what it holds."""

    def __init__(self, holders: Mapping[str, Tenant]) -> None:
        """Index the tenants by their keys."""
        self._holders = dict(holders)
        self._tenants = {tenant.name: tenant for tenant in self._holders.values()}
        self._removed: dict[str, None] = {}

    def holder(self, key: str) -> Tenant | None:
        """Give the tenant that holds a key, if any does."""
        return self._holders.get(key)

    def tenant(self, name: str) -> Tenant | None:
        """Give a tenant that holds a key, by its name."""
        return self._tenants.get(name)

    def resident_regions(self) -> frozenset[str]:
        """Give all regions in which any tenant's calls reside."""
        tenants = self._tenants.values()
        return frozenset(
            region for tenant in tenants for region in tenant.regions or ()
        )

    def was_removed(self, key: str) -> bool:
        """Tell whether an earlier version, seen by this process, had the key."""
        return key in self._removed

    def inherit_removed(self, former: "TenantKeys") -> None:
        """Remember which keys an earlier version had and this one has not."""
        removed = [*former._removed, *former._holders]
        absent = [key for key in removed if key not in self._holders]
        self._removed = dict.fromkeys(absent[-MAX_REMOVED_KEYS:])


def index_keys(tenants: Iterable[tuple[Tenant, Iterable[str]]]) -> TenantKeys:
    """Index tenants and their keys; the first holder of a key has it."""
    holders: dict[str, Tenant] = {}
    for tenant, keys in tenants:
        for key in keys:
            holders.setdefault(key, tenant)
    return TenantKeys(holders)
