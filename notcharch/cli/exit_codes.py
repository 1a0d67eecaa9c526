"""Exit statuses of all commands; see docs/operations/command-line.md."""

DONE = 0
FAILED = 1
"""The request was refused or failed."""

BAD_USAGE = 2
"""Usage error, or findings in the input."""

UNREACHABLE = 3
"""The system cannot be reached."""

INTERNAL_ERROR = 70
"""Unexpected exception; details are in the log."""

INTERRUPTED = 130
