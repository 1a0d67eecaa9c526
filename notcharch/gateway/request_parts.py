"""Headers and body of an HTTP request."""

from twisted.web.iweb import IRequest


def header_text(request: IRequest, name: bytes) -> str | None:
    """Return the value of a header; None if it is absent.

    Values that are not UTF-8 are decoded as Latin-1, so that distinct values stay
    distinct.
    """
    value: bytes | None = request.getHeader(name)
    if value is None:
        return None
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        return value.decode("latin-1")


def body_bytes(request: IRequest) -> bytes:
    """Return the complete body, whose size was limited while it was read."""
    content: bytes = request.content.read()
    return content
