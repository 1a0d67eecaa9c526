"""Calls, routes, engines, and the ports that adapters implement."""

import enum
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from notcharch.http.messages import RequestHead, ResponseHead
from notcharch.scheduling.cold_engines import ColdLimit
from notcharch.scheduling.engine_load import EngineLoad
from notcharch.scheduling.stream_origin import (
    NOT_FOUND,
    FoundOrigin,
    StreamBegin,
    StreamName,
)
from notcharch.scheduling.urgency import PriorityRank
from notcharch.tenants.interface import Tenant


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and its share of a route's calls."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """The services for a path prefix of a host, and the policy for its calls."""

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    is_repeatable: bool
    """A call may run more than once."""
    is_stream: bool = False
    is_resumable: bool = False
    """A stream may be resumed at another engine after its last event."""
    is_sticky: bool = False
    max_engines: int = 1
    """Maximum number of engines on which one call may run."""
    timeout_seconds: float = 30.0
    objective_seconds: float = 1.0
    priority: int = 0
    """Priority of its calls; 0 is the highest."""
    stores_turns: bool = False
    """A call has only its new input, and refers to the stored turn before it."""
    is_public: bool = False
    """Calls need no key, even if the table has tenants."""
    retention_seconds: float = 60.0
    """How long a turn and a program's budget are stored."""
    regions: frozenset[str] | None = None
    """Regions in which its calls may be served and stored; None means all."""


class Service(msgspec.Struct, frozen=True):
    """Properties that all engines of a service share."""

    name: str
    connection_limit: int = 100
    tokens_per_event: int = 1
    """Tokens in each event of a stream."""
    cold: ColdLimit = ColdLimit()
    """Load limit of an engine for some seconds after its start."""
    health_path: str = ""
    """Where an engine tells its id; empty if it doesn't."""


class Engine(msgspec.Struct, frozen=True):
    """One incarnation of an engine."""

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int = 1
    is_draining: bool = False
    is_doubted: bool = False
    """Whether its newest state can't be read, so that it may be draining."""
    cold_seconds: float | None = 0.0
    """Remaining warm-up time when the entry was written; None if it can't be read."""
    version: str = ""
    """Version of its software, not of its weights; empty if its entry states none."""
    started_ms: int | None = None
    """Unix milliseconds of its start; None if each start has an id of its own."""


class OpaqueCall(msgspec.Struct):
    """One attempt of a caller: the bytes to relay, and the fields used to route them."""

    id: str
    head: RequestHead
    body: bytes
    arrived: float
    """Clock seconds at which the head was read."""
    wait_seconds: float | None = None
    """The timeout that the caller requests, if any."""
    program: str = ""
    session: str = ""
    affinity: str = ""
    max_tokens: int = 0
    """Maximum number of tokens that this call may generate."""
    budget_tokens: int | None = None
    """Token budget of all calls of the program."""
    tokens_per_event: int = 1
    tokens_by_service: dict[str, int] = {}
    """Tokens of an event by each service of its route, if there are several."""
    previous_turn: str = ""
    last_event_id: bytes | None = None
    first_attempt: str = ""
    """Id of the attempt that brought the first event of the stream that this one resumes."""
    program_remaining_seconds: float | None = None
    tenant: Tenant | None = None
    """The tenant of the call's key; None if no key is needed."""
    prompt_tokens: int = 0
    """Number of prompt tokens that the caller states; 0 if it states none."""
    priority: PriorityRank = PriorityRank()
    """The rank of its route's priority among the routes of the same service."""
    urgency: int | None = None
    """Its level among the calls that wait at an engine, 0 first; None for no level."""

    regions: frozenset[str] | None = None
    """Regions in which it may be served and stored; None means all.

    Both its route and its tenant restrict them.
    """
    identity: str = ""
    """What all attempts of the same request share; empty until it is needed."""

    @property
    def tenant_name(self) -> str:
        """The name of its tenant; empty if there is none."""
        return self.tenant.name if self.tenant is not None else ""


class ResponseDialect(Protocol):
    """Interprets the head of an engine's response."""

    def is_response_to(self, call: OpaqueCall, head: ResponseHead) -> bool:
        """Return whether a response belongs to this call, not to an earlier one."""

    def was_not_run(self, head: ResponseHead) -> bool:
        """Return whether the engine certainly did not and will not run the call."""

    def is_misdirected(self, head: ResponseHead) -> bool:
        """Return whether the response is of another engine than the request names."""

    def is_genuine(self, head: ResponseHead) -> bool:
        """Return whether a successful response is authenticated as the engine's."""


class IncarnationDialect(Protocol):
    """Translates the question when an engine started."""

    def incarnation_request(self) -> RequestHead:
        """Return the head of the request when an engine started."""

    def is_incarnation_response(self, head: ResponseHead) -> bool:
        """Return whether a response is not one to an earlier call."""

    def started_ms(self, head: ResponseHead, body: bytes) -> int | None:
        """Return the Unix milliseconds of the start; None if the response tells none."""


class InstanceDialect(Protocol):
    """Translates the question which engine answers at an address."""

    def instance_request(self, health_path: str) -> RequestHead:
        """Return the head of the request for an engine's id."""

    def instance_id(self, head: ResponseHead) -> str:
        """Return the id of the engine that responded; empty if it isn't told."""


class EngineDialect(ResponseDialect, IncarnationDialect, InstanceDialect, Protocol):
    """Translates calls to requests for engines, and interprets the responses."""

    def request(
        self, call: OpaqueCall, engine: Engine, remaining_ms: int
    ) -> RequestHead:
        """Return the head of the request for a call."""


class LoadExchange(Protocol):
    """Exchanges the load of engines with other daemons."""

    def request(
        self,
        service: str,
        cached_engine: str,
        then: Callable[[Mapping[str, EngineLoad]], None],
    ) -> None:
        """Request the loads of a service's engines, by engine id, for one dispatch.

        `then` is called exactly once, with an empty mapping if no load is known or the
        service needs no exchange; `cached_engine` is included if possible.
        """

    def call_started(self, service: str, engine_id: str) -> None:
        """Report a call of this daemon that is sent to an engine."""

    def call_ended(
        self, service: str, engine_id: str, event_interval_seconds: float | None
    ) -> None:
        """Report its end, with the mean interval of its events if there were several."""


class NoLoadExchange:
    """Exchanges nothing; each daemon knows only its own calls."""

    def request(
        self,
        service: str,
        cached_engine: str,
        then: Callable[[Mapping[str, EngineLoad]], None],
    ) -> None:
        """Call `then` with no loads."""
        then({})

    def call_started(self, service: str, engine_id: str) -> None:
        """Ignore the call."""

    def call_ended(
        self, service: str, engine_id: str, event_interval_seconds: float | None
    ) -> None:
        """Ignore the end of the call."""


class StreamOrigins(Protocol):
    """Records which service and software version began a stream, and finds it."""

    def began(
        self, stream: StreamName, begin: StreamBegin, seconds_left: float
    ) -> bool:
        """Record a stream whose first event is relayed; return whether peers are told.

        `seconds_left` is the time before the call's deadline.
        """

    def is_doubted(self, stream: StreamName) -> bool:
        """Return whether the recorded version of a local stream proved uncertain."""

    def find(self, stream: StreamName, then: Callable[[FoundOrigin], None]) -> None:
        """Find the origin of a stream; `then` is called exactly once."""


class NoStreamOrigins:
    """Records nothing: no stream of an earlier attempt can be resumed."""

    def began(
        self, stream: StreamName, begin: StreamBegin, seconds_left: float
    ) -> bool:
        """Ignore the stream."""
        return False

    def is_doubted(self, stream: StreamName) -> bool:
        """Doubt no stream."""
        return False

    def find(self, stream: StreamName, then: Callable[[FoundOrigin], None]) -> None:
        """Call `then` with an unknown origin."""
        then(NOT_FOUND)


class ProcessState(enum.Enum):
    """What a run that failed shows of the engine's process."""

    ASSUMED = "assumed to run"
    DOUBTED = "may have ended"
    ENDED = "ended"


class BrokenRun(msgspec.Struct, frozen=True):
    """A run that failed in a way in which the engine's process may have ended."""

    engine: Engine
    sent_at: float
    """Clock seconds at which the call was sent to the engine."""
    process: ProcessState


class SendGuard(Protocol):
    """Decides for one call whether its request may be sent, by the engines that ended."""

    def request_send(
        self, seconds_left: float, then: "Callable[[Refusal | None], None]"
    ) -> None:
        """Decide on a send; `then` is called exactly once, with the refusal if any.

        `seconds_left` is the time before the call's deadline.
        """

    def run_broke(self, run: BrokenRun, then: Callable[[], None]) -> None:
        """Find out whether the engine ended; `then` is called exactly once."""

    def run_completed(self) -> None:
        """Record that an engine answered the request whole and with success."""

    def has_ends(self) -> bool:
        """Return whether engines are known to have ended under the request."""

    def over(self) -> None:
        """Record that the call has ended."""


class Quarantine(Protocol):
    """Keeps requests under which engines end from ending more."""

    def attempt(self, call: OpaqueCall) -> SendGuard:
        """Return the guard of a call."""


class OpenGuard:
    """Lets each request be sent, and finds out nothing."""

    def request_send(
        self, seconds_left: float, then: "Callable[[Refusal | None], None]"
    ) -> None:
        """Allow the send."""
        then(None)

    def run_broke(self, run: BrokenRun, then: Callable[[], None]) -> None:
        """Call `then`."""
        then()

    def run_completed(self) -> None:
        """Ignore the answer."""

    def has_ends(self) -> bool:
        """Know of no ends."""
        return False

    def over(self) -> None:
        """Ignore the end."""


class NoQuarantine:
    """Guards nothing."""

    def attempt(self, call: OpaqueCall) -> SendGuard:
        """Return a guard that allows everything."""
        return OpenGuard()


class Admission(Protocol):
    """Decides whether a call may run, and accounts for its result."""

    def request(
        self, call: OpaqueCall, route: Route, listener: "AdmissionListener"
    ) -> None:
        """Decide on a call, and notify `listener`."""


class AdmissionListener(Protocol):
    """Callbacks for the decision of an admission."""

    @property
    def awaits_admission(self) -> bool:
        """True while the caller is connected and waits for the decision."""

    def admitted(self, ticket: "Ticket", body: bytes) -> None:
        """Dispatch the call with a body, and report its result to `ticket`."""

    def refused(self, refusal: "Refusal") -> None:
        """Respond to the caller with a refusal."""

    def reserve_memory(self, size: int) -> bool:
        """Hold memory for the turns before the call; return whether there is room."""


class Ticket(Protocol):
    """Accounts for an admitted call."""

    @property
    def cached_engine(self) -> str:
        """The engine with the program's prefix in its cache; empty if none is known."""

    @property
    def granted_events(self) -> int | None:
        """How many events of the call may be relayed until more are granted; None: all."""

    def watch_grant(self, grown: Callable[[], None]) -> None:
        """Call `grown` whenever `granted_events` has grown."""

    def relayed(self, events: int, waiting: int) -> None:
        """Note how many events were relayed in total, and how many wait for a grant.

        Not called while all events are granted.
        """

    def engine_started(self, engine_id: str) -> None:
        """Record the engine that runs the call."""

    def never_ran(self) -> None:
        """Release the reservation: no engine ran the call."""

    def interrupted(self, events: int) -> None:
        """Charge for an incomplete run, of which `events` were relayed."""

    def completed(self, output: bytes, events: int, then: "Completion") -> None:
        """Charge for and store the complete output; `then` is notified of the outcome."""


class Completion(Protocol):
    """Callbacks for whether the outcome of a call is durable."""

    @property
    def is_caller_waiting(self) -> bool:
        """True while the caller waits for the outcome."""

    def durable(self) -> None:
        """Relay the end to the caller."""

    def not_durable(self) -> None:
        """Abort: the outcome was not durable before the deadline."""


class Refusal(msgspec.Struct, frozen=True):
    """An error response that does not come from an engine."""

    status: int
    reason: str
    retry_after_seconds: float | None = None
    """Delay before a retry; None if the response gives none."""


NO_ROUTE = Refusal(404, "no route")
ROUTE_NOT_KNOWN = Refusal(503, "no known route; some routes can't be read", 1.0)
KEY_NOT_KNOWN = Refusal(503, "no known key; some keys can't be read", 1.0)
UNKNOWN_TURN = Refusal(404, "no such turn")
NOT_RECORDED = Refusal(503, "the program's account can't be recorded", 1.0)
HISTORY_TOO_LONG = Refusal(413, "the program's history is too long")
HISTORY_NOT_STORABLE = Refusal(413, "the program's history can't be stored")
NO_MEMORY = Refusal(503, "no memory for it now", 0.5)
NOT_READ_IN_TIME = Refusal(503, "the request did not come in its time", 0.1)
TOO_LARGE = Refusal(413, "the request is too large")
NOT_READY = Refusal(503, "no configuration yet", 0.3)
NO_ENGINE = Refusal(503, "no engine can take it", 0.1)
ORIGIN_UNKNOWN = Refusal(503, "the version that began the stream is not known", 0.2)
TURN_NOT_RESUMABLE = Refusal(503, "a stored turn begins anew in each attempt", 0.1)
NO_ENGINE_OF_VERSION = Refusal(
    503, "no engine of the version that began the stream", 0.2
)
STATE_UNKNOWN = Refusal(503, "the program's state is not known yet", 0.2)
USAGE_UNKNOWN = Refusal(
    503, "it is not known yet what the program has used of its budget", 0.2
)
BUDGET_SPENT = Refusal(402, "the program's budget is spent")
TIMED_OUT = Refusal(504, "timed out")
MAY_HAVE_RUN = Refusal(502, "no whole answer; it may have run")
NOT_IDENTIFIED = Refusal(401, "no valid key")
KEYS_STALE = Refusal(503, "the newest keys are not known yet", 0.5)
"""Peers and the store are polled every 0.25 s, so most daemons are current within 0.5 s."""
TOO_MANY_REQUESTS = 429
OVER_LIMIT_REASON = "over the tenant's limit"
MALFORMED = Refusal(400, "a header can't be read")
