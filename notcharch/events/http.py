"""Events of HTTP connections."""

from typing import ClassVar

from notcharch.events.event import Event


class SlowReaderCut(Event, frozen=True):
    """A caller's connection was cut: all connections together buffered too much.

    It held more bytes than most. `request` is empty if no request was being answered.
    """

    number: ClassVar[int] = 2700
    request: str
    buffered_bytes: int


class SlowEngineCut(Event, frozen=True):
    """A connection to an engine was cut: the engine did not read a request's body."""

    number: ClassVar[int] = 2701
    host: str
    buffered_bytes: int
