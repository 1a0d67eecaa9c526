"""`python -m deploy.regression`: plays the regression set and rewrites the pages."""

import argparse
from pathlib import Path

from deploy.pages.__main__ import write_pages
from deploy.regression.scores import STANDING_SET, read_sites, score_all

GATE_FAILED = 1


def parser() -> argparse.ArgumentParser:
    """Give the command line."""
    words = argparse.ArgumentParser(prog="python -m deploy.regression")
    words.add_argument("--bench", type=Path, required=True, help="the users' bench")
    words.add_argument(
        "--kit", type=Path, required=True, help="the folder with the deployments"
    )
    words.add_argument("--jobs", type=int, default=4, help="days at a time, at most")
    words.add_argument("--why", required=True, help="a line for the journal")
    words.add_argument("--only", default="", help="a part of the site files' names")
    return words


def main() -> int:
    """Print each score; the exit status tells whether all gates were passed."""
    words = parser().parse_args()
    sites = [
        site
        for site in read_sites(STANDING_SET.read_text())
        if words.only in str(site.file)
    ]
    status = 0
    for scored in score_all(
        words.bench, words.kit, sites, jobs=words.jobs, why=words.why
    ):
        print(f"== {scored.site.file}\n{scored.report}", flush=True)
        if not scored.passed:
            status = GATE_FAILED
    write_pages()
    return status


if __name__ == "__main__":
    raise SystemExit(main())
