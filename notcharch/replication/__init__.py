"""Epochs, replica groups, state transfer, and the archive to the log service."""
