"""Events of what may end or wedge a process: 2422, and 2703 to 2709."""

from typing import ClassVar

from notcharch.events.event import Event


class MemoryNearLimit(Event, frozen=True):
    """The resident memory crossed nine tenths of the limit, or fell below it again.

    A process that the platform kills for its memory has this line among its last ones.
    """

    number: ClassVar[int] = 2422
    machine: str
    is_near: bool
    resident_bytes: int
    limit_bytes: int
    holders: dict[str, int]
    """The largest holders, by their own estimates, in bytes."""


class MemoryRefusals(Event, frozen=True):
    """A kind of holder had no room for something new, or has room again.

    What is refused, and what that means: docs/design/memory-budget.md.
    """

    number: ClassVar[int] = 2703
    holder: str
    is_refusing: bool
    held_bytes: int
    limit_bytes: int
    pool_bytes: int
    """What all holders of the pool hold."""
    refused: int
    """So many times since the last line of this holder."""


class PeerFrameTooLarge(Event, frozen=True):
    """A connection with a peer was closed: all peers' unfinished frames took too much.

    It had received more of a frame than the others. The peer connects anew.
    """

    number: ClassVar[int] = 2704
    peer: str
    received_bytes: int


class UnhandledError(Event, frozen=True):
    """A callback of the reactor raised an exception: a defect of this program.

    The process goes on; what the callback had begun may not end.
    """

    number: ClassVar[int] = 2705
    source: str
    """The part of Twisted that caught it."""
    error: str
    traceback: str
