"""The HTTP interface for callers; all decisions are made by lower layers."""
