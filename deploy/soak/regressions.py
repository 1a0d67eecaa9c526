"""Plays every seed that ever failed again, one process after another."""

import subprocess
import sys
from pathlib import Path

import msgspec
from result import Err, Ok, Result

SEEDS = Path(__file__).with_name("seeds.txt")
FIELDS_OF_A_LINE = 4
PLANNED, ALL = "planned", "all"
DONE, BROKEN, UNREADABLE = 0, 1, 2


class Regression(msgspec.Struct, frozen=True):
    """A seed that failed once."""

    seed: int
    seconds: float
    is_planned_only: bool
    cause: str

    def command(self) -> list[str]:
        """Give the command that plays it."""
        command = [sys.executable, "-m", "deploy.soak"]
        command += ["--seed", str(self.seed), "--seconds", str(self.seconds)]
        return command + (["--planned"] if self.is_planned_only else [])


def read_seeds(text: str) -> Result[list[Regression], list[str]]:
    """Read the list of seeds, or say everything that is wrong with it."""
    found: list[Regression] = []
    findings: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS_OF_A_LINE or not all(fields):
            findings.append(f"line {number}: needs seed | seconds | kind | cause")
            continue
        seed, seconds, kind, cause = fields
        if not seed.isdigit() or kind not in (PLANNED, ALL):
            findings.append(f"line {number}: a seed is a number, a kind planned or all")
            continue
        found.append(Regression(int(seed), float(seconds), kind == PLANNED, cause))
    return Err(findings) if findings else Ok(found)


def main() -> int:
    """Play all; 0 if none failed."""
    seeds = read_seeds(SEEDS.read_text())
    if isinstance(seeds, Err):
        for finding in seeds.err_value:
            sys.stderr.write(f"{SEEDS.name}: {finding}\n")
        return UNREADABLE
    failed = [
        regression.seed
        for regression in seeds.ok_value
        if subprocess.run(regression.command(), check=False).returncode
    ]
    sys.stdout.write(f"{len(seeds.ok_value)} seeds played, failed: {failed}\n")
    return BROKEN if failed else DONE


if __name__ == "__main__":
    raise SystemExit(main())
