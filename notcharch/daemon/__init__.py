"""Construction, startup, draining and shutdown of a daemon process."""
