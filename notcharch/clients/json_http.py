"""One JSON request over HTTP, with a time-out; failures state whether it was executed.

Every client module but the engine's token stream uses this. The agent manages
connections (see `notcharch.clients.connections`).
"""

import functools
from collections.abc import Hashable
from typing import Any, TypeVar, cast

import attrs
import msgspec
from result import Err, Ok, Result
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgent

from notcharch.clients.body_reader import read_complete_body
from notcharch.clients.failures import (
    problem_of_failure,
    problem_of_garbled_reply,
    problem_of_reply,
    status_of,
)
from notcharch.errors import Problem, ProblemCode
from notcharch.values.decoding import DECODING_ERRORS

ReplyT = TypeVar("ReplyT")

GET = "GET"
POST = "POST"
DELETE = "DELETE"
JSON_HEADERS = Headers(
    {"content-type": ["application/json"], "accept": ["application/json"]}
)


@attrs.frozen
class HttpReply:
    """The status and body of a complete response."""

    status: int
    body: bytes


class JsonHttp:
    """Sends JSON requests to one kind of external system.

    `failure_code` is the default code of a failure, and `system` names the external
    system in messages.
    """

    def __init__(
        self,
        agent: IAgent,
        clock: IReactorTime,
        timeout_seconds: float,
        system: str,
        failure_code: ProblemCode,
    ) -> None:
        """Store the agent and the clock."""
        self._http = HTTPClient(agent)
        self._clock = clock
        self._timeout_seconds = timeout_seconds
        self._system = system
        self._failure_code = failure_code

    async def call(
        self,
        method: str,
        url: str,
        reply_type: type[ReplyT],
        body: object = None,
        extra_seconds: float = 0.0,
    ) -> Result[ReplyT, Problem]:
        """Send `body` as JSON and decode the response as `reply_type`.

        `extra_seconds` extends the time-out, for long polling.
        """
        timed_out = _TimeoutFlag()
        exchange = Deferred.fromCoroutine(self._exchange(method, url, body))
        timer = self._clock.callLater(
            self._timeout_seconds + extra_seconds, _cancel, exchange, timed_out
        )
        try:
            reply = await exchange
        except Exception as error:
            return Err(self._failure(error, timed_out.is_set, url))
        finally:
            if timer.active():
                timer.cancel()
        return self._decode_reply(reply, reply_type, url)

    async def _exchange(self, method: str, url: str, body: object) -> HttpReply:
        data = None if body is None else msgspec.json.encode(body)
        response = await self._http.request(
            method,
            url,
            headers=JSON_HEADERS,
            data=data,
            allow_redirects=False,
            unbuffered=True,
        )
        return HttpReply(status_of(response), await read_complete_body(response))

    def _failure(self, error: Exception, timed_out: bool, url: str) -> Problem:
        code = ProblemCode.TIMED_OUT if timed_out else self._failure_code
        return problem_of_failure(error, code, f"{self._system} at {url}")

    def _decode_reply(
        self, reply: HttpReply, reply_type: type[ReplyT], url: str
    ) -> Result[ReplyT, Problem]:
        where = f"{self._system} at {url}"
        if not 200 <= reply.status < 300:
            return Err(
                problem_of_reply(reply.status, reply.body, self._failure_code, where)
            )
        try:
            return Ok(_decode(reply_type, reply.body))
        except DECODING_ERRORS as error:
            return Err(problem_of_garbled_reply(error, self._failure_code, where))


class _TimeoutFlag:
    """Records that a Deferred was cancelled by the time-out."""

    is_set = False


def _cancel(exchange: "Deferred[HttpReply]", timed_out: _TimeoutFlag) -> None:
    timed_out.is_set = True
    exchange.cancel()


@functools.cache
def _decoder(reply_type: Any) -> "msgspec.json.Decoder[Any]":
    return msgspec.json.Decoder(reply_type)


def _decode(reply_type: type[ReplyT], body: bytes) -> ReplyT:
    decoded: ReplyT = _decoder(cast(Hashable, reply_type)).decode(body)
    return decoded
