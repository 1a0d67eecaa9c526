"""notcharch: a scheduler for agent programs, between callers and engines."""

__version__ = "0.1.0"
