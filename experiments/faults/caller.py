"""A caller that behaves like a real one: after a failure it asks another daemon.

A call keeps its program and sequence over all tries. Every try's end is classified,
since a request that a daemon had got and cut is something else than a refusal.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError
from twisted.internet.error import (
    ConnectError,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from experiments.faults.facts import CallerFacts, CutCause
from experiments.load_client import (
    DATA_PREFIX,
    DONE_EVENT,
    AnswerReply,
    CallBody,
    ProblemReply,
    ProgramReply,
)
from notcharch.scheduling.retry import RetryPolicy
from notcharch.values.chat import ChatMessage

TRY_SECONDS = 30.0
GIVE_UP_SECONDS = 90.0
CONNECT_SECONDS = 2.0
CONNECTIONS_PER_DAEMON = 256
HISTORY_LIMIT = 1000
PENDING_SECONDS = 0.5
WHOLE = (200, 201)


class FinalProblemError(Exception):
    """A call has ended without an answer."""

    def __init__(self, problem: ProblemReply) -> None:
        """Keep the problem."""
        super().__init__(f"{problem.code}: {problem.message}")
        self.problem = problem


class HistoryReply(msgspec.Struct, frozen=True):
    """A page of history."""

    total: int
    messages: tuple[ChatMessage, ...]


@attrs.frozen
class TryEnd:
    """How a try ended: by a whole response, or by a problem."""

    data: bytes = b""
    problem: ProblemReply | None = None


@attrs.frozen
class Asked:
    """One request, repeated as it is until it has an outcome."""

    method: str
    path: str
    body: object | None = None
    headers: Mapping[str, list[str]] = attrs.field(factory=dict)
    stream: bool = False
    accepts_not_run: Callable[[ProblemReply], bool] = lambda problem: False
    """Whether the caller stops at a refusal that says `ran: "no"`."""


class Caller:
    """Asks any of the daemons with one tenant's key."""

    def __init__(
        self,
        reactor: Any,
        addresses: Mapping[str, str],
        key: str,
        chance: random.Random,
        *,
        facts: CallerFacts,
        cause_of_cut: Callable[[str, float], CutCause],
    ) -> None:
        """Ask `addresses`, daemons' names with `host:port`.

        `cause_of_cut` says which fault of a daemon cut a request begun at a time.
        """
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = CONNECTIONS_PER_DAEMON
        self._pool = pool
        agent = Agent(reactor, pool=pool, connectTimeout=CONNECT_SECONDS)
        self._http = HTTPClient(agent)
        self._reactor = reactor
        self._addresses = addresses
        self._key = key
        self._chance = chance
        self._facts = facts
        self._cause_of_cut = cause_of_cut
        self._policy = RetryPolicy()

    async def create(self, service: str) -> str:
        """Begin a program; gives its id."""
        key = f"{self._chance.getrandbits(64):016x}"
        asked = Asked(
            "POST", "/v1/programs", {"service": service}, {"Idempotency-Key": [key]}
        )
        begun_at = self._reactor.seconds()
        data, tries = await self._ask_counting(asked)
        if tries == 1:
            seconds = self._reactor.seconds() - begun_at
            self._facts.calm_create_seconds.append(seconds)
        return msgspec.json.decode(data, type=ProgramReply).program

    async def call(
        self,
        program: str,
        call: CallBody,
        accepts_not_run: Callable[[ProblemReply], bool],
    ) -> str:
        """Run a call; gives the content of its answer."""
        body = {
            "sequence": call.sequence,
            "messages": call.messages,
            "max_tokens": call.max_tokens,
            "repeatable": call.repeatable,
            "stream": call.stream,
        }
        asked = Asked(
            "POST",
            f"/v1/programs/{program}/calls",
            body,
            stream=call.stream,
            accepts_not_run=accepts_not_run,
        )
        begun_at = self._reactor.seconds()
        data, tries = await self._ask_counting(asked)
        seconds = self._reactor.seconds() - begun_at
        if tries == 1:
            self._facts.calm_call_seconds.append(seconds)
        else:
            waits = self._facts.disturbed_wait_seconds
            waits[program] = max(seconds, waits.get(program, 0.0))
        return data.decode() if call.stream else _whole_content(data)

    async def history(self, program: str) -> tuple[ChatMessage, ...]:
        """Read the whole history."""
        path = f"/v1/programs/{program}/history?limit={HISTORY_LIMIT}"
        data = await self._ask(Asked("GET", path))
        return msgspec.json.decode(data, type=HistoryReply).messages

    async def end(self, program: str) -> None:
        """End a program."""
        await self._ask(Asked("DELETE", f"/v1/programs/{program}"))

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.closeCachedConnections()

    async def _ask(self, asked: Asked) -> bytes:
        data, _ = await self._ask_counting(asked)
        return data

    async def _ask_counting(self, asked: Asked) -> tuple[bytes, int]:
        give_up_at = self._reactor.seconds() + GIVE_UP_SECONDS
        tries = 0
        avoided = ""
        while True:
            daemon = self._choose(avoided)
            tries += 1
            end = await self._try(daemon, asked)
            problem = end.problem
            if problem is None:
                return end.data, tries
            late = self._reactor.seconds() > give_up_at
            says_not_run = problem.ran == "no" and asked.accepts_not_run(problem)
            if late or says_not_run or problem.retry_after is None:
                raise FinalProblemError(problem)
            avoided = daemon
            jitter = self._policy.delay_seconds(min(tries, 4), self._chance)
            await deferLater(self._reactor, problem.retry_after + jitter)

    def _choose(self, avoided: str) -> str:
        names = [name for name in self._addresses if name != avoided]
        return self._chance.choice(names)

    async def _try(self, daemon: str, asked: Asked) -> TryEnd:
        begun_at = self._reactor.seconds()
        try:
            response = await self._http.request(
                asked.method,
                f"http://{self._addresses[daemon]}{asked.path}",
                headers=Headers(
                    {"Authorization": [f"Bearer {self._key}"], **asked.headers}
                ),
                data=None if asked.body is None else msgspec.json.encode(asked.body),
                timeout=TRY_SECONDS,
            )
            data: bytes = await response.content()
        except (ConnectError, ConnectionRefusedError):
            self._facts.unreachable += 1
            return _lost("nobody listens")
        except (CancelledError, TimeoutError):
            return self._timed_out()
        except Exception as error:
            if self._reactor.seconds() - begun_at >= TRY_SECONDS:
                # The time-out cut the connection while a response was awaited.
                return self._timed_out()
            # Whatever else breaks a connection: the call may have run or not.
            self._note_cut(daemon, begun_at, asked, repr(error))
            return _lost(type(error).__name__)
        if response.code not in WHOLE:
            return self._refused(response.code, data)
        if not asked.stream:
            return TryEnd(data)
        return self._stream_end(daemon, begun_at, asked, data)

    def _timed_out(self) -> TryEnd:
        self._facts.timed_out += 1
        return _lost("timed out")

    def _stream_end(
        self, daemon: str, begun_at: float, asked: Asked, data: bytes
    ) -> TryEnd:
        end = read_stream(data)
        if end is None:
            self._note_cut(daemon, begun_at, asked, "the stream has no end")
            return _lost("no end of the stream")
        if end.problem is not None:
            self._facts.broken_streams[end.problem.code] += 1
        return end

    def _refused(self, status: int, data: bytes) -> TryEnd:
        problem = _problem_of(status, data)
        self._facts.refusals[problem.code] += 1
        return TryEnd(problem=problem)

    def _note_cut(
        self, daemon: str, begun_at: float, asked: Asked, reason: str
    ) -> None:
        cause = self._cause_of_cut(daemon, begun_at)
        self._facts.cuts[cause] += 1
        now = self._reactor.seconds()
        self._facts.cut_details.append(
            f"{cause.value}: {daemon} at {now:.1f} after {now - begun_at:.2f} s,"
            f" {asked.method} {asked.path}: {reason[:160]}"
        )


def read_stream(data: bytes) -> TryEnd | None:
    """Give a stream's content or problem; None when it has no end."""
    parts: list[str] = []
    for line in data.decode().split("\n"):
        if not line.startswith(DATA_PREFIX):
            continue
        event = line[len(DATA_PREFIX) :]
        if event == DONE_EVENT:
            return TryEnd("".join(parts).encode())
        chunk = msgspec.json.decode(event, type=AnswerReply)
        if chunk.error is not None:
            return TryEnd(problem=chunk.error)
        parts += [choice.delta.content or "" for choice in chunk.choices]
    return None


def _whole_content(data: bytes) -> str:
    reply = msgspec.json.decode(data, type=AnswerReply)
    return reply.choices[0].message.content or ""


def _lost(message: str) -> TryEnd:
    return TryEnd(problem=ProblemReply("lost", message, 0.0))


def _problem_of(status: int, data: bytes) -> ProblemReply:
    if status == 202:
        return ProblemReply("running", "no answer yet", PENDING_SECONDS)
    try:
        return msgspec.json.decode(data, type=ProblemReply)
    except msgspec.DecodeError:
        return ProblemReply(f"status_{status}", "not a problem document")
