"""Events of the operators' interface (1000 to 1099)."""

from typing import ClassVar

from notcharch.events.event import Event


class OperatorRefused(Event, frozen=True):
    """A request to the operators' interface had no valid key or too low a role."""

    number: ClassVar[int] = 1000
    path: str
    operator: str
    problem: str


class OperatorChanged(Event, frozen=True):
    """An operator asked for a change: who, what, and how it ended."""

    number: ClassVar[int] = 1001
    operator: str
    method: str
    path: str
    outcome: str


class AdminRequestFailed(Event, frozen=True):
    """A request to the operators' interface failed for a fault of this program."""

    number: ClassVar[int] = 1002
    method: str
    path: str
