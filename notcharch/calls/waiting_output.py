"""What a call holds of its output: events that wait for a grant, or the turn's storage."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from notcharch.http.buffered_bytes import BufferedBytes

STORED_COPIES = 3
"""Copies of an output while its turn is stored: the events, their data, and its parts."""


def _do_nothing() -> None:
    """Stand for the end of a call that is over."""


class WaitingOutput:
    """The output of one call, counted among all answers until it is relayed."""

    def __init__(
        self, answers: BufferedBytes, clock: IReactorTime, give_up: Callable[[], None]
    ) -> None:
        """`give_up` ends the call if all answers hold too much and this one most."""
        self._answers = answers
        self._clock = clock
        self._give_up = give_up
        self._stored_bytes = 0
        self._ungranted_bytes = 0

    def hold(self, size: int) -> None:
        """Count an output of `size` bytes until its turn is durable."""
        self._stored_bytes = size * STORED_COPIES
        self._count()

    def hold_ungranted(self, size: int) -> None:
        """Count `size` bytes of events that wait for a grant."""
        if size != self._ungranted_bytes:
            self._ungranted_bytes = size
            self._count()

    def _count(self) -> None:
        self._answers.changed(self, self._stored_bytes + self._ungranted_bytes)

    def release(self) -> None:
        """Count nothing any more, and let go of the call: it is freed with its body."""
        self._answers.changed(self, 0)
        self._give_up = _do_nothing

    def cut(self, buffered: int) -> None:
        """Give the call up soon: of all answers, its output holds the most memory."""
        self._clock.callLater(0, self._give_up)
