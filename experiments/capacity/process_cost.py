"""The memory of a daemon process before it holds any state.

python -m experiments.capacity.process_cost
"""

import argparse
import importlib
import os
from pathlib import Path

DAEMON = "notcharch.daemon.process"


def resident_bytes() -> int:
    """Give the memory that this process has resident now."""
    fields = Path("/proc/self/statm").read_text(encoding="ascii").split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def main() -> int:
    """Print what is resident after everything of a daemon is imported."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    importlib.import_module(DAEMON)
    print(f"process with all modules: {resident_bytes() / 1e6:.1f} MB")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
