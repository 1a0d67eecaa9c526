"""The port for responses to callers."""

from collections.abc import Callable
from typing import Protocol

from notcharch.calls.interface import Refusal
from notcharch.http.messages import ResponseHead


class Reply(Protocol):
    """The response to one caller."""

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Set the callback for a caller that disconnects before the end."""

    def watch_backlog(self, callback: Callable[[bool], None]) -> None:
        """Set the callback for a caller that falls behind (True) or catches up (False)."""

    def begin(self, head: ResponseHead, *, length: int | None = None) -> None:
        """Relay the head of a stream, or of an answer of a known length in bytes."""

    def write(self, data: bytes) -> None:
        """Relay complete events of a stream."""

    def finish(self) -> None:
        """End a complete stream."""

    def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Relay an engine's complete response."""

    def refuse(self, refusal: Refusal) -> None:
        """Send an error response."""

    def abort(self) -> None:
        """Abort, so that the response is recognisably incomplete."""
