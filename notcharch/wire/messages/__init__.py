"""Typed messages between daemons, a module for each subsystem."""
