"""Numbered, typed log events."""
