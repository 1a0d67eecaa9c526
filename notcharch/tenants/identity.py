"""Whose call it is: from the keys that a request carries to a tenant. Pure.

A request is judged once, when its head has been read. Nothing else that the caller says
about itself counts.
"""

import enum
from collections.abc import Sequence

from result import Err, Ok, Result

from notcharch.tenants.interface import Tenant
from notcharch.tenants.keys import TenantKeys

MAX_KEY_BYTES = 1024
"""Bytes. Keys seen so far have 20; a longer one than this isn't looked up."""


class IdentityFault(enum.Enum):
    """Why a request has no tenant."""

    NO_KEY = "no key"
    SEVERAL_KEYS = "several keys"
    UNREADABLE_KEY = "the key can't be read"
    UNKNOWN_KEY = "unknown key"
    REMOVED_KEY = "the key was taken away"
    NO_FRESH_TABLE = "the newest keys are not known"
    """Keys may have been added or taken away since the table was last known to be the
    newest: nothing certain can be said of any key."""


def read_key(presented: Sequence[bytes]) -> Result[str, IdentityFault]:
    """Give the one key of a request, from all headers that may hold one."""
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
    """Give the tenant whose key a request carries.

    `is_fresh` tells whether `keys` were the newest recently enough for a verdict.
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
