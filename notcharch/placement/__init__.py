"""Placement: which daemon is responsible for a partition or engine, and routing to it."""
