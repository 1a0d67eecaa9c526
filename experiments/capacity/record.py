"""Runs a measuring command and commits what it printed to a measurement file.

    python -m experiments.capacity.record membership programs queue …
    python -m experiments.capacity.record membership --output printed.txt

`--output` takes the output of an earlier run of the same command.
"""

import argparse
import os
import platform
import shlex
import subprocess
import sys
from pathlib import Path

from experiments.capacity.measurement import Measurement, read_output, save

COMMANDS = {
    "membership": "python -m experiments.membership_cost --members 4 20 40 75 "
    "--seconds 120",
    "programs": "python -m experiments.program_cost",
    "queue": "python -m experiments.queue_cost",
    "relay": "python -m experiments.capacity.relay_cost",
    "polls": "python -m experiments.capacity.poll_cost",
    "commits": "python -m experiments.capacity.commit_cost",
    "table": "python -m experiments.capacity.table_cost",
    "process": "python -m experiments.capacity.process_cost",
}


def record(name: str, output: Path | None) -> None:
    """Run the command of a measurement, or take its output, and save it."""
    load_before = os.getloadavg()[0]
    command = COMMANDS[name]
    text = run(command) if output is None else output.read_text(encoding="utf-8")
    tables, figures = read_output(text)
    save(
        Measurement(
            name,
            command,
            os.cpu_count() or 0,
            platform.python_version(),
            load_before,
            os.getloadavg()[0],
            tables,
            figures,
        )
    )


def run(command: str) -> str:
    """Run a command with this interpreter; gives its output, raises if it failed."""
    program, *arguments = shlex.split(command)
    start = ["-m", "notcharch.cli.main"] if program == "notcharch" else []
    done = subprocess.run(
        [sys.executable, *start, *arguments], stdout=subprocess.PIPE, check=True
    )
    return done.stdout.decode()


def main() -> int:
    """Record each named measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="+", choices=sorted(COMMANDS))
    parser.add_argument("--output", type=Path, help="output of an earlier run")
    arguments = parser.parse_args()
    for name in arguments.names:
        record(name, arguments.output)
    return 0


if __name__ == "__main__":
    sys.exit(main())
