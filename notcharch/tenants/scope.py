"""Scopes names chosen by callers to their tenant.

Two tenants may choose the same name for a program, call or turn. Scoped names keep them
apart, so that no tenant uses the budget of another or reads its history.
"""

from notcharch.values.scoping import SEPARATOR


def scoped_name(tenant: str, name: str) -> str:
    """Return a name scoped to a tenant; unchanged if either is empty."""
    return f"{tenant}{SEPARATOR}{name}" if tenant and name else name
