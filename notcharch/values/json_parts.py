"""Splits a JSON object or array into its parts, without decoding them. Pure.

Decoders fail for the whole text if one part is malformed, out of range or nested too deeply.
Here each part is found by the brackets and strings around it, and can then be decoded alone.
"""

import re
from collections.abc import Iterator

import msgspec

from notcharch.values.decoding import DECODING_ERRORS

STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN = re.compile(STRING + rb'|[\[{]+|[\]}]+|,|"', re.DOTALL)
_MEMBER = re.compile(rb"\s*(" + STRING + rb")\s*:(.*)", re.DOTALL)
OPENING = b"[{"
CLOSING = b"]}"


class ObjectParts(msgspec.Struct, frozen=True):
    """The members of an object, as far as they can be told apart."""

    members: dict[str, bytes]
    """The text of each value; of a repeated name the last one."""
    is_whole: bool
    """Whether the object ends with its closing bracket and has no other text in it."""


class ArrayParts(msgspec.Struct, frozen=True):
    """The elements of an array, as far as they can be told apart."""

    elements: tuple[bytes, ...]
    is_whole: bool
    """Whether the array ends with its closing bracket."""


class _Scanner:
    """Yields the texts between the commas of the outermost object or array."""

    def __init__(self, text: bytes, opening: bytes) -> None:
        self._text = text
        self._opening = opening
        self.is_closed = False

    def parts(self) -> Iterator[bytes]:
        text = self._text
        depth = start = 0
        for match in _TOKEN.finditer(text):
            token = match.group()
            kind = token[:1]
            if kind in OPENING:
                if depth == 0:
                    if kind != self._opening or text[: match.start()].strip():
                        return
                    start = match.start() + 1
                depth += len(token)
            elif depth == 0 or token == b'"':
                return  # no outermost bracket, or a string without an end
            elif kind in CLOSING:
                if depth <= len(token):
                    end = match.start() + depth - 1
                    self.is_closed = not text[end + 1 :].strip()
                    yield text[start:end]
                    return
                depth -= len(token)
            elif token == b"," and depth == 1:
                yield text[start : match.start()]
                start = match.end()


def split_object(text: bytes) -> ObjectParts:
    """Return the members of a JSON object; those without a readable name are left out."""
    scanner = _Scanner(text, b"{")
    members: dict[str, bytes] = {}
    are_all_named = True
    for part in scanner.parts():
        member = _MEMBER.fullmatch(part)
        name = None if member is None else _decode_text(member[1])
        if member is not None and name is not None:
            members[name] = member[2].strip()
        elif part.strip():
            are_all_named = False
    return ObjectParts(members, scanner.is_closed and are_all_named)


def split_array(text: bytes) -> ArrayParts:
    """Return the elements of a JSON array."""
    scanner = _Scanner(text, b"[")
    elements = tuple(part.strip() for part in scanner.parts() if part.strip())
    return ArrayParts(elements, scanner.is_closed)


def whole_elements(text: bytes, name: str) -> tuple[bytes, ...]:
    """Return the elements of a JSON array; raises `ValueError` if it is no whole one."""
    parts = split_array(text)
    if not parts.is_whole:
        message = f"{name} can't be read"
        raise ValueError(message)
    return parts.elements


def text_member(text: bytes, name: str) -> str | None:
    """Return a member of a JSON object that is a text; None if it can't be read."""
    return _decode_text(split_object(text).members.get(name, b""))


def _decode_text(text: bytes) -> str | None:
    try:
        return msgspec.json.decode(text, type=str)
    except DECODING_ERRORS:
        return None
