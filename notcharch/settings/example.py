"""Writes and checks docs/notcharch.example.toml from the schema.

`python -m notcharch.settings.example` prints the page; `--check FILE` compares.
"""

import argparse
import json
import sys
import typing
from pathlib import Path

import msgspec
from msgspec import Meta

from notcharch.settings.schema import Section, Settings

RANGE_SIGNS = (("ge", "≥"), ("gt", ">"), ("le", "≤"), ("lt", "<"))


def example() -> str:
    """Give the example settings file, every key at its default."""
    lines = ["# Every setting at its default. Unknown keys are findings.", ""]
    for field in msgspec.structs.fields(Settings):
        lines += _section_lines(field.name, field.type)
    return "\n".join(lines)


def _section_lines(name: str, section_type: type[Section]) -> list[str]:
    lines = [f"# {(section_type.__doc__ or '').strip()}", f"[{name}]"]
    hints = typing.get_type_hints(section_type, include_extras=True)
    for field in msgspec.structs.fields(section_type):
        lines.append(f"# {_explanation(hints[field.name])}")
        lines.append(f"{field.name} = {json.dumps(field.default)}")
    return [*lines, ""]


def _explanation(hint: object) -> str:
    for item in typing.get_args(hint):
        if isinstance(item, Meta):
            return f"{item.description or ''}{_range(item)}"
    return ""


def _range(meta: Meta) -> str:
    parts = [
        f"{sign} {getattr(meta, name)}"
        for name, sign in RANGE_SIGNS
        if getattr(meta, name) is not None
    ]
    return f" ({', '.join(parts)})" if parts else ""


def main() -> int:
    """Print the example, or compare it with a file; exit status 1 on a difference."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", type=Path, metavar="FILE")
    arguments = parser.parse_args()
    if arguments.check is None:
        sys.stdout.write(example())
        return 0
    if arguments.check.read_text() == example():
        return 0
    sys.stderr.write(f"{arguments.check} is not current\n")
    return 1


if __name__ == "__main__":
    sys.exit(main())
