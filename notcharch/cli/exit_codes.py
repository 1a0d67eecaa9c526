"""Exit statuses of every command; docs/operations/command-line.md explains them."""

DONE = 0
FAILED = 1
"""Refused or failed."""

BAD_USAGE = 2
"""Bad usage, or findings in what was given."""

UNREACHABLE = 3
"""The system cannot be reached."""

INTERNAL_ERROR = 70
"""A fault of the program itself; details are in the log."""

INTERRUPTED = 130
