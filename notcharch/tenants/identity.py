"""Identifies the tenant of a request by its API key. Pure.

The key is checked once, when the head of the request has been read. Other claims of the
caller about its identity are ignored.
"""

import enum
from collections.abc import Sequence

from result import Err, Ok, Result

from notcharch.tenants.interface import Tenant
from notcharch.tenants.keys import TenantKeys

MAX_KEY_BYTES = 1024
"""A longer key is rejected without a lookup."""


class IdentityFault(enum.Enum):
    """Why no tenant was identified."""

    NO_KEY = "no key"
    SEVERAL_KEYS = "several keys"
    UNREADABLE_KEY = "the key can't be read"
    UNKNOWN_KEY = "unknown key"
    REMOVED_KEY = "the key was taken away"
    NO_FRESH_TABLE = "the newest keys are not known"
    """Keys may have been added or revoked since the table was last confirmed, so no key
    can be accepted or rejected."""


def read_key(presented: Sequence[bytes]) -> Result[str, IdentityFault]:
    """Return the key of a request, from all headers that may hold one."""
    if not presented:
        return Err(IdentityFault.NO_KEY)
    if len(presented) > 1:
        return Err(IdentityFault.SEVERAL_KEYS)
    key = presented[0].strip()
    if not key:
        return Err(IdentityFault.NO_KEY)
    if len(key) > MAX_KEY_BYTES or not key.isascii():
        return Err(IdentityFault.UNREADABLE_KEY)
    return Ok(key.decode("ascii"))


def identify(
    presented: Sequence[bytes], keys: TenantKeys, *, is_fresh: bool
) -> Result[Tenant, IdentityFault]:
    """Return the tenant that holds the key of a request.

    `is_fresh`: whether `keys` were confirmed recently enough.
    """
    read = read_key(presented)
    if isinstance(read, Err):
        return read
    if not is_fresh:
        return Err(IdentityFault.NO_FRESH_TABLE)
    key = read.ok_value
    tenant = keys.holder(key)
    if tenant is not None:
        return Ok(tenant)
    if keys.was_removed(key):
        return Err(IdentityFault.REMOVED_KEY)
    return Err(IdentityFault.UNKNOWN_KEY)
