"""Events of the callers' gateway, 800 … 899."""

from typing import ClassVar

from notcharch.errors import Ran
from notcharch.events.event import Event
from notcharch.values.identifiers import CallSequence, ProgramId


class CallEnded(Event, frozen=True):
    """A call ended without an answer; `ran` is what its caller was told."""

    number: ClassVar[int] = 800
    program: ProgramId
    sequence: CallSequence
    code: str
    ran: Ran
    seconds: float


class CallRunFailed(Event, frozen=True):
    """A call ended by an error in this program; please report it."""

    number: ClassVar[int] = 801
    program: ProgramId
    sequence: CallSequence
    error: str


class RequestFailed(Event, frozen=True):
    """A request ended by an error in this program; please report it."""

    number: ClassVar[int] = 802
    method: str
    path: str
    error: str


class CallerStalled(Event, frozen=True):
    """A caller took nothing of its stream for too long and was cut off.

    Its call goes on, and the answer can be fetched.
    """

    number: ClassVar[int] = 803
    program: str
    seconds: float


class GatewayDraining(Event, frozen=True):
    """The gateway refuses new calls and waits for the running ones."""

    number: ClassVar[int] = 804
    running: int


class GatewayDrained(Event, frozen=True):
    """The last running call of a draining gateway has ended."""

    number: ClassVar[int] = 805


class BadRequestRefused(Event, frozen=True):
    """A connection was closed because it did not carry HTTP within the limits."""

    number: ClassVar[int] = 806
    peer: str
    reason: str
