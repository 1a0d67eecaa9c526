"""The interface of a command.

Other packages add commands as entry points of the group `notcharch.commands`, each of
which refers to a `CommandSpec`.
"""

import argparse
from collections.abc import Callable

import attrs


@attrs.frozen
class CommandSpec:
    """A command: its name, one-line help, arguments and implementation.

    `run` returns the exit status: 0 success, 1 refused or failed, 2 usage error or
    findings, 3 the system cannot be reached.
    """

    name: str
    summary: str
    configure: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace], int]
