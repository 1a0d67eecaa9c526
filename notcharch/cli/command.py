"""The shape of a command; commands of other packages register as entry points.

The group is `notcharch.commands`; each entry point names a `CommandSpec`.
"""

import argparse
from collections.abc import Callable

import attrs


@attrs.frozen
class CommandSpec:
    """One command: its name, one-line help, arguments, and what it does.

    `run` returns the exit status: 0 done, 1 refused or failed, 2 bad usage or
    findings, 3 the system cannot be reached.
    """

    name: str
    summary: str
    configure: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace], int]
