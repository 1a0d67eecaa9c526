"""Parts of an HTTP request as text."""

from twisted.web.iweb import IRequest


def header_text(request: IRequest, name: bytes) -> str | None:
    """Give a header's value; None when there is none.

    Values are UTF-8 by convention; what is not is read as Latin-1, so that no
    value is lost and no two become the same by a replacement.
    """
    value: bytes | None = request.getHeader(name)
    if value is None:
        return None
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        return value.decode("latin-1")


def body_bytes(request: IRequest) -> bytes:
    """Give the whole body, which was bounded while it was read."""
    content: bytes = request.content.read()
    return content
