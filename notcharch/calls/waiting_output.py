"""What a call holds of its output while the turn is being stored."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from notcharch.http.buffered_bytes import BufferedBytes

STORED_COPIES = 3
"""Copies of an output while its turn is stored: the events, their data, and its parts."""


def _do_nothing() -> None:
    """Stand for the end of a call that is over."""


class WaitingOutput:
    """The output of one call, counted among all answers until its turn is durable."""

    def __init__(
        self, answers: BufferedBytes, clock: IReactorTime, give_up: Callable[[], None]
    ) -> None:
        """`give_up` ends the call if all answers hold too much and this one most."""
        self._answers = answers
        self._clock = clock
        self._give_up = give_up

    def hold(self, size: int) -> None:
        """Count an output of `size` bytes."""
        self._answers.changed(self, size * STORED_COPIES)

    def release(self) -> None:
        """Count nothing any more, and let go of the call: it is freed with its body."""
        self._answers.changed(self, 0)
        self._give_up = _do_nothing

    def cut(self, buffered: int) -> None:
        """Give the call up soon: of all answers, its output holds the most memory."""
        self._clock.callLater(0, self._give_up)
