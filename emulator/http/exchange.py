"""Replies of the HTTP stand-ins, under their faults."""

import math
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.server import Request

from emulator.engine.refusals import EngineRefusal, RefusalCode
from emulator.faults import TransportFaults, Verdict

Value = TypeVar("Value")
Body = TypeVar("Body", bound=msgspec.Struct)
Outcome = Result[Value, EngineRefusal] | Deferred[Result[Value, EngineRefusal]]
Reply = Deferred[bytes]

RETRY_AFTER_SECONDS = 1.0


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The inside of an error reply."""

    code: str
    message: str
    retry_after: float | None = None


class ErrorReply(msgspec.Struct, frozen=True):
    """The body of every error reply."""

    error: ErrorBody


def json_reply(request: Request, body: object) -> bytes:
    """Encode a reply."""
    request.setHeader(b"content-type", b"application/json")
    return msgspec.json.encode(body)


def refusal_reply(request: Request, refusal: EngineRefusal) -> bytes:
    """Encode a refusal with its status."""
    request.setResponseCode(refusal.code.http_status)
    body = ErrorBody(refusal.code.slug, refusal.message, refusal.retry_after)
    return json_reply(request, ErrorReply(body))


def read_body(request: Request, shape: type[Body]) -> Result[Body, EngineRefusal]:
    """Decode a request's JSON body, or say what is wrong with it."""
    content: Any = request.content
    try:
        return Ok(msgspec.json.decode(content.read(), type=shape))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(EngineRefusal(RefusalCode.BAD_REQUEST, str(error)))


def text_argument(request: Request, name: str) -> str | None:
    """Read a value of the query."""
    values = (request.args or {}).get(name.encode())
    return values[0].decode(errors="replace") if values else None


def number_argument(
    request: Request, name: str, default: float
) -> Result[float, EngineRefusal]:
    """Read a number of the query."""
    text = text_argument(request, name)
    if text is None:
        return Ok(default)
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if math.isfinite(number) and number >= 0:
        return Ok(number)
    return Err(EngineRefusal(RefusalCode.BAD_REQUEST, f"{name} is no such number"))


def abort(request: Request) -> None:
    """Cut a request's connection without a reply."""
    channel: Any = request.channel
    if channel is not None:
        channel.forceAbortClient()


@attrs.frozen
class HttpExchange:
    """Answers requests of one target under its faults."""

    clock: IReactorTime
    faults: TransportFaults

    def answer(
        self,
        request: Request,
        effect: Callable[[], Outcome[Value]],
        shape: Callable[[Value], object],
    ) -> Reply:
        """Carry out an effect and answer with the JSON of `shape(value)`."""
        refusal = self.blocked(request)
        if refusal is not None:
            return refusal
        outcome = effect()
        waiting = outcome if isinstance(outcome, Deferred) else succeed(outcome)
        return waiting.addCallback(self._encode, request, shape)

    def blocked(self, request: Request) -> Reply | None:
        """Give the reply of a request that a fault keeps from any effect."""
        verdict = self.faults.before_effect()
        if verdict is Verdict.PROCEED:
            return None
        if verdict is Verdict.HANG:
            return Deferred()
        retry_after = self.faults.down_seconds or RETRY_AFTER_SECONDS
        refusal = EngineRefusal(RefusalCode.UNAVAILABLE, verdict.value, retry_after)
        return succeed(refusal_reply(request, refusal))

    def lose(self, request: Request) -> Reply | None:
        """Cut the connection after an effect, if a fault says so."""
        if not self.faults.loses_answer():
            return None
        abort(request)
        return Deferred()

    def late(self, body: bytes) -> Reply:
        """Give a reply, later when a fault says so."""
        if self.faults.slow_seconds > 0:
            return deferLater(self.clock, self.faults.slow_seconds, lambda: body)
        return succeed(body)

    def _encode(
        self,
        result: Result[Value, EngineRefusal],
        request: Request,
        shape: Callable[[Value], object],
    ) -> Reply:
        if isinstance(result, Err):
            return self.late(refusal_reply(request, result.err_value))
        lost = self.lose(request)
        if lost is not None:
            return lost
        return self.late(json_reply(request, shape(result.ok_value)))
