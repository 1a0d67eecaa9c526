"""Reads log lines, also those that a collector put a time and a machine before."""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from notcharch.values.decoding import DECODING_ERRORS

OBJECT_START = "{"


class LogLine(msgspec.Struct, frozen=True):
    """One event with the daemon that wrote it."""

    at: float
    """Seconds: the collector's if it gave them, else the daemon's."""
    machine: str
    number: int
    name: str
    fields: dict[str, Any]

    def text(self, key: str) -> str:
        """Give a field as text; nothing if it is missing."""
        return str(self.fields.get(key, ""))

    def names(self, key: str) -> list[str]:
        """Give a field that lists names; nothing if it is missing."""
        return [str(name) for name in self.fields.get(key) or ()]


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Give the events among lines, in order; others are passed over."""
    for line in lines:
        before, start, _ = line.partition(OBJECT_START)
        if not start:
            continue
        try:
            fields = msgspec.json.decode(line[len(before) :].strip())
        except DECODING_ERRORS:
            continue
        if isinstance(fields, dict) and "event_number" in fields:
            yield _line(before.split(), fields)


def _line(prefix: list[str], fields: dict[str, Any]) -> LogLine:
    at = float(fields.get("timestamp", 0.0))
    if prefix and _is_number(prefix[0]):
        at = float(prefix[0])
    machine = prefix[-1] if len(prefix) > 1 else str(fields.get("machine", ""))
    name = str(fields.get("message_type", "")).rpartition(":")[2]
    return LogLine(at, machine, int(fields["event_number"]), name, fields)


def _is_number(text: str) -> bool:
    try:
        float(text)
    except ValueError:
        return False
    return True
