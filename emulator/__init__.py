"""Stand-ins for the outside systems, written to docs/platform-protocols.md."""
