"""The adapter to the users' platform: translation only, no decision and no state.

The only package, with deploy/, that knows the platform's names.
"""
