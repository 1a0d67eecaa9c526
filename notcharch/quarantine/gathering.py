"""Collects the replies of several peers until they decide."""

from collections.abc import Callable, Sequence

from result import Ok, Result
from twisted.internet.defer import Deferred

from notcharch.errors import Problem
from notcharch.wire.messages.base import Message

Reply = Result[Message, Problem]


class Gathering:
    """The replies to one question; `then` is called once.

    `on_reply` gets each reply and returns whether no other one is needed.
    """

    def __init__(
        self,
        pending: "Sequence[Deferred[Reply]]",
        on_reply: Callable[[Message], bool],
        then: Callable[[], None],
    ) -> None:
        """Wait for all of `pending`, each of which has a time-out of its own."""
        self._outstanding = len(pending)
        self._on_reply = on_reply
        self._then = then
        self._is_over = False
        for reply in pending:
            reply.addCallback(self._received)
        if not pending:
            self._end()

    def _received(self, reply: Reply) -> None:
        self._outstanding -= 1
        is_decided = isinstance(reply, Ok) and self._on_reply(reply.ok_value)
        if is_decided or not self._outstanding:
            self._end()

    def _end(self) -> None:
        if not self._is_over:
            self._is_over = True
            self._then()
