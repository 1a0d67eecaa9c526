"""The handlers of a daemon's messages, and what becomes of their exceptions."""

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.errors.problem import ProblemError
from notcharch.events.event import emit
from notcharch.events.wire import HandlerFailed, MessageNotUnderstood
from notcharch.values.identifiers import Member
from notcharch.wire.messages.base import Message, Refusal
from notcharch.wire.open_requests import OpenRequest, reply_of
from notcharch.wire.peers import NoticeHandler, RequestHandler


class HandlerTable:
    """One handler for each request type, any number for each notice type."""

    def __init__(self) -> None:
        """Begin without handlers."""
        self._requests: dict[type[Message], RequestHandler] = {}
        self._notices: dict[type[Message], list[NoticeHandler]] = {}

    def on_request(self, message_type: type[Message], handler: RequestHandler) -> None:
        """Register the one handler of a request type."""
        if message_type in self._requests:
            raise ValueError(f"{message_type.__name__} already has a handler")
        self._requests[message_type] = handler

    def on_notice(self, message_type: type[Message], handler: NoticeHandler) -> None:
        """Register a handler of a notice type."""
        self._notices.setdefault(message_type, []).append(handler)

    def answer(self, sender: Member, message: Message) -> "Deferred[Message]":
        """Run the handler; the result is its reply or a `Refusal`, never a failure."""
        handler = self._requests.get(type(message))
        if handler is None:
            name = type(message).__name__
            return self.refuse_unknown(sender, f"{name} has no handler here")
        answering = Deferred.fromCoroutine(_run(handler, sender, message))
        answering.addErrback(_refusal_of, sender, message)
        return answering

    def refuse_unknown(self, sender: Member, reason: str) -> "Deferred[Message]":
        """Refuse a request that nobody here can handle; nothing was run."""
        emit(MessageNotUnderstood(sender.daemon, reason))
        problem = Problem.of(ProblemCode.BAD_REQUEST, reason)
        answered: Deferred[Message] = Deferred()
        answered.callback(Refusal(problem))
        return answered

    def take_notice(self, sender: Member, message: Message) -> None:
        """Give a one-way message to its handlers; their exceptions are logged."""
        for handler in self._notices.get(type(message), ()):
            try:
                handler(sender, message)
            except Exception:
                _log_failure(sender, message, Failure())


async def _run(handler: RequestHandler, sender: Member, message: Message) -> Message:
    return await handler(sender, message)


def _refusal_of(failure: Failure, sender: Member, message: Message) -> Message:
    error = failure.value
    if isinstance(error, ProblemError):
        return Refusal(error.problem)
    if not failure.check(CancelledError):
        _log_failure(sender, message, failure)
    text = f"{type(message).__name__} failed: {type(error).__name__}"
    return Refusal(Problem.of(ProblemCode.INTERNAL, text, ran=Ran.UNKNOWN))


def _log_failure(sender: Member, message: Message, failure: Failure) -> None:
    name = type(message).__name__
    emit(HandlerFailed(sender.daemon, name, failure.getTraceback()))


def answer_own(
    clock: IReactorTime,
    handlers: HandlerTable,
    own: Member,
    request: OpenRequest,
    message: Message,
) -> None:
    """Answer a daemon's request to itself, in a later turn like a peer's."""

    def settle(reply: Message) -> None:
        request.settle(reply_of(reply))

    def answer() -> None:
        if not request.is_settled:
            request.written = True
            handlers.answer(own, message).addCallback(settle)

    clock.callLater(0, answer)
