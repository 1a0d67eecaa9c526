"""The way of an answer back to a caller, as the callers' dialect writes it."""

from collections.abc import Callable
from typing import Protocol

from notcharch.calls.interface import Refusal
from notcharch.http.messages import ResponseHead


class Reply(Protocol):
    """One caller's answer."""

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call back if the caller leaves before the end."""

    def begin(self, head: ResponseHead) -> None:
        """Pass on the head of a stream."""

    def write(self, data: bytes) -> None:
        """Pass on whole events of a stream."""

    def finish(self) -> None:
        """End a stream that is whole."""

    def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Pass on an engine's whole answer."""

    def refuse(self, refusal: Refusal) -> None:
        """Give an answer of our own."""

    def abort(self) -> None:
        """Break off, so that the answer can't look whole."""
