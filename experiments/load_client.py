"""A caller of the gateway over real HTTP, which comes back as it is told to.

A call keeps its sequence over all tries, so a try whose outcome was lost joins or
gets the one answer, at whichever daemon is asked next.
"""

import random
from collections import Counter
from collections.abc import Sequence
from typing import Any

import attrs
import msgspec
from result import Err, Ok, Result
from treq.client import HTTPClient
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from notcharch.scheduling.retry import RetryPolicy
from notcharch.values.chat import ChatMessage

TRY_SECONDS = 90.0
CALL_SECONDS = 120.0
"""A call that has no answer after all its tries is given up by the caller."""

CONNECTIONS_PER_DAEMON = 256
DONE_EVENT = "[DONE]"
DATA_PREFIX = "data: "


class CallError(Exception):
    """A call has ended without an answer; the text is the problem's."""


class ProblemReply(msgspec.Struct, frozen=True):
    """What of a problem decides the next try."""

    code: str
    message: str = ""
    retry_after: float | None = None
    ran: str = "unknown"


class ProgramReply(msgspec.Struct, frozen=True):
    """A created program."""

    program: str


class ReplyMessage(msgspec.Struct, frozen=True):
    """The message of an answer."""

    content: str | None = None


class ReplyChoice(msgspec.Struct, frozen=True):
    """A choice of an answer or of a chunk."""

    message: ReplyMessage = ReplyMessage()
    delta: ReplyMessage = ReplyMessage()
    finish_reason: str | None = None


class AnswerReply(msgspec.Struct, frozen=True):
    """An answer or a chunk of one; `error` when a stream broke."""

    choices: tuple[ReplyChoice, ...] = ()
    error: ProblemReply | None = None


@attrs.frozen
class CallBody:
    """One call; `messages` are the new ones only."""

    sequence: int
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    repeatable: bool = True
    stream: bool = False


@attrs.define
class ClientCounters:
    """What a client has seen."""

    requests: int = 0
    lost_requests: int = 0
    """No response: a connection failed or broke."""

    broken_streams: int = 0
    refusals: Counter[str] = attrs.field(factory=Counter)
    """Problems by code."""


class LoadClient:
    """Calls any of several daemons with one tenant's key."""

    def __init__(
        self,
        reactor: Any,
        addresses: Sequence[str],
        key: str,
        chance: random.Random,
        *,
        try_seconds: float = TRY_SECONDS,
    ) -> None:
        """Choose the daemon of each try with `chance`."""
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = CONNECTIONS_PER_DAEMON
        self._pool = pool
        self._http = HTTPClient(Agent(reactor, pool=pool, connectTimeout=2.0))
        self._clock: IReactorTime = reactor
        self._addresses = tuple(addresses)
        self._key = key
        self._chance = chance
        self._try_seconds = try_seconds
        self._policy = RetryPolicy()
        self.counters = ClientCounters()

    async def create(self, service: str, parent: str | None = None) -> str:
        """Begin a program; gives its id."""
        body = {"service": service, "parent": parent}
        key = f"{self._chance.getrandbits(64):016x}"
        data = await self._until_done(
            "POST", "/v1/programs", body, {"Idempotency-Key": [key]}
        )
        return msgspec.json.decode(data, type=ProgramReply).program

    async def call(self, program: str, call: CallBody) -> str:
        """Run a call; gives the content of its answer."""
        body = {
            "sequence": call.sequence,
            "messages": call.messages,
            "max_tokens": call.max_tokens,
            "repeatable": call.repeatable,
            "stream": call.stream,
        }
        path = f"/v1/programs/{program}/calls"
        give_up_at = self._clock.seconds() + CALL_SECONDS
        while True:
            data = await self._until_done("POST", path, body)
            content = _content_of(data, is_stream=call.stream)
            if content is not None:
                return content
            self.counters.broken_streams += 1
            if self._clock.seconds() > give_up_at:
                raise CallError("the stream broke at every try")
            await self._pause(1)

    async def end(self, program: str) -> None:
        """End a program."""
        await self._until_done("DELETE", f"/v1/programs/{program}", None)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.closeCachedConnections()

    async def _until_done(
        self,
        method: str,
        path: str,
        body: object | None,
        headers: dict[str, list[str]] | None = None,
    ) -> bytes:
        """Send until it is done; raises CallError when there is no use in it."""
        give_up_at = self._clock.seconds() + CALL_SECONDS
        failures = 0
        while True:
            result = await self._try(method, path, body, headers or {})
            if isinstance(result, Ok):
                return result.ok_value
            problem = result.err_value
            failures += 1
            late = self._clock.seconds() > give_up_at
            if late or problem.retry_after is None:
                raise CallError(f"{problem.code}: {problem.message}")
            await self._pause(failures, problem.retry_after)

    async def _try(
        self, method: str, path: str, body: object | None, headers: dict[str, list[str]]
    ) -> Result[bytes, ProblemReply]:
        self.counters.requests += 1
        address = self._chance.choice(self._addresses)
        try:
            response = await self._http.request(
                method,
                f"http://{address}{path}",
                headers=Headers({"Authorization": [f"Bearer {self._key}"], **headers}),
                data=None if body is None else msgspec.json.encode(body),
                timeout=self._try_seconds,
            )
            data: bytes = await response.content()
        except Exception as error:
            # Whatever breaks a connection: the call may have run or not.
            self.counters.lost_requests += 1
            return Err(ProblemReply("lost", type(error).__name__, 0.0))
        if response.code in (200, 201):
            return Ok(data)
        problem = _problem_of(response.code, data)
        self.counters.refusals[problem.code] += 1
        return Err(problem)

    async def _pause(self, failures: int, at_least_seconds: float = 0.0) -> None:
        jitter = self._policy.delay_seconds(failures, self._chance)
        await deferLater(self._clock, at_least_seconds + jitter)


def _problem_of(status: int, data: bytes) -> ProblemReply:
    try:
        return msgspec.json.decode(data, type=ProblemReply)
    except msgspec.DecodeError:
        if status == 202:
            return ProblemReply("running", "no answer yet", 0.5)
        return ProblemReply(f"status_{status}", "not a problem document")


def _content_of(data: bytes, *, is_stream: bool) -> str | None:
    """Return the content of a complete answer; None for a broken stream."""
    if not is_stream:
        reply = msgspec.json.decode(data, type=AnswerReply)
        return reply.choices[0].message.content or ""
    parts: list[str] = []
    for line in data.decode().split("\n"):
        if not line.startswith(DATA_PREFIX):
            continue
        event = line[len(DATA_PREFIX) :]
        if event == DONE_EVENT:
            return "".join(parts)
        chunk = msgspec.json.decode(event, type=AnswerReply)
        if chunk.error is not None:
            return None
        parts += [choice.delta.content or "" for choice in chunk.choices]
    return None
