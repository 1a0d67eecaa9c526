"""Heads of HTTP messages, and helpers for their headers."""

from collections.abc import Iterable

import msgspec

from notcharch.values.framing import Framing

Headers = list[tuple[bytes, bytes]]
"""Header names in their original case, with their values, in order."""
HEADER_BYTES = 120
"""Memory of a header besides its text."""

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
"""Lower-case names of hop-by-hop headers (RFC 9110, 7.6.1)."""


class RequestHead(msgspec.Struct, frozen=True):
    """The request line and headers of a request."""

    method: bytes
    target: bytes
    """Path and query, unchanged."""
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of the header with a lower-case name."""
        return header_value(self.headers, name)

    @property
    def memory_bytes(self) -> int:
        """Memory that the head takes, about."""
        headers = sum(
            len(name) + len(value) + HEADER_BYTES for name, value in self.headers
        )
        return headers + len(self.target)


class ResponseHead(msgspec.Struct, frozen=True):
    """The status line and headers of a response."""

    status: int
    headers: Headers
    reason: bytes = b""
    framing: Framing = Framing.LENGTH

    @property
    def body_length(self) -> int | None:
        """Bytes of the body as the head tells them; None if the body is framed otherwise."""
        value = self.get(b"content-length")
        is_told = self.framing is Framing.LENGTH and value is not None
        return int(value) if is_told and value is not None else None

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of the header with a lower-case name."""
        return header_value(self.headers, name)


VALID_STATUSES = range(100, 600)
"""Any other status is invalid (RFC 9110, 15)."""
BODILESS_STATUSES = (204, 304)


def response_framing(request_method: bytes, status: int, headers: Headers) -> Framing:
    """Return how the body of a response is framed, given the request's method."""
    if request_method == b"HEAD" or status in BODILESS_STATUSES:
        return Framing.LENGTH
    if header_value(headers, b"transfer-encoding") is not None:
        return Framing.CHUNKS
    if header_value(headers, b"content-length") is not None:
        return Framing.LENGTH
    return Framing.CONNECTION


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the header with a lower-case name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers: Headers, dropped: Iterable[bytes] = ()) -> Headers:
    """Return the end-to-end headers, without the `dropped` lower-case names."""
    named = header_value(headers, b"connection") or b""
    local = {token.strip().lower() for token in named.split(b",")}
    local |= CONNECTION_HEADERS
    local.update(dropped)
    return [(key, value) for key, value in headers if key.lower() not in local]
