"""The client of the rate-limited weight store."""

from urllib.parse import quote

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.iweb import IAgent

from notcharch.clients.json_http import GET, POST, JsonHttp
from notcharch.errors import Problem, ProblemCode
from notcharch.settings.schema import PlatformSection
from notcharch.values.identifiers import EngineName, RequestId


class PullBody(msgspec.Struct, frozen=True):
    """The body of a pull."""

    weights: str
    engine: EngineName


class PullReply(msgspec.Struct, frozen=True):
    """The id of a started pull."""

    pull: RequestId


class PullState(msgspec.Struct, frozen=True):
    """The progress of a pull, 0.0 to 1.0."""

    state: str
    fraction: float


class WeightStoreClient:
    """Implements `WeightStorePort` over HTTP."""

    def __init__(
        self, agent: IAgent, clock: IReactorTime, settings: PlatformSection
    ) -> None:
        """Take the address and the time-out from the settings."""
        self._url = f"http://{settings.weight_store}/v1/pulls"
        self._http = JsonHttp(
            agent,
            clock,
            settings.request_seconds,
            "weight store",
            ProblemCode.UNAVAILABLE,
        )

    def start_pull(
        self, weights: str, engine: EngineName
    ) -> "Deferred[Result[RequestId, Problem]]":
        """Start a pull; a rejection carries `retry_after`."""
        return Deferred.fromCoroutine(self._start_pull(weights, engine))

    def pull_fraction(self, pull: RequestId) -> "Deferred[Result[float, Problem]]":
        """Return the completed fraction, 0.0 to 1.0."""
        return Deferred.fromCoroutine(self._pull_fraction(pull))

    async def _start_pull(
        self, weights: str, engine: EngineName
    ) -> Result[RequestId, Problem]:
        reply = await self._http.call(
            POST, self._url, PullReply, PullBody(weights, engine)
        )
        if isinstance(reply, Err):
            return reply
        return Ok(reply.ok_value.pull)

    async def _pull_fraction(self, pull: RequestId) -> Result[float, Problem]:
        url = f"{self._url}/{quote(pull, safe='')}"
        reply = await self._http.call(GET, url, PullState)
        if isinstance(reply, Err):
            return reply
        return Ok(reply.ok_value.fraction)
