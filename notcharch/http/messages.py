"""Heads of HTTP messages and the header lists that both sides share."""

from collections.abc import Iterable

import msgspec

Headers = list[tuple[bytes, bytes]]
"""Header names as they were sent, with their values, in order."""

CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Lower-case names of headers that concern one connection only (RFC 9110, 7.6.1)."""


class RequestHead(msgspec.Struct, frozen=True):
    """The first part of a request."""

    method: bytes
    target: bytes
    """Path and query, as sent."""
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Give the value of a header by its lower-case name."""
        return header_value(self.headers, name)


class ResponseHead(msgspec.Struct, frozen=True):
    """The first part of a response."""

    status: int
    headers: Headers
    reason: bytes = b""

    def get(self, name: bytes) -> bytes | None:
        """Give the value of a header by its lower-case name."""
        return header_value(self.headers, name)


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Give the first value of a header by its lower-case name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers: Headers, dropped: Iterable[bytes] = ()) -> Headers:
    """Give the headers that pass through, without those named in lower case."""
    named = header_value(headers, b"connection") or b""
    local = {token.strip().lower() for token in named.split(b",")}
    local |= CONNECTION_HEADERS
    local.update(dropped)
    return [(key, value) for key, value in headers if key.lower() not in local]
