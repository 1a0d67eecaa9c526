"""The callers' HTTP interface; it decides nothing."""
