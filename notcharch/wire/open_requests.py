"""Requests that await a reply, with their time-outs and what is known of `ran`."""

from collections.abc import Callable

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.wire.messages.base import Message, Refusal

Reply = Result[Message, Problem]

RETRY_AFTER_SECONDS = 0.5
"""When a caller may ask again after a peer did not answer."""


class OpenRequest:
    """One request; `written` tells whether the peer may have received it."""

    def __init__(self, request_id: int, description: str) -> None:
        """Begin unwritten and unanswered."""
        self.request_id = request_id
        self.description = description
        self.written = False
        self.answered: Deferred[Reply] = Deferred(self._cancelled)
        self.timeout: IDelayedCall | None = None
        self._settled = False
        self._on_settled: list[Callable[[], None]] = []

    @property
    def is_settled(self) -> bool:
        """Tell whether the reply or a problem was given."""
        return self._settled

    def on_settled(self, listener: Callable[[], None]) -> None:
        """Call `listener` once, before the reply is given."""
        self._on_settled.append(listener)

    def settle(self, reply: Reply) -> None:
        """Give the reply; later ones are ignored."""
        if self._settled:
            return
        self._close()
        self.answered.callback(reply)

    def fail(self, code: ProblemCode, reason: str, retry_after: float) -> None:
        """Give a problem whose `ran` is `no` only if nothing was written."""
        ran = Ran.UNKNOWN if self.written else Ran.NO
        text = f"{self.description}: {reason}"
        self.settle(Err(Problem.of(code, text, ran=ran, retry_after=retry_after)))

    def fail_unavailable(
        self, reason: str, retry_after: float = RETRY_AFTER_SECONDS
    ) -> None:
        """Give UNAVAILABLE; see `fail`."""
        self.fail(ProblemCode.UNAVAILABLE, reason, retry_after)

    def time_out(self) -> None:
        """Give the time-out's problem."""
        code = ProblemCode.TIMED_OUT if self.written else ProblemCode.UNAVAILABLE
        self.fail(code, "no reply in time", RETRY_AFTER_SECONDS)

    def _close(self) -> None:
        self._settled = True
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()
        for listener in self._on_settled:
            listener()

    def _cancelled(self, _: "Deferred[Reply]") -> None:
        self._close()


class OpenRequests:
    """The open requests to one peer or of one daemon, by id."""

    def __init__(self, clock: IReactorTime) -> None:
        """Begin with none; ids count from 1 and are never reused."""
        self._clock = clock
        self._open: dict[int, OpenRequest] = {}
        self._last_id = 0

    def __len__(self) -> int:
        """Count the open requests."""
        return len(self._open)

    def open(self, description: str, timeout_seconds: float) -> OpenRequest:
        """Begin a request that times out by itself."""
        self._last_id += 1
        request = OpenRequest(self._last_id, description)
        self._open[request.request_id] = request
        request.on_settled(lambda: self._forget(request.request_id))
        request.timeout = self._clock.callLater(timeout_seconds, request.time_out)
        return request

    def reply(self, request_id: int, reply: Reply) -> None:
        """Settle a request; a reply to an unknown or settled one is ignored."""
        request = self._open.get(request_id)
        if request is not None:
            request.settle(reply)

    def all(self) -> tuple[OpenRequest, ...]:
        """Give the open requests, oldest first."""
        return tuple(self._open.values())

    def _forget(self, request_id: int) -> None:
        self._open.pop(request_id, None)


def reply_of(message: Message) -> Reply:
    """Turn a reply message into a result: a `Refusal` becomes an Err."""
    if isinstance(message, Refusal):
        return Err(message.problem)
    return Ok(message)
