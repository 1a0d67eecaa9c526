"""Writes and checks docs/events.md from the event classes.

`python -m notcharch.events.catalogue` prints the page; `--check FILE` compares.
"""

import argparse
import importlib
import inspect
import pkgutil
import sys
from collections.abc import Iterator
from pathlib import Path

import msgspec

import notcharch.events as events_package
from notcharch.events.event import Event

HEADER = (
    "# Log events\n\n"
    "Written by `python -m notcharch.events.catalogue`; do not edit.\n\n"
    "| number | event | fields | meaning |\n|---|---|---|---|\n"
)


def event_classes() -> list[type[Event]]:
    """Give every event class of the package, by number."""
    classes: dict[str, type[Event]] = {}
    for module_info in pkgutil.iter_modules(events_package.__path__):
        module = importlib.import_module(f"notcharch.events.{module_info.name}")
        for event_class in _events_of(module):
            classes[event_class.__name__] = event_class
    return sorted(classes.values(), key=lambda event_class: event_class.number)


def _events_of(module: object) -> Iterator[type[Event]]:
    for _, value in inspect.getmembers(module, inspect.isclass):
        if issubclass(value, Event) and value is not Event:
            yield value


def findings() -> list[str]:
    """Give numbers that are missing or used twice."""
    problems: list[str] = []
    seen: dict[int, str] = {}
    for event_class in event_classes():
        name = event_class.__name__
        if event_class.number <= 0:
            problems.append(f"{name} has no number")
        elif event_class.number in seen:
            problems.append(f"{name} and {seen[event_class.number]} share a number")
        seen[event_class.number] = name
    return problems


def page() -> str:
    """Give the text of docs/events.md."""
    return HEADER + "".join(_line(event_class) for event_class in event_classes())


def _line(event_class: type[Event]) -> str:
    fields = ", ".join(
        f"`{field.name}`" for field in msgspec.structs.fields(event_class)
    )
    meaning = " ".join((event_class.__doc__ or "").split())
    return f"| {event_class.number} | {event_class.__name__} | {fields} | {meaning} |\n"


def main() -> int:
    """Print the page, or compare it with a file; exit status 1 on a difference."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", type=Path, metavar="FILE")
    arguments = parser.parse_args()
    problems = findings()
    if arguments.check is None:
        sys.stdout.write(page())
    elif arguments.check.read_text() != page():
        problems.append(f"{arguments.check} is not current")
    for problem in problems:
        sys.stderr.write(problem + "\n")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
