"""Splits a turn that is larger than a message into parts, which are stored one by one.

Each part is stored as a turn that follows the one before it. Only the last one has the
turn's id, so the turn exists once all of it is durable. The ids of the others depend on all
of the text up to their end: a part that is sent again, also by another attempt or to the
next owner, is the same one, and parts of different texts never follow each other.
"""

from hashlib import blake2b

import msgspec

from notcharch.accounts.messages import KeepTurn
from notcharch.accounts.turns import PAGE_BYTES

SEPARATOR = "\x1e"
"""Record separator. Request heads with control characters in names are rejected, so
callers can't name a part."""
DIGEST_BYTES = 16


def split_turn(turn: KeepTurn, max_bytes: int = PAGE_BYTES) -> tuple[KeepTurn, ...]:
    """Return the messages that store a turn, in their order."""
    size = len(turn.input) + len(turn.output)
    if size <= max_bytes:
        return (turn,)
    text = turn.input + turn.output
    digest = blake2b(turn.previous.encode(), digest_size=DIGEST_BYTES)
    previous = turn.previous
    parts: list[KeepTurn] = []
    for start in range(0, size - max_bytes, max_bytes):
        data = text[start : start + max_bytes]
        digest.update(data)
        name = f"{turn.call}{SEPARATOR}{digest.hexdigest()}"
        parts.append(
            KeepTurn(
                turn.partition,
                turn.program,
                name,
                previous,
                data,
                output=b"",
                tokens=0,
                is_part=True,
            )
        )
        previous = name
    rest = text[len(parts) * max_bytes :]
    last = msgspec.structs.replace(turn, previous=previous, input=rest, output=b"")
    return (*parts, last)
