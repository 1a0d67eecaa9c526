"""Shares the load of engines among daemons, through a few load trackers per service."""
