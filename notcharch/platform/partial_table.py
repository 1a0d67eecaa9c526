"""Reads configurations of which some routes, services or tenants can't be read.

What each unreadable part means: docs/design/unreadable-parts.md.
"""

from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

from notcharch.events.feed_faults import FeedFaults
from notcharch.platform.configuration import (
    CONFIGURATION_DECODER,
    ConfigurationEntry,
    RouteEntry,
    ServiceEntry,
    TenantEntry,
)
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.json_parts import text_member, whole_elements
from notcharch.values.struct_fields import FieldReader

EntryT = TypeVar("EntryT", bound=msgspec.Struct)

NAME = "name"
CONFIGURATION = FieldReader(ConfigurationEntry)
NULL = b"null"


class ReadConfiguration(msgspec.Struct, frozen=True):
    """A configuration, and which of its parts are missing."""

    entry: ConfigurationEntry
    is_partial: bool = False
    """Whether it could not be decoded as a whole."""
    lacks_routes: bool = False
    """Whether some route could not be read, and never was."""
    lacks_tenants: bool = False
    """Whether the keys of some tenant could not be read."""


class _ListReader(Generic[EntryT]):
    """Reads the elements of a list, each alone."""

    def __init__(self, list_name: str, entry_type: type[EntryT]) -> None:
        self._list_name = list_name
        self._fields = FieldReader(entry_type)

    def read(
        self, text: bytes, previous: dict[str, EntryT], faults: FeedFaults
    ) -> tuple[list[EntryT], bool]:
        """Return the elements, and whether one is missing.

        One that can't be read is as in `previous`. Raises `ValueError` for a cut list.
        """
        found: list[EntryT] = []
        lacks_any = False
        for number, element in enumerate(whole_elements(text, self._list_name)):
            entry = self._read_element(element)
            if entry is None:
                name = text_member(element, NAME)
                faults.report(f"{self._list_name} {name or number}", "unreadable")
                entry = previous.get(name or "")
            if entry is None:
                lacks_any = True
            else:
                found.append(entry)
        return found, lacks_any

    def _read_element(self, element: bytes) -> EntryT | None:
        """Decode an element by its known fields; None if one of them can't be read."""
        fields = self._fields.read(element)
        if fields.unreadable:
            return None
        try:
            return self._fields.build(fields.values)
        except msgspec.ValidationError:
            return None


ROUTES = _ListReader("routes", RouteEntry)
SERVICES = _ListReader("services", ServiceEntry)
TENANTS = _ListReader("tenants", TenantEntry)


def read_configuration(
    value: bytes, previous: Callable[[], ConfigurationEntry | None], faults: FeedFaults
) -> ReadConfiguration:
    """Read a configuration; `previous` returns the last one that was read.

    Raises one of `DECODING_ERRORS` if it can't be taken at all.
    """
    try:
        return ReadConfiguration(CONFIGURATION_DECODER.decode(value))
    except DECODING_ERRORS:
        return _read_parts(value, previous(), faults)


def _read_parts(
    value: bytes, previous: ConfigurationEntry | None, faults: FeedFaults
) -> ReadConfiguration:
    fields = CONFIGURATION.read(value)
    if "tenants" in fields.unreadable and "tenants" not in fields.texts:
        message = "the configuration was cut"
        raise ValueError(message)
    texts, found = fields.texts, fields.values
    routes = (
        {} if previous is None else {route.name: route for route in previous.routes}
    )
    services = {} if previous is None else {s.name: s for s in previous.services}
    found["routes"], lacks_routes = ROUTES.read(
        texts.get("routes", b""), routes, faults
    )
    found["services"], _ = SERVICES.read(texts.get("services", b""), services, faults)
    lacks_tenants = False
    if texts.get("tenants", NULL) != NULL:
        found["tenants"], lacks_tenants = TENANTS.read(texts["tenants"], {}, faults)
    entry = CONFIGURATION.build(found)
    return ReadConfiguration(
        entry,
        is_partial=True,
        lacks_routes=lacks_routes,
        lacks_tenants=lacks_tenants,
    )
