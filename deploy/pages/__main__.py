"""`python -m deploy.pages`: writes the pages that come from the journal."""

import argparse
import sys
from pathlib import Path

from deploy.pages.capacity import capacity_page
from deploy.pages.entries import read_entries
from deploy.pages.hunts import hunts_page
from deploy.pages.results import plot_scores, results_page

RESULTS = Path("docs/results.md")
CAPACITY = Path("docs/CAPACITY.md")
HUNTS = Path("docs/hunts.md")
SCORES = Path("docs/results/scores.png")
STALE = 1


def written_pages() -> dict[Path, str]:
    """Give the text of each page as the journal has it."""
    scores = list(read_entries("score"))
    return {
        RESULTS: results_page(scores),
        CAPACITY: capacity_page(scores, list(read_entries("sweep"))),
        HUNTS: hunts_page(list(read_entries("hunt"))),
    }


def write_pages() -> None:
    """Write the pages and the picture."""
    for path, text in written_pages().items():
        path.write_text(text)
    plot_scores(list(read_entries("score")), SCORES)


def stale_pages() -> list[Path]:
    """Give the pages that are not what the journal says."""
    return [
        path
        for path, text in written_pages().items()
        if not path.exists() or path.read_text() != text
    ]


def main() -> int:
    """Write the pages, or compare them."""
    words = argparse.ArgumentParser(prog="python -m deploy.pages")
    words.add_argument("--check", action="store_true", help="write nothing, compare")
    if not words.parse_args().check:
        write_pages()
        return 0
    stale = stale_pages()
    for path in stale:
        sys.stderr.write(f"{path}: not what the journal says; make pages\n")
    return STALE if stale else 0


if __name__ == "__main__":
    raise SystemExit(main())
