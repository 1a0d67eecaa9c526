"""Partitions of the region's state: deterministic machines on journals."""
