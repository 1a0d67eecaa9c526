"""HTTP servers over the models; docs/platform-protocols.md has the wire."""
