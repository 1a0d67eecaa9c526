"""Reads engines' entries, also those of which some fields can't be read.

What each unreadable field means: docs/design/unreadable-parts.md.
"""

import msgspec

from notcharch.calls.interface import Engine
from notcharch.platform.configuration import (
    ENGINE_STATES,
    SERVER_DECODER,
    ServerEntry,
    parse_address,
    to_engine,
)
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.struct_fields import FieldReader

FIELDS = FieldReader(ServerEntry)
ADDRESS = "address"
STATE = "state"
COLD = "cold_remaining_ms"
BORN = "born"
HELD_BY_ID = frozenset(("service", ADDRESS, "zone"))
"""Fields that hold also for another start of an engine under its id."""


class ReadEntry(msgspec.Struct, frozen=True):
    """An engine's entry as it is stored, and what could be read of it."""

    value: bytes
    entry: ServerEntry | None
    """None if it can't be said where the engine is, nor which service it has."""
    engine: Engine | None
    unreadable: tuple[str, ...] = ()
    """The fields that can't be read; their last read values are used, if there are any."""


def read_entry(id: str, value: bytes, previous: ServerEntry | None) -> ReadEntry:
    """Read an entry; `previous` is what was last read under the id."""
    try:
        entry = SERVER_DECODER.decode(value)
        if entry.state in ENGINE_STATES:
            return ReadEntry(value, entry, to_engine(id, entry))
    except DECODING_ERRORS:
        pass
    return _read_fields(id, value, previous)


def _read_fields(id: str, value: bytes, previous: ServerEntry | None) -> ReadEntry:
    """Use the fields that can be read, and the last read ones for the others."""
    fields = FIELDS.read(value)
    found = fields.values
    unreadable = set(fields.unreadable)
    if not _is_address(found.get(ADDRESS)):
        unreadable.add(ADDRESS)
    if found.get(STATE) not in ENGINE_STATES:
        unreadable.add(STATE)
    is_another_start = previous is not None and found.get(BORN, previous.born) != (
        previous.born
    )
    for name in unreadable:
        found.pop(name, None)
        holds_on = name in HELD_BY_ID or not is_another_start
        if previous is not None and holds_on:
            found[name] = getattr(previous, name)
    names = tuple(sorted(unreadable))
    try:
        entry = FIELDS.build(found)
    except msgspec.ValidationError:  # without a service or an address
        return ReadEntry(value, None, None, names)
    engine = to_engine(id, entry)
    engine = msgspec.structs.replace(
        engine,
        is_doubted=STATE in unreadable,
        cold_seconds=None if COLD in unreadable else engine.cold_seconds,
    )
    return ReadEntry(value, entry, engine, names)


def _is_address(text: str | None) -> bool:
    try:
        parse_address(text or "")
    except ValueError:
        return False
    return True
