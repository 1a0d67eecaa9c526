"""Adapter to the users' platform: pure translation, without decisions or state.

Only this package and deploy/ use the platform's names.
"""
