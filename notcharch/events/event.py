"""The base of numbered log events, and how they are written.

Each subsystem defines its events in its own module of this package, in a number
range of its own; docs/events.md is written from these classes by
`python -m notcharch.events.catalogue`, and CI checks that it is current.
"""

from typing import ClassVar

import eliot
import msgspec


class Event(msgspec.Struct, frozen=True):
    """A log event. The class doc is its meaning, its fields are typed.

    Set `number` (unique, never reused) in each subclass.
    """

    number: ClassVar[int] = 0
    is_routine: ClassVar[bool] = False
    """Whether its lines may be left out when there are many."""


def emit(event: Event) -> None:
    """Write an event to the log: its number, its name and its fields."""
    fields = msgspec.to_builtins(event)
    eliot.log_message(
        message_type=f"notcharch:{type(event).__name__}",
        event_number=event.number,
        **fields,
    )
