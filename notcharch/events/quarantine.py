"""Events of requests under which engines end: 3000 to 3099."""

from typing import ClassVar

from notcharch.events.event import Event


class EngineEnded(Event, frozen=True):
    """The process of an engine ended while it ran a request."""

    number: ClassVar[int] = 3000
    request: str
    program: str
    identity: str
    """The same for all attempts of one request, see `notcharch.quarantine.identity`."""
    engine: str
    is_leaving: bool
    """Whether the engine was about to leave, so that its end says nothing of the request."""
    run_seconds: float
    """Since the request was sent to it."""
    ends: list[str]
    """All engines that count as ended under the request, and which daemon sent it there.

    An engine that ended together with the last of them is not among them."""
    counters_replied: int
    """Number of daemons that counted this end before the call went on."""
    seconds: float
    """Since the run failed: the delay of the call."""


class AttemptNotSent(Event, frozen=True):
    """An attempt was refused, or not sent again, as engines had ended under its request."""

    number: ClassVar[int] = 3001
    request: str
    program: str
    identity: str
    reason: str
    ends: list[str]
    """The engines that ended under it, and which daemon had sent it there."""
    seconds_left: float
    """Until the request may be sent again."""


class RequestCleared(Event, frozen=True):
    """A request under which engines had ended was answered whole."""

    number: ClassVar[int] = 3002
    request: str
    program: str
    identity: str
    ends: list[str]


class SuspectTold(Event, frozen=True):
    """A counter told all peers of a request; without ends it was answered whole."""

    number: ClassVar[int] = 3003
    identity: str
    ends: list[str]
    peers: int
