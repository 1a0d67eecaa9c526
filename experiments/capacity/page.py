"""Writes docs/CAPACITY.md from the committed measurements.

    python -m experiments.capacity.page [--check]

The prose is `page.md` beside this module; `{{name}}` there is a figure or a table.
"""

import argparse
import re
import sys
from pathlib import Path

import msgspec

from experiments.capacity.figures import page_figures
from experiments.capacity.measurement import DIRECTORY

ROOT = Path(__file__).parent.parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
TEMPLATE = Path(__file__).with_name("page.md")
_NAME = re.compile(r"\{\{([a-z_0-9]+)\}\}")


def fill(template: str, figures: dict[str, str]) -> str:
    """Put figures into a template; raises LookupError for a name that is missing.

    A figure that the template does not use is an error, too: ValueError.
    """
    unused = set(figures) - set(_NAME.findall(template))
    if unused:
        raise ValueError(f"not on the page: {sorted(unused)}")
    return _NAME.sub(lambda found: figures[found[1]], template)


def page(directory: Path = DIRECTORY) -> str:
    """Write the page."""
    return fill(TEMPLATE.read_text(encoding="utf-8"), page_figures(directory))


def main() -> int:
    """Write the page, or with `--check` compare it; exit status 1 when it differs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="compare, write nothing")
    arguments = parser.parse_args()
    try:
        written = page()
    except (LookupError, ValueError, OSError, msgspec.DecodeError) as error:
        sys.stderr.write(f"the page cannot be written: {error!r}\n")
        return 1
    if not arguments.check:
        PAGE.write_text(written, encoding="utf-8")
        return 0
    if not PAGE.exists() or PAGE.read_text(encoding="utf-8") != written:
        sys.stderr.write(
            f"run python -m experiments.capacity.page: {PAGE.name} differs\n"
        )
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
