"""Builds, starts, drains and stops a daemon."""
