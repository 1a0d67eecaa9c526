"""Typed calls, routes and engines, and the ports that adapters implement."""

from typing import Protocol

import msgspec

from notcharch.http.messages import RequestHead, ResponseHead
from notcharch.scheduling.cold_engines import ColdLimit
from notcharch.tenants.interface import Tenant


class ServiceShare(msgspec.Struct, frozen=True):
    """A service that gets a part of a route's calls."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Which service serves a path of a host, and how its calls may be treated."""

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    is_repeatable: bool
    """Whether a call may run more than once."""
    is_stream: bool = False
    is_resumable: bool = False
    """Whether a stream may be taken up after an event at another engine."""
    is_sticky: bool = False
    max_engines: int = 1
    """On so many engines one call may run."""
    timeout_seconds: float = 30.0
    objective_seconds: float = 1.0
    priority: int = 0
    """0 is the most urgent."""
    stores_turns: bool = False
    """Whether a call brings only its new input and names the turn before it."""
    is_public: bool = False
    """Whether calls need no key, also where the table has tenants."""
    retention_seconds: float = 60.0
    """For so long a turn is kept and a program's budget remembered."""
    regions: frozenset[str] | None = None
    """Where its calls may be served and kept; None: anywhere."""


class Service(msgspec.Struct, frozen=True):
    """What is known of all engines of a service."""

    name: str
    connection_limit: int = 100
    tokens_per_event: int = 1
    """Tokens in each event of a stream."""
    cold: ColdLimit = ColdLimit()
    """What its engines bear for some seconds after their start."""


class Engine(msgspec.Struct, frozen=True):
    """One incarnation of an engine."""

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int = 1
    is_draining: bool = False
    cold_seconds: float = 0.0
    """For so long it was still cold when its entry was written."""


class OpaqueCall(msgspec.Struct):
    """One try of a caller: bytes to pass on, and what decides about them."""

    id: str
    head: RequestHead
    body: bytes
    arrived: float
    """Clock seconds at which the head was read."""
    wait_seconds: float | None = None
    """How long the caller waits."""
    program: str = ""
    session: str = ""
    affinity: str = ""
    max_tokens: int = 0
    """Tokens that this call may generate."""
    budget_tokens: int | None = None
    """Tokens that all calls of the program together may generate."""
    tokens_per_event: int = 1
    previous_turn: str = ""
    last_event_id: bytes | None = None
    program_remaining_seconds: float | None = None
    tenant: Tenant | None = None
    """Whose call it is, by its key; None where no key is needed."""

    regions: frozenset[str] | None = None
    """Where it may be served and kept, by its route and its tenant; None: anywhere."""

    @property
    def tenant_name(self) -> str:
        """The name of its tenant; empty where there is none."""
        return self.tenant.name if self.tenant is not None else ""


class ResponseDialect(Protocol):
    """Reads what the head of an engine's answer says."""

    def is_response_to(self, call: OpaqueCall, head: ResponseHead) -> bool:
        """Tell whether a head answers this call, not an earlier one."""

    def was_not_run(self, head: ResponseHead) -> bool:
        """Tell whether the engine certainly did not and will not run the call."""

    def is_genuine(self, head: ResponseHead) -> bool:
        """Tell whether the engine vouches for a successful answer."""


class EngineDialect(ResponseDialect, Protocol):
    """How calls are put to engines."""

    def request(
        self, call: OpaqueCall, engine: Engine, remaining_ms: int
    ) -> RequestHead:
        """Give the head to send for a call."""


class Admission(Protocol):
    """Decides whether a call may run, and learns what came of it."""

    def request(
        self, call: OpaqueCall, route: Route, listener: "AdmissionListener"
    ) -> None:
        """Admit a call, or refuse it, through `listener`."""


class AdmissionListener(Protocol):
    """Hears the outcome of an admission."""

    @property
    def awaits_admission(self) -> bool:
        """Whether the caller is still there and waits."""

    def admitted(self, ticket: "Ticket", body: bytes) -> None:
        """Go on with a body; `ticket` hears what came of the call."""

    def refused(self, refusal: "Refusal") -> None:
        """Give the caller a final answer."""


class Ticket(Protocol):
    """An admitted call's account."""

    @property
    def cached_engine(self) -> str:
        """The engine that has the program's prefix, as far as is known; or nothing."""

    def engine_started(self, engine_id: str) -> None:
        """Hear which engine runs the call."""

    def never_ran(self) -> None:
        """Hear that no engine ran the call."""

    def interrupted(self, events: int) -> None:
        """Hear that a run ended early, after so many events for the caller."""

    def completed(self, output: bytes, events: int, then: "Completion") -> None:
        """Hear the whole output; `then` is told when the end may be shown."""


class Completion(Protocol):
    """Hears when the outcome of a call is durable."""

    @property
    def is_caller_waiting(self) -> bool:
        """Whether anybody waits for the outcome."""

    def durable(self) -> None:
        """Hear that the end may be shown to the caller."""

    def not_durable(self) -> None:
        """Hear that the end must not be shown: it is not durable in time."""


class Refusal(msgspec.Struct, frozen=True):
    """A final answer of our own."""

    status: int
    reason: str
    retry_after_seconds: float | None = None
    """When the caller may come back; None says nothing about it."""


NO_ROUTE = Refusal(404, "no route")
UNKNOWN_TURN = Refusal(404, "no such turn")
NOT_READY = Refusal(503, "no configuration yet", 0.3)
NO_ENGINE = Refusal(503, "no engine can take it", 0.1)
STATE_UNKNOWN = Refusal(503, "the program's state is not known yet", 0.2)
BUDGET_SPENT = Refusal(402, "the program's budget is spent")
TIMED_OUT = Refusal(504, "timed out")
MAY_HAVE_RUN = Refusal(502, "no whole answer; it may have run")
NOT_IDENTIFIED = Refusal(401, "no valid key")
KEYS_STALE = Refusal(503, "the newest keys are not known yet", 0.5)
"""Peers and the store are asked again each 0.25 s, so most daemons know within 0.5 s."""
TOO_MANY_REQUESTS = 429
OVER_LIMIT_REASON = "over the tenant's limit"
MALFORMED = Refusal(400, "a header can't be read")
