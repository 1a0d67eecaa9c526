"""The origin of a stream: which engines may continue it. Pure.

Engines of several versions of their software may serve side by side, and what two
versions write does not fit together. So a stream continues only at the service and the
version that began it.
"""

import enum

import msgspec


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The service and the software version of the engine that began a stream."""

    service: str
    version: str


class StreamName(msgspec.Struct, frozen=True):
    """What a daemon knows of a stream before its origin."""

    first_attempt: str
    """Id of the attempt that brought its first event, scoped to its tenant.

    Empty if the caller does not name it.
    """
    service: str
    """The service for it by the table in force."""
    route: str
    """Its route with the services; empty if an attempt's id decides on the service."""


class StreamBegin(msgspec.Struct, frozen=True):
    """Where the first event of a stream came from."""

    engine: str
    version: str
    """Its software version; empty if it is unknown."""
    is_confirmed: bool = True
    """Whether the engine can't have started anew since its entry was written."""


class OriginSource(enum.Enum):
    """How the origin of a stream became known."""

    LOCAL = "began here"
    RECORD = "record held here"
    PEER = "record of a peer"
    ONLY_VERSION = "only version that served"
    PEER_ONLY_VERSION = "only version that served, as a peer knows"
    UNKNOWN = "unknown"


class FoundOrigin(msgspec.Struct, frozen=True):
    """The result of a search for the origin of a stream."""

    origin: StreamOrigin | None
    """None if it is not known for certain."""
    source: OriginSource


NOT_FOUND = FoundOrigin(None, OriginSource.UNKNOWN)
