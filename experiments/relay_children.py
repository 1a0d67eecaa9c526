"""The processes of the relay benchmark, started and ended by their ids."""

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import psutil

STOP_SECONDS = 10.0


def announce(line: str) -> None:
    """Print a line for the parent process."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


@attrs.frozen
class ChildServer:
    """A server process: its address and its processor time."""

    address: str
    _process: psutil.Process

    def processor_seconds(self) -> float:
        """Give user and system time so far."""
        times = self._process.cpu_times()
        return float(times.user + times.system)


@contextmanager
def child_server(module: str, *arguments: str) -> Iterator[ChildServer]:
    """Run a module whose first line is its address; ends it afterwards."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments], stdout=subprocess.PIPE, text=True
    )
    try:
        assert process.stdout is not None
        address = process.stdout.readline().strip()
        yield ChildServer(address, psutil.Process(process.pid))
    finally:
        process.terminate()
        try:
            process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def run_child(module: str, *arguments: str, timeout_seconds: float) -> str:
    """Run a module to its end; gives its output."""
    command = [sys.executable, "-m", module, *arguments]
    done = subprocess.run(
        command, stdout=subprocess.PIPE, text=True, check=True, timeout=timeout_seconds
    )
    return done.stdout
