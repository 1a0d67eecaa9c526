"""How a response tells where its body ends."""

import enum


class Framing(enum.Enum):
    """The framing of a response's body (RFC 9112, 6.3)."""

    LENGTH = "length"
    """By its length, or by having no body."""
    CHUNKS = "chunks"
    """By its last chunk."""
    CONNECTION = "end of connection"
    """Not at all: the body ends with its connection, so the end is only inferred."""
