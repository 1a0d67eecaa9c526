"""Events of opaque calls: 2200 to 2299."""

from typing import ClassVar

from notcharch.events.event import Event


class CallServed(Event, frozen=True):
    """A caller got an engine's whole answer."""

    number: ClassVar[int] = 2200
    is_routine: ClassVar[bool] = True
    request: str
    program: str
    session: str
    route: str
    engine: str
    status: int
    engines_tried: int
    events: int
    seconds: float
    """Since the request's head was read."""
    admission_seconds: float
    version: str = ""
    """Software version of the engine."""
    framing: str = ""
    """How the last engine's answer told its end, `notcharch.values.framing.Framing`."""
    body_bytes: int = 0
    """Bytes of its body that were received."""
    unfinished_bytes: int = 0
    """Those of them after the last complete event of a stream."""


class CallRefused(Event, frozen=True):
    """A caller got an answer of our own, or none: why, and what was known."""

    number: ClassVar[int] = 2201
    request: str
    program: str
    session: str
    route: str
    phase: str
    status: int
    reason: str
    retry_after_seconds: float | None
    engines_tried: int
    runs: int
    """So many engines may have run it."""
    engines_known: int
    seconds: float
    seconds_left: float
    engine: str = ""
    """The last one that it was sent to."""


class CallSentAgain(Event, frozen=True):
    """An engine did not serve a call; another one is looked for."""

    number: ClassVar[int] = 2202
    request: str
    program: str
    engine: str
    cause: str
    runs: int
    events: int
    seconds_left: float
    version: str = ""
    """Software version of the engine."""
    framing: str = ""
    """How the last engine's answer told its end, `notcharch.values.framing.Framing`."""
    body_bytes: int = 0
    """Bytes of its body that were received."""
    unfinished_bytes: int = 0
    """Those of them after the last complete event of a stream."""


class CallBrokenOff(Event, frozen=True):
    """A stream was cut after it had begun."""

    number: ClassVar[int] = 2203
    request: str
    program: str
    session: str
    phase: str
    cause: str
    engines_tried: int
    runs: int
    events: int
    seconds: float
    seconds_left: float
    version: str = ""
    """Software version of the last engine."""
    framing: str = ""
    """How the last engine's answer told its end, `notcharch.values.framing.Framing`."""
    body_bytes: int = 0
    """Bytes of its body that were received."""
    unfinished_bytes: int = 0
    """Those of them after the last complete event of a stream."""
    engine: str = ""
    """The last one that it was sent to."""


class CallerLeft(Event, frozen=True):
    """A caller closed its connection before the answer's end."""

    number: ClassVar[int] = 2204
    request: str
    program: str
    phase: str
    engine: str
    events: int
    seconds: float
    version: str = ""
    """Software version of the engine."""


class RequestWithoutRoute(Event, frozen=True):
    """No route of the table in force serves a request, or there is no table (-1)."""

    number: ClassVar[int] = 2205
    request: str
    host: str
    path: str
    table_version: int


class RequestMalformed(Event, frozen=True):
    """A header of a request can't be read; it was refused with 400."""

    number: ClassVar[int] = 2206
    request: str
    host: str
    path: str


class RequestNotRead(Event, frozen=True):
    """A request was read no further and refused; it has not run."""

    number: ClassVar[int] = 2706
    request: str
    route: str
    cause: str
    body_bytes: int | None
    """Length of its body; None if it comes in chunks."""
    waited_seconds: float
    """How long it waited for memory."""
    seconds: float
    """Since its head was read."""


class CallerNotIdentified(Event, frozen=True):
    """A request has no valid key, or keys can't be judged now; it was refused.

    The key itself is never shown.
    """

    number: ClassVar[int] = 2208
    is_routine: ClassVar[bool] = True
    request: str
    route: str
    cause: str
    """One of `notcharch.tenants.identity.IdentityFault`."""
    table_version: int
    proof_age_seconds: float | None
    """How long ago that version was certainly the newest."""


class AnswerOverdue(Event, frozen=True):
    """An engine's first answer took longer than it usually does on the route."""

    number: ClassVar[int] = 2207
    request: str
    program: str
    route: str
    engine: str
    waited_seconds: float
    limit_seconds: float
    """After so long it counted as overdue."""
    is_given_up: bool
    """Whether the run was given up, not only the engine passed over."""


class EngineChosen(Event, frozen=True):
    """An engine was chosen by the loads of all daemons: its expected seconds, by cause."""

    number: ClassVar[int] = 2209
    is_routine: ClassVar[bool] = True
    request: str
    program: str
    engine: str
    reason: str
    """cached, cheaper, or overflow: the preferred engines are full."""
    loads_known: int
    """Number of engines whose load is known."""
    in_flight: int
    slots: int
    run_seconds: float
    wait_seconds: float
    reading_seconds: float
    distance_seconds: float
    lowest_seconds: float
    """Expected seconds at the best engine."""
    urgency: int | None = None
    """The level that the engine was told: 0 is first, 9 is last."""


class StreamBegan(Event, frozen=True):
    """The first event of a stream was relayed whose version peers may need to know."""

    number: ClassVar[int] = 2210
    is_routine: ClassVar[bool] = True
    request: str
    program: str
    service: str
    engine: str
    version: str
    """Software version of the engine."""
    first_attempt: str
    """The attempt of the caller that brought the stream's first event."""


class StreamTakenUp(Event, frozen=True):
    """A request resumes a stream that an earlier attempt of its caller began."""

    number: ClassVar[int] = 2211
    request: str
    program: str
    first_attempt: str
    """As named by the caller; empty if it names none."""
    after_event: str
    """Id of the last event that the caller has."""
    service: str
    """The service that began it; empty if it is not known, and the request is refused."""
    version: str
    """The software version that began it."""
    source: str
    """One of `notcharch.scheduling.stream_origin.OriginSource`."""
    seconds: float
    """Since the request's head was read."""


class AnswerEndChecked(Event, frozen=True):
    """An engine was asked whether its answer is whole, which ended with its connection."""

    number: ClassVar[int] = 2212
    is_routine: ClassVar[bool] = True
    request: str
    program: str
    engine: str
    question: str
    """process: whether it still runs; resumption: what follows the last event."""
    verdict: str
    """One of `notcharch.calls.end_check.EndVerdict`."""
    events: int
    seconds: float
    """Since the answer's connection ended."""
