"""Events of the command line, numbers 1200 to 1299."""

from typing import ClassVar

from notcharch.events.event import Event


class CommandFailed(Event, frozen=True):
    """A command ended by an unexpected exception: a fault of the program itself."""

    number: ClassVar[int] = 1200
    command: str
    error: str
    traceback: str


class CommandNotLoaded(Event, frozen=True):
    """A command of another package cannot be loaded and is left out."""

    number: ClassVar[int] = 1201
    entry_point: str
    traceback: str
