"""Partitions of the region's state: deterministic state machines with journals."""
