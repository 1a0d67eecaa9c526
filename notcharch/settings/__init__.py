"""Checked settings from a file and flags."""
