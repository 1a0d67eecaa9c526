"""Concurrency limits of services across all daemons, as leased allotments."""
