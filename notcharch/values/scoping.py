"""How a name is joined with the tenant that it belongs to."""

SEPARATOR = "\x1f"
"""Unit separator. Request heads with control characters in names are rejected, so
callers can't forge scoped names."""
