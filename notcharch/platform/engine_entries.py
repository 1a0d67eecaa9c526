"""Reads engines' entries, also those of which some fields can't be read.

What each unreadable field means: docs/design/unreadable-parts.md.
"""

import msgspec

from notcharch.calls.interface import Engine
from notcharch.platform.configuration import (
    SERVER_DECODER,
    ServerEntry,
    parse_address,
    to_engine,
)
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.json_parts import split_object

FIELDS = msgspec.structs.fields(ServerEntry)
FIELD_DECODERS = {
    field.encode_name: msgspec.json.Decoder(field.type) for field in FIELDS
}
ADDRESS = "address"
STATE = "state"
COLD = "cold_remaining_ms"


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
        return ReadEntry(value, entry, to_engine(id, entry))
    except DECODING_ERRORS:
        return _read_fields(id, value, previous)


def _read_fields(id: str, value: bytes, previous: ServerEntry | None) -> ReadEntry:
    """Decode each field alone."""
    parts = split_object(value)
    found: dict[str, object] = {}
    unreadable: list[str] = []
    for name, decoder in FIELD_DECODERS.items():
        text = parts.members.get(name)
        if text is None and parts.is_whole:
            continue
        try:
            found[name] = _decode_field(name, decoder, text or b"")
        except DECODING_ERRORS:
            unreadable.append(name)
            if previous is not None:
                found[name] = getattr(previous, name)
    try:
        entry = msgspec.convert(found, ServerEntry)
    except msgspec.ValidationError:  # without a service or an address
        return ReadEntry(value, None, None, tuple(unreadable))
    engine = msgspec.structs.replace(
        to_engine(id, entry),
        is_doubted=STATE in unreadable,
        cold_seconds=None if COLD in unreadable else to_engine(id, entry).cold_seconds,
    )
    return ReadEntry(value, entry, engine, tuple(unreadable))


def _decode_field(
    name: str, decoder: "msgspec.json.Decoder[object]", text: bytes
) -> object:
    value = decoder.decode(text)
    if name == ADDRESS:
        parse_address(str(value))
    return value
