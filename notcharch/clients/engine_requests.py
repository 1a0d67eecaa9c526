"""Status queries and cancellation of a request that runs on an engine."""

from collections.abc import Callable
from urllib.parse import quote

import msgspec
from result import Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.backoff import Backoff
from notcharch.clients.json_http import DELETE, GET, JsonHttp
from notcharch.errors import Problem
from notcharch.events.clients import EngineCancelFailed
from notcharch.events.event import emit
from notcharch.values.identifiers import RequestId

QUEUED = "queued"
RUNNING = "running"
CANCELLED = "cancelled"
UNKNOWN = "unknown"


class RunState(msgspec.Struct, frozen=True):
    """The state of a request on its engine; `events` counts the events written."""

    state: str
    events: int = 0

    @property
    def is_active(self) -> bool:
        """Return whether more events will follow."""
        return self.state in (QUEUED, RUNNING)

    @property
    def is_unavailable(self) -> bool:
        """Return whether its remaining events cannot be obtained."""
        return self.state in (CANCELLED, UNKNOWN)


class EngineRequests:
    """Queries the state of requests and cancels them."""

    def __init__(
        self, http: JsonHttp, clock: IReactorTime, new_backoff: Callable[[], Backoff]
    ) -> None:
        """Use the client's JSON transport."""
        self._http = http
        self._clock = clock
        self._new_backoff = new_backoff

    def stream_url(self, address: str, request_id: RequestId, offset: int) -> bytes:
        """Return the URL of the stream, starting at event `offset`."""
        return f"{_url(address, request_id)}/stream?offset={offset}".encode("ascii")

    async def state(
        self, address: str, request_id: RequestId
    ) -> Result[RunState, Problem]:
        """Request the state of a request and its number of events."""
        return await self._http.call(GET, _url(address, request_id), RunState)

    def cancel(self, address: str, request_id: RequestId) -> None:
        """Cancel with retries; a failure is only logged."""
        Deferred.fromCoroutine(self._cancel(address, request_id))

    async def _cancel(self, address: str, request_id: RequestId) -> None:
        backoff = self._new_backoff()
        while True:
            reply = await self._http.call(DELETE, _url(address, request_id), RunState)
            if isinstance(reply, Ok):
                return
            delay = backoff.next_delay()
            if delay is None:
                break
            await _sleep(self._clock, delay)
        emit(EngineCancelFailed(address, request_id, reply.err_value.message))


def _url(address: str, request_id: RequestId) -> str:
    return f"http://{address}/v1/requests/{quote(request_id, safe='')}"


def _sleep(clock: IReactorTime, seconds: float) -> "Deferred[None]":
    woken: Deferred[None] = Deferred()
    clock.callLater(seconds, woken.callback, None)
    return woken
