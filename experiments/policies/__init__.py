"""Scheduling policies that the experiments compare, by name."""
