"""Decodes the fields of a JSON object each alone, for one that can't be decoded whole."""

from typing import Any, Generic, TypeVar

import msgspec

from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.json_parts import split_object

StructT = TypeVar("StructT", bound=msgspec.Struct)


class ReadFields(msgspec.Struct, frozen=True):
    """The fields of an object, by their encoded names."""

    values: dict[str, Any]
    """Those that could be read."""
    texts: dict[str, bytes]
    """The text of each member, as far as members can be told apart."""
    unreadable: tuple[str, ...]
    """Those that can't be read, or may be missing because the object was cut."""


class FieldReader(Generic[StructT]):
    """Reads objects of one type; members that the type doesn't have are never decoded."""

    def __init__(self, struct_type: type[StructT]) -> None:
        """Build a decoder of each field."""
        self._type = struct_type
        self._decoders = {
            field.encode_name: msgspec.json.Decoder(field.type)
            for field in msgspec.structs.fields(struct_type)
        }

    def read(self, text: bytes) -> ReadFields:
        """Decode each field alone."""
        parts = split_object(text)
        values: dict[str, Any] = {}
        unreadable: list[str] = []
        for name, decoder in self._decoders.items():
            member = parts.members.get(name)
            if member is None and parts.is_whole:
                continue
            try:
                values[name] = decoder.decode(member or b"")
            except DECODING_ERRORS:
                unreadable.append(name)
        return ReadFields(values, parts.members, tuple(unreadable))

    def build(self, values: dict[str, Any]) -> StructT:
        """Build an object; raises `msgspec.ValidationError` if a field is missing."""
        return msgspec.convert(values, self._type)
