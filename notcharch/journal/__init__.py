"""Durable state, journalled in partitions of the platform's log service."""
