"""Relays the stream of an engine to one caller as bytes.

`StreamRelay.on_bytes` is the hot path: it does one search and one write per token and
decodes, logs or defers nothing.

The end of the stream (the chunk with `finish_reason`, all after it and `[DONE]`) is
buffered until the answer is in the journal, so a caller that received the end finds
the answer in the history.
"""

import re
from collections.abc import Callable
from typing import Protocol

from twisted.internet.interfaces import IDelayedCall, IPushProducer, IReactorTime
from twisted.web.server import Request
from zope.interface import implementer

from notcharch.clients.eager_writer import eager_write
from notcharch.clients.ports import EngineStream
from notcharch.errors import Problem
from notcharch.gateway.openai import error_event

EVENT_END = b"\n\n"
CONTENT_TYPE = b"text/event-stream"

NON_FINAL_EVENT_END = b'"finish_reason":null}]}\n\n'
"""Last bytes of data whose last event does not end the answer."""

LAST_EVENT = b"data: [DONE]\n\n"
END_START = re.compile(rb'"(?:finish_reason"\s*:\s*"|error"\s*:)')
"""Matches inside the first event of the end. Quotation marks in JSON strings are
escaped, so the content of a message never matches."""


class StreamSink(Protocol):
    """Receives the bytes of all attempts of one call."""

    def on_bytes(self, data: bytes) -> None:
        """Process complete server-sent events."""

    def attach(self, stream: EngineStream) -> None:
        """Set the stream to pause while the caller reads slowly."""

    def detach(self) -> None:
        """Clear the stream, which has ended."""

    def stream_failed(self, problem: Problem) -> None:
        """Handle a failed attempt; later bytes belong to another answer."""


@implementer(IPushProducer)
class StreamRelay:
    """The `StreamSink` of one HTTP request."""

    def __init__(
        self,
        request: Request,
        clock: IReactorTime,
        stall_seconds: float,
        on_stalled: Callable[[], None],
    ) -> None:
        """Write to `request`.

        If the caller reads nothing for `stall_seconds`, `on_stalled` is called and
        the connection is aborted.
        """
        self._on_stalled = on_stalled
        self._request = request
        self._clock = clock
        self._stall_seconds = stall_seconds
        self._stall_timer: IDelayedCall | None = None
        self._stream: EngineStream | None = None
        self._buffered_end: list[bytes] | None = None
        self._is_paused = False
        self._is_closed = False
        self._send: Callable[[bytes], None] | None = None
        """Writes directly to the connection; None disables the fast path."""
        self.has_started = False

    @property
    def is_closed(self) -> bool:
        """Return whether the response is closed for writing."""
        return self._is_closed

    @property
    def is_end_buffered(self) -> bool:
        """Return whether the end of the engine's stream is buffered."""
        return self._buffered_end is not None

    def on_bytes(self, data: bytes) -> None:
        """Relay the events before the end of the answer."""
        if self._send is not None and data.endswith(NON_FINAL_EVENT_END):
            self._send(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._relay_or_buffer(data)

    def _relay_or_buffer(self, data: bytes) -> None:
        """Handle all data that the fast path does not."""
        if self._is_closed:
            return
        if self._buffered_end is not None:
            self._buffered_end.append(data)
            return
        start = _final_event_offset(data)
        if start > 0:
            self._write(data[:start])
        if start < len(data):
            self._buffered_end = [data[start:]]
            self._send = None

    def attach(self, stream: EngineStream) -> None:
        """Set the stream that back-pressure pauses and resumes."""
        self._stream = stream
        if self._is_paused and not self._is_closed:
            stream.pause()

    def detach(self) -> None:
        """Clear the stream."""
        self._stream = None

    def stream_failed(self, problem: Problem) -> None:
        """Send the caller an error event, unless its response has not started.

        The answer of a later attempt is never appended to the partial one; the caller
        fetches it instead.
        """
        self._buffered_end = None
        self._stream = None
        self._send = None
        if self.has_started and not self._is_closed:
            self._write(error_event(problem))
            self.finish()

    def write_buffered_end(self) -> None:
        """Write the buffered end, once the answer is stored."""
        if self._is_closed or self._buffered_end is None:
            return
        data = b"".join(self._buffered_end)
        self._buffered_end = None
        self._write(data)

    def write(self, data: bytes) -> None:
        """Write events that did not come from the engine."""
        if not self._is_closed:
            self._write(data)

    def finish(self) -> None:
        """End the response."""
        if self._is_closed:
            return
        self._close()
        if self.has_started:
            self._request.unregisterProducer()
        self._request.finish()

    def caller_disconnected(self) -> None:
        """Stop writing; the run continues without back-pressure."""
        if not self._is_closed:
            self._close()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the engine's stream, because the caller reads more slowly."""
        if self._is_closed or self._is_paused:
            return
        self._is_paused = True
        self._stall_timer = self._clock.callLater(
            self._stall_seconds, self._abort_stalled
        )
        if self._stream is not None:
            self._stream.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the engine's stream."""
        if not self._is_paused:
            return
        self._is_paused = False
        self._cancel_timer()
        if self._stream is not None:
            self._stream.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop writing after the connection was closed."""
        self.caller_disconnected()

    def _write(self, data: bytes) -> None:
        if not self.has_started:
            self._start_response()
        self._request.write(data)

    def _start_response(self) -> None:
        self.has_started = True
        self._request.setHeader(b"content-type", CONTENT_TYPE)
        self._request.setHeader(b"cache-control", b"no-store")
        self._request.registerProducer(self, True)
        self._request.write(b"")
        if self._request.chunked:
            # Chunks are framed here to save two calls per token.
            self._send = eager_write(self._request.channel.transport)

    def _close(self) -> None:
        self._is_closed = True
        self._send = None
        self._buffered_end = None
        self._cancel_timer()
        if self._is_paused and self._stream is not None:
            self._stream.resume()
        self._is_paused = False
        self._stream = None

    def _cancel_timer(self) -> None:
        if self._stall_timer is not None and self._stall_timer.active():
            self._stall_timer.cancel()
        self._stall_timer = None

    def _abort_stalled(self) -> None:
        self._stall_timer = None
        self._close()
        self._on_stalled()
        self._request.channel.forceAbortClient()


def _final_event_offset(data: bytes) -> int:
    """Return the offset of the first event of the end; the length if there is none."""
    match = END_START.search(data)
    if match is not None:
        before = data.rfind(EVENT_END, 0, match.start())
        return 0 if before < 0 else before + len(EVENT_END)
    if data.endswith(LAST_EVENT):
        return len(data) - len(LAST_EVENT)
    return len(data)
