"""Names that callers choose, kept apart by tenant.

Two tenants may call a program, a call or a turn alike. Under scoped names they are two:
neither spends the other's budget nor reads its history.
"""

SEPARATOR = "\x1f"
"""Unit separator. Names with control characters are refused when a head is read, so no
caller can write another tenant's scoped name."""


def scoped_name(tenant: str, name: str) -> str:
    """Give a name within a tenant; without a tenant, or a name, the name itself."""
    return f"{tenant}{SEPARATOR}{name}" if tenant and name else name
