"""Decodes the store's answers; an item or row that can't be read costs itself alone."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from notcharch.events.feed_faults import FeedFaults
from notcharch.journal.interface import (
    KeyedRecord,
    LogPartition,
    Membership,
    NewestPage,
    Ownership,
)
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.json_parts import split_object, text_member, whole_elements

Decoded = TypeVar("Decoded")

ITEMS = "items"
ROWS = "parts"
KEY = "private_key"


class NewestItem(msgspec.Struct):
    """One key of a page, with its newest value."""

    private_key: str
    value: bytes
    offset: int


class NewestResponse(msgspec.Struct):
    """A page of keys."""

    items: list[NewestItem]
    more: bool
    end: int


class JoinResponse(msgspec.Struct):
    """The partitions assigned to a member of a group."""

    generation: int
    parts: list[tuple[str, int, int]]


class OwnersResponse(msgspec.Struct):
    """Rows of topic, partition, owning member and offset."""

    parts: list[tuple[str, int, str, int]]


_PAGE = msgspec.json.Decoder(NewestResponse)
_ITEM = msgspec.json.Decoder(NewestItem)
_NUMBER = msgspec.json.Decoder(int)
_FLAG = msgspec.json.Decoder(bool)
_JOIN = msgspec.json.Decoder(JoinResponse)
_JOIN_ROW = msgspec.json.Decoder(tuple[str, int, int])
_OWNERS = msgspec.json.Decoder(OwnersResponse)
_OWNERS_ROW = msgspec.json.Decoder(tuple[str, int, str, int])


class _Parts:
    """The members of an answer that can't be decoded as a whole."""

    def __init__(self, body: bytes) -> None:
        self._members = split_object(body).members

    def member(self, name: str, decoder: "msgspec.json.Decoder[Decoded]") -> Decoded:
        """Decode a member without which the answer tells nothing."""
        return decoder.decode(self._members.get(name, b""))

    def elements(self, name: str) -> tuple[bytes, ...]:
        """Return the elements of a list; raises `ValueError` if the list was cut."""
        return whole_elements(self._members.get(name, b""), name)


def decode_page(body: bytes, faults: FeedFaults) -> NewestPage:
    """Decode a page; raises one of `DECODING_ERRORS` if it tells nothing."""
    try:
        response = _PAGE.decode(body)
    except DECODING_ERRORS:
        return _decode_items(body, faults)
    return NewestPage(
        tuple(map(_to_record, response.items)), response.more, response.end
    )


def _decode_items(body: bytes, faults: FeedFaults) -> NewestPage:
    parts = _Parts(body)
    items: list[KeyedRecord] = []
    unreadable: list[str] = []
    for number, element in enumerate(parts.elements(ITEMS)):
        try:
            items.append(_to_record(_ITEM.decode(element)))
        except DECODING_ERRORS as error:
            key = text_member(element, KEY)
            if key is not None:
                unreadable.append(key)
            faults.report(key or f"item {number}", str(error))
    more, end = parts.member("more", _FLAG), parts.member("end", _NUMBER)
    return NewestPage(tuple(items), more, end, tuple(unreadable))


def _to_record(item: NewestItem) -> KeyedRecord:
    return KeyedRecord(item.private_key, item.value, item.offset)


def decode_membership(body: bytes, faults: FeedFaults) -> Membership:
    """Decode an assignment; raises one of `DECODING_ERRORS` if it tells nothing."""
    try:
        response = _JOIN.decode(body)
    except DECODING_ERRORS:
        parts = _Parts(body)
        rows, is_whole = _decode_rows(parts.elements(ROWS), _JOIN_ROW.decode, faults)
        generation = parts.member("generation", _NUMBER)
        return Membership(generation, _partitions(rows), is_whole=is_whole)
    return Membership(response.generation, _partitions(response.parts))


def _partitions(rows: list[tuple[str, int, int]]) -> tuple[LogPartition, ...]:
    return tuple(LogPartition(row[0], row[1]) for row in rows)


def decode_owners(body: bytes, faults: FeedFaults) -> tuple[Ownership, ...]:
    """Decode the owners; raises one of `DECODING_ERRORS` if none can be told."""
    try:
        rows = _OWNERS.decode(body).parts
    except DECODING_ERRORS:
        elements = _Parts(body).elements(ROWS)
        rows, _ = _decode_rows(elements, _OWNERS_ROW.decode, faults)
    return tuple(Ownership(LogPartition(row[0], row[1]), row[2]) for row in rows)


def _decode_rows(
    elements: tuple[bytes, ...], decode: Callable[[bytes], Decoded], faults: FeedFaults
) -> tuple[list[Decoded], bool]:
    """Return the rows that can be read, and whether these are all."""
    rows: list[Decoded] = []
    for number, element in enumerate(elements):
        try:
            rows.append(decode(element))
        except DECODING_ERRORS as error:
            faults.report(f"row {number}", str(error))
    return rows, len(rows) == len(elements)
