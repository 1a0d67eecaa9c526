"""Turns callers' requests into calls, and results and refusals into responses."""

from collections.abc import Callable

import msgspec

from notcharch.calls.call_lifecycle import CallLifecycle
from notcharch.calls.call_services import CallServices
from notcharch.calls.caller_check import CallerCheck
from notcharch.calls.interface import (
    MALFORMED,
    NO_MEMORY,
    NO_ROUTE,
    NOT_READ_IN_TIME,
    NOT_READY,
    ROUTE_NOT_KNOWN,
    TOO_LARGE,
    OpaqueCall,
    Refusal,
    Route,
)
from notcharch.calls.routing import Router, service_of
from notcharch.events.calls import (
    RequestMalformed,
    RequestNotRead,
    RequestWithoutRoute,
)
from notcharch.events.event import emit
from notcharch.http.exchange import (
    JSON_TYPE,
    ErrorResponse,
    Exchange,
    ServerLimits,
    UnreadCause,
)
from notcharch.http.messages import Headers, RequestHead, ResponseHead
from notcharch.platform.headers import (
    REQUEST_ID,
    parse_call,
    presented_api_keys,
    response_headers,
)
from notcharch.scheduling.residence import ANYWHERE, joined
from notcharch.tenants.interface import Tenant

NO_TABLE_VERSION = -1
"""Logged as the table version before the first table is loaded."""


READING = "reading"
"""Phase of a call whose request is still being read."""
MIN_CALL_SECONDS = 0.3
"""A request that is still being read is given up with less than this left.

Its head may not have been read, or its deadline be over.
"""
UNREAD_REFUSALS = {
    UnreadCause.NO_ROOM: NO_MEMORY,
    UnreadCause.TOO_LATE: NOT_READ_IN_TIME,
    UnreadCause.TOO_LARGE: TOO_LARGE,
}
UNKNOWN_ROUTE = Route("", "", "", (), is_repeatable=False)
"""Stands for the route of a request whose head is incomplete or has none."""


def requested_host(head: RequestHead) -> str:
    """Return the host that a request names; empty if it names none."""
    return (head.get(b"host") or b"").decode("latin-1")


def requested_path(head: RequestHead) -> str:
    """Return the path of a request, without its query."""
    return head.target.partition(b"?")[0].decode("latin-1")


def wait_seconds(call: OpaqueCall, route: Route) -> float:
    """Return how long a call may take from its head on."""
    wait = route.timeout_seconds
    return wait if call.wait_seconds is None else min(wait, call.wait_seconds)


def error_response(refusal: Refusal, call_id: bytes) -> ErrorResponse:
    """Return the response that tells a caller of a refusal."""
    headers: Headers = [JSON_TYPE]
    if call_id:
        headers.append((b"X-Notcharch-Request-Id", call_id))
    if refusal.retry_after_seconds is not None:
        seconds = f"{refusal.retry_after_seconds:.3f}"
        headers.append((b"Retry-After", seconds.encode()))
    body = msgspec.json.encode({"error": refusal.reason})
    return ErrorResponse(refusal.status, headers, body)


class ExchangeReply:
    """Writes a call's response to the caller's connection."""

    def __init__(self, exchange: Exchange, call_id: bytes) -> None:
        """Respond to one exchange."""
        self._exchange = exchange
        self._id = call_id

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call `callback` if the caller disconnects before the response ends."""
        self._exchange.on_disconnect = callback

    def watch_backlog(self, callback: Callable[[bool], None]) -> None:
        """Call `callback` when the caller falls behind or has caught up."""
        self._exchange.watch_backlog(callback)

    def begin(self, head: ResponseHead, *, length: int | None = None) -> None:
        """Forward the head of a streamed response, or of one whose length is known."""
        headers = response_headers(head)
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        self._exchange.start(head.status, headers)

    def write(self, data: bytes) -> None:
        """Forward events of a stream."""
        self._exchange.write(data)

    def finish(self) -> None:
        """End the stream."""
        self._exchange.finish()

    def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Forward an engine's complete response."""
        self._exchange.respond(head.status, response_headers(head), body)

    def refuse(self, refusal: Refusal) -> None:
        """Respond with a refusal instead of an engine's response."""
        response = error_response(refusal, self._id)
        self._exchange.respond(response.status, response.headers, response.body)

    def abort(self) -> None:
        """Abort the connection."""
        self._exchange.abort()


class Ingress:
    """Routes callers' requests and starts their calls."""

    def __init__(self, services: CallServices, check: CallerCheck) -> None:
        """Start without routes; `check` identifies the tenant of a call."""
        self._services = services
        self._check = check
        self.router: Router | None = None
        self.in_flight = 0
        self.is_draining = False

    def limits(self) -> ServerLimits:
        """Return the limits in force."""
        return ServerLimits() if self.router is None else self.router.table.limits

    def is_closing(self) -> bool:
        """Return whether responses should close their connections."""
        return self.is_draining

    def count(self, change: int) -> None:
        """Update the number of requests in flight."""
        self.in_flight += change

    def tenant(self, name: str) -> Tenant | None:
        """Return a tenant of the table in force by its name."""
        if self.router is None or self.router.table.keys is None:
            return None
        return self.router.table.keys.tenant(name)

    def health_path(self, service: str) -> str:
        """Return where engines of a service tell their ids; empty if it isn't known."""
        if self.router is None:
            return ""
        known = self.router.table.services.get(service)
        return "" if known is None else known.health_path

    def route_age(self, identity: str, now: float) -> float:
        """Return for how many seconds a route has had its services here."""
        return 0.0 if self.router is None else now - self.router.since(identity, now)

    def can_verify_keys(self, ahead_seconds: float = 0.0) -> bool:
        """Return whether keys can be verified now and for `ahead_seconds` more."""
        router = self.router
        return router is None or self._check.can_check_keys(router.table, ahead_seconds)

    def handle(self, exchange: Exchange) -> None:
        """Start the call of a request, or refuse it."""
        head = exchange.head
        id = head.get(REQUEST_ID) or b""
        reply = ExchangeReply(exchange, id)
        name = exchange.id = id.decode("latin-1")
        host, path = requested_host(head), requested_path(head)
        router = self.router
        if router is None:
            emit(RequestWithoutRoute(name, host, path, NO_TABLE_VERSION))
            reply.refuse(NOT_READY)
            return
        version = router.table.version
        route = router.find(host, path)
        if route is None:
            emit(RequestWithoutRoute(name, host, path, version))
            reply.refuse(ROUTE_NOT_KNOWN if router.table.lacks_routes else NO_ROUTE)
            return
        call = parse_call(head, exchange.body, exchange.arrived)
        if call is None:
            emit(RequestMalformed(name, host, path))
            reply.refuse(MALFORMED)
            return
        table = router.table
        refusal = self._check.refusal(call, presented_api_keys(head), route, table)
        if refusal is not None:
            reply.refuse(refusal)
            return
        call.regions = joined(
            route.regions, call.tenant.regions if call.tenant is not None else ANYWHERE
        )
        service = service_of(route, call)
        call.priority = router.priority_rank(route, service)
        call.tokens_per_event = router.tokens_per_event(service)
        if len(route.shares) > 1:
            call.tokens_by_service = {
                share.service: router.tokens_per_event(share.service)
                for share in route.shares
            }
        lifecycle = CallLifecycle(
            self._services, call, route, service, reply, held=exchange.take_memory()
        )
        exchange.on_sent = lifecycle.timer.answer_sent
        lifecycle.start()

    def body_seconds(self, exchange: Exchange) -> float:
        """Return the time within which a request has to be read, from its head on."""
        return wait_seconds(*self._unread_call(exchange))

    def unread_refusal(
        self, exchange: Exchange, cause: UnreadCause, waited_seconds: float
    ) -> ErrorResponse:
        """Return the response to a request that is read no further."""
        call, route = self._unread_call(exchange)
        length = exchange.head.get(b"content-length")
        seconds = self._services.clock.seconds() - exchange.arrived
        emit(
            RequestNotRead(
                call.id,
                route.name,
                cause.value,
                None if length is None else int(length),
                round(waited_seconds, 3),
                round(seconds, 3),
            )
        )
        return error_response(UNREAD_REFUSALS[cause], call.id.encode())

    def refusal_of_unread(self, exchange: Exchange | None) -> ErrorResponse | None:
        """Return the response to a request still being read that can't end before a stop.

        `exchange` is None while the head is incomplete: nothing is known of the call then.
        """
        call, route = self._unread_call(exchange)
        now = self._services.clock.seconds()
        deadline = now + MIN_CALL_SECONDS
        if exchange is not None and route.name:
            wait = wait_seconds(call, route)
            deadline = max(exchange.arrived + wait, deadline)
        stop = self._services.stop
        if stop is None:
            return None
        refusal = stop.refusal(call, route, deadline, READING, 0)
        return None if refusal is None else error_response(refusal, call.id.encode())

    def _unread_call(self, exchange: Exchange | None) -> tuple[OpaqueCall, Route]:
        """Return what is known of a call that is still being read."""
        unknown = OpaqueCall("", RequestHead(b"", b"", []), b"", 0.0), UNKNOWN_ROUTE
        if exchange is None or self.router is None:
            return unknown
        head = exchange.head
        route = self.router.find(requested_host(head), requested_path(head))
        call = parse_call(head, b"", exchange.arrived)
        if route is None or call is None:
            return unknown
        return call, route
