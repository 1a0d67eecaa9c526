"""Events of HTTP connections."""

from typing import ClassVar

from notcharch.events.event import Event


class SlowReaderCut(Event, frozen=True):
    """A caller's connection was cut: all connections together held too much.

    It had not read for longest, or had sent most without room for it. `request` is empty if
    no request was being answered.
    """

    number: ClassVar[int] = 2700
    request: str
    buffered_bytes: int


class SlowEngineCut(Event, frozen=True):
    """A connection to an engine was cut: the engine did not read a request's body."""

    number: ClassVar[int] = 2701
    host: str
    buffered_bytes: int


class AnswerTooLong(Event, frozen=True):
    """An answer was read no further: it was longer than it may be, or has no end."""

    number: ClassVar[int] = 2702
    peer: str
    """What kind of server it is: engine or store."""
    name: str
    """The engine's id, or the path that was asked for."""
    read_bytes: int
