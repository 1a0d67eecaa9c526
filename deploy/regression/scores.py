"""Scores deployments on the users' bench, one after the other."""

import subprocess
from collections.abc import Iterator
from pathlib import Path

import msgspec

STANDING_SET = Path(__file__).parent / "sites.txt"
GATE_PASSED = "GATE passed"


class Site(msgspec.Struct, frozen=True):
    """A deployment of the regression set."""

    file: Path
    """Within the folder of the kit that has the deployments."""
    most_jobs: int
    """Maximum number of its days played concurrently."""


class Scored(msgspec.Struct, frozen=True):
    """What the bench said of one deployment."""

    site: Site
    report: str

    @property
    def passed(self) -> bool:
        """Whether each day passed: no rule broken, no floor missed."""
        return GATE_PASSED in self.report


def read_sites(text: str) -> list[Site]:
    """Read lines of a site file and its jobs; `ValueError` names a line that is none."""
    sites: list[Site] = []
    for number, line in enumerate(text.splitlines(), start=1):
        fields = line.partition("#")[0].split()
        if not fields:
            continue
        match fields:
            case [file, jobs] if jobs.isdigit():
                sites.append(Site(Path(file), int(jobs)))
            case _:
                raise ValueError(f"line {number}: not SITE JOBS: {line!r}")
    return sites


def score_all(
    bench: Path, kit: Path, sites: list[Site], *, jobs: int, why: str
) -> Iterator[Scored]:
    """Score each site; the bench writes an entry of the journal for each."""
    for site in sites:
        command = [str(bench), "score", str(kit / site.file)]
        options = ["--jobs", str(min(jobs, site.most_jobs)), "--why", why]
        said = subprocess.run(
            [*command, *options], check=False, capture_output=True, text=True
        )
        yield Scored(site, said.stdout + said.stderr)
