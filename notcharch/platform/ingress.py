"""The callers' side: requests into calls, answers and refusals into responses."""

from collections.abc import Callable

import msgspec

from notcharch.calls.call_lifecycle import CallLifecycle
from notcharch.calls.caller_check import CallerCheck
from notcharch.calls.engine_run import CallServices
from notcharch.calls.interface import (
    MALFORMED,
    NO_ROUTE,
    NOT_READY,
    Refusal,
)
from notcharch.calls.routing import Router, service_of
from notcharch.events.calls import (
    RequestMalformed,
    RequestWithoutRoute,
)
from notcharch.events.event import emit
from notcharch.http.messages import Headers, ResponseHead
from notcharch.http.server import JSON_TYPE, Exchange, ServerLimits
from notcharch.platform.headers import (
    REQUEST_ID,
    answer_headers,
    presented_keys,
    read_call,
)
from notcharch.scheduling.residence import ANYWHERE, joined
from notcharch.tenants.interface import Tenant

NO_TABLE = -1
"""Told as the version while no table is known."""


class ExchangeReply:
    """A call's answer, written to the caller's connection."""

    def __init__(self, exchange: Exchange, call_id: bytes) -> None:
        """Answer one exchange."""
        self._exchange = exchange
        self._id = call_id

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call back if the caller leaves before the end."""
        self._exchange.on_disconnect = callback

    def begin(self, head: ResponseHead) -> None:
        """Pass on the head of a stream, in chunks."""
        self._exchange.start(head.status, answer_headers(head))

    def write(self, data: bytes) -> None:
        """Pass on events."""
        self._exchange.write(data)

    def finish(self) -> None:
        """End the stream."""
        self._exchange.finish()

    def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Pass on an engine's whole answer."""
        self._exchange.respond(head.status, answer_headers(head), body)

    def refuse(self, refusal: Refusal) -> None:
        """Give an answer of our own."""
        headers: Headers = [JSON_TYPE]
        if self._id:
            headers.append((b"X-Notcharch-Request-Id", self._id))
        if refusal.retry_after_seconds is not None:
            seconds = f"{refusal.retry_after_seconds:.3f}"
            headers.append((b"Retry-After", seconds.encode()))
        body = msgspec.json.encode({"error": refusal.reason})
        self._exchange.respond(refusal.status, headers, body)

    def abort(self) -> None:
        """Cut the connection."""
        self._exchange.abort()


class Ingress:
    """Takes callers' requests into the product's call path."""

    def __init__(self, services: CallServices, check: CallerCheck) -> None:
        """Begin without routes; `check` finds whose call it is."""
        self._services = services
        self._check = check
        self.router: Router | None = None
        self.in_flight = 0
        self.is_draining = False

    def limits(self) -> ServerLimits:
        """Give the limits in force."""
        return ServerLimits() if self.router is None else self.router.table.limits

    def is_closing(self) -> bool:
        """Tell whether answers should end their connections."""
        return self.is_draining

    def count(self, change: int) -> None:
        """Count requests under way."""
        self.in_flight += change

    def tenant(self, name: str) -> Tenant | None:
        """Give a tenant of the table in force, by its name."""
        if self.router is None or self.router.table.keys is None:
            return None
        return self.router.table.keys.tenant(name)

    def judges_keys(self, ahead_seconds: float = 0.0) -> bool:
        """Tell whether keys can be judged now, and for some seconds more, if need be."""
        router = self.router
        return router is None or self._check.can_check_keys(router.table, ahead_seconds)

    def handle(self, exchange: Exchange) -> None:
        """Begin the life of a call."""
        head = exchange.head
        id = head.get(REQUEST_ID) or b""
        reply = ExchangeReply(exchange, id)
        name = id.decode("latin-1")
        host = (head.get(b"host") or b"").decode("latin-1")
        path = head.target.partition(b"?")[0].decode("latin-1")
        router = self.router
        if router is None:
            emit(RequestWithoutRoute(name, host, path, NO_TABLE))
            reply.refuse(NOT_READY)
            return
        version = router.table.version
        route = router.find(host, path)
        if route is None:
            emit(RequestWithoutRoute(name, host, path, version))
            reply.refuse(NO_ROUTE)
            return
        call = read_call(head, exchange.body, exchange.arrived)
        if call is None:
            emit(RequestMalformed(name, host, path))
            reply.refuse(MALFORMED)
            return
        table = router.table
        refusal = self._check.refusal(call, presented_keys(head), route, table)
        if refusal is not None:
            reply.refuse(refusal)
            return
        call.regions = joined(
            route.regions, call.tenant.regions if call.tenant is not None else ANYWHERE
        )
        service = service_of(route, call)
        known = router.table.services.get(service)
        if known is not None:
            call.tokens_per_event = known.tokens_per_event
        CallLifecycle(self._services, call, route, service, reply).start()
