"""The regions in which a call may be served. Pure."""

from collections.abc import Mapping

ANYWHERE: frozenset[str] | None = None
"""No residence: any region may serve the call."""


def joined(
    route: frozenset[str] | None, tenant: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions that both a route and a tenant allow; None for any.

    If the result is empty, no region may serve the call.
    """
    if route is None:
        return tenant
    if tenant is None:
        return route
    return route & tenant


def allows_zone(
    regions: frozenset[str] | None, zone: str, region_of: Mapping[str, str]
) -> bool:
    """Return whether a call may be served in a zone.

    A zone of unknown region is in none of the regions.
    """
    return regions is None or region_of.get(zone) in regions
