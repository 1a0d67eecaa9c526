"""Carries an engine's stream to one caller, as bytes.

The path of a token is `StreamRelay.on_bytes`: one search and one write to the
connection. Nothing is decoded, logged or deferred for each token.

The end of the stream (the chunk with `finish_reason`, what follows it, and
`[DONE]`) is held back until the answer is in the journal, so a caller that
has seen the end can rely on the history.
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

PLAIN_EVENT_END = b'"finish_reason":null}]}\n\n'
"""How a piece ends whose last event is not the end of an answer."""

LAST_EVENT = b"data: [DONE]\n\n"
END_BEGINS = re.compile(rb'"(?:finish_reason"\s*:\s*"|error"\s*:)')
"""The beginning of the end. A quotation mark inside a JSON text is escaped, so
no content of a message can look like this."""


class StreamSink(Protocol):
    """Takes the bytes of the attempts of one call."""

    def on_bytes(self, data: bytes) -> None:
        """Take whole server-sent events."""

    def attach(self, stream: EngineStream) -> None:
        """Learn the stream to pause while the caller reads slowly."""

    def detach(self) -> None:
        """Forget the stream, which has ended."""

    def stream_lost(self, problem: Problem) -> None:
        """Learn that the attempt is lost; what follows is a new answer."""


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

        A caller that takes nothing for `stall_seconds` is cut off, after a call
        of `on_stalled`.
        """
        self._on_stalled = on_stalled
        self._request = request
        self._clock = clock
        self._stall_seconds = stall_seconds
        self._stall_timer: IDelayedCall | None = None
        self._stream: EngineStream | None = None
        self._held: list[bytes] | None = None
        self._is_paused = False
        self._is_closed = False
        self._send: Callable[[bytes], None] | None = None
        """Writes to the connection; None while nothing may be passed on."""
        self.has_begun = False

    @property
    def is_closed(self) -> bool:
        """Tell whether nothing more can be written to the caller."""
        return self._is_closed

    @property
    def holds_end(self) -> bool:
        """Tell whether the end of the engine's own stream is held back."""
        return self._held is not None

    def on_bytes(self, data: bytes) -> None:
        """Pass events on, up to the one that begins the end."""
        if self._send is not None and data.endswith(PLAIN_EVENT_END):
            self._send(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._take(data)

    def _take(self, data: bytes) -> None:
        """Take the first events, the end, and whatever looks unusual."""
        if self._is_closed:
            return
        if self._held is not None:
            self._held.append(data)
            return
        start = _start_of_end(data)
        if start > 0:
            self._write(data[:start])
        if start < len(data):
            self._held = [data[start:]]
            self._send = None

    def attach(self, stream: EngineStream) -> None:
        """Pause and resume this stream from now on."""
        self._stream = stream
        if self._is_paused and not self._is_closed:
            stream.pause()

    def detach(self) -> None:
        """Forget the stream."""
        self._stream = None

    def stream_lost(self, problem: Problem) -> None:
        """Tell the caller that its stream broke, unless it has seen nothing yet.

        Two different answers are never spliced: the caller fetches the one that
        is stored.
        """
        self._held = None
        self._stream = None
        self._send = None
        if self.has_begun and not self._is_closed:
            self._write(error_event(problem))
            self.finish()

    def release_end(self) -> None:
        """Write the end that was held back; the answer is stored."""
        if self._is_closed or self._held is None:
            return
        data = b"".join(self._held)
        self._held = None
        self._write(data)

    def write(self, data: bytes) -> None:
        """Write events of this system's own."""
        if not self._is_closed:
            self._write(data)

    def finish(self) -> None:
        """End the response."""
        if self._is_closed:
            return
        self._close()
        if self.has_begun:
            self._request.unregisterProducer()
        self._request.finish()

    def caller_gone(self) -> None:
        """Stop writing; the run goes on at full speed for whoever asks later."""
        if not self._is_closed:
            self._close()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the engine: the caller reads more slowly."""
        if self._is_closed or self._is_paused:
            return
        self._is_paused = True
        self._stall_timer = self._clock.callLater(self._stall_seconds, self._cut_off)
        if self._stream is not None:
            self._stream.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read from the engine again."""
        if not self._is_paused:
            return
        self._is_paused = False
        self._cancel_timer()
        if self._stream is not None:
            self._stream.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Learn that the connection is lost."""
        self.caller_gone()

    def _write(self, data: bytes) -> None:
        if not self.has_begun:
            self._begin()
        self._request.write(data)

    def _begin(self) -> None:
        self.has_begun = True
        self._request.setHeader(b"content-type", CONTENT_TYPE)
        self._request.setHeader(b"cache-control", b"no-store")
        self._request.registerProducer(self, True)
        self._request.write(b"")
        if self._request.chunked:
            # Framed by hand: two calls less for each token.
            self._send = eager_write(self._request.channel.transport)

    def _close(self) -> None:
        self._is_closed = True
        self._send = None
        self._held = None
        self._cancel_timer()
        if self._is_paused and self._stream is not None:
            self._stream.resume()
        self._is_paused = False
        self._stream = None

    def _cancel_timer(self) -> None:
        if self._stall_timer is not None and self._stall_timer.active():
            self._stall_timer.cancel()
        self._stall_timer = None

    def _cut_off(self) -> None:
        self._stall_timer = None
        self._close()
        self._on_stalled()
        self._request.channel.forceAbortClient()


def _start_of_end(data: bytes) -> int:
    """Give where the event that begins the end starts; the length if none does."""
    match = END_BEGINS.search(data)
    if match is not None:
        before = data.rfind(EVENT_END, 0, match.start())
        return 0 if before < 0 else before + len(EVENT_END)
    if data.endswith(LAST_EVENT):
        return len(data) - len(LAST_EVENT)
    return len(data)
