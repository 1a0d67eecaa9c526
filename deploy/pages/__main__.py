"""`python -m deploy.pages`: writes the pages that come from the journal."""

import argparse
import sys
from pathlib import Path

from deploy.pages.capacity import capacity_page
from deploy.pages.entries import read_entries
from deploy.pages.results import plot_scores, results_page

RESULTS = Path("docs/results.md")
CAPACITY = Path("docs/CAPACITY.md")
SCORES = Path("docs/results/scores.png")
STALE = 1


def main() -> int:
    """Write the pages, or compare them."""
    words = argparse.ArgumentParser(prog="python -m deploy.pages")
    words.add_argument("--check", action="store_true", help="write nothing, compare")
    is_check = words.parse_args().check
    scores = list(read_entries("score"))
    pages = {
        RESULTS: results_page(scores),
        CAPACITY: capacity_page(scores, list(read_entries("sweep"))),
    }
    if is_check:
        stale = [path for path, text in pages.items() if path.read_text() != text]
        for path in stale:
            sys.stderr.write(f"{path}: not what the journal says; make pages\n")
        return STALE if stale else 0
    for path, text in pages.items():
        path.write_text(text)
    plot_scores(scores, SCORES)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
