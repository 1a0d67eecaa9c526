"""Writes a run's events to a caller, no faster than the caller reads."""

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from twisted.web.server import Request
from zope.interface import implementer

from emulator.engine.model import EngineModel
from emulator.engine.runs import EngineRun
from emulator.engine.stream_events import render_events
from emulator.http.exchange import abort


@implementer(IPushProducer)
class StreamWriter:
    """A `RunListener` that writes to an HTTP request.

    The run keeps its events, so a caller that reads slowly is served later from its
    offset on, many events in one write; nothing is buffered here.
    """

    def __init__(
        self, model: EngineModel, run: EngineRun, request: Request, offset: int
    ) -> None:
        """Write from event `offset` on, once `start` is called."""
        self.done: Deferred[None] = Deferred()
        """Fires when the response may be finished."""

        self._model = model
        self._run = run
        self._request = request
        self._next_event = offset
        self._is_paused = False
        self._is_over = False

    def start(self) -> "Deferred[None]":
        """Begin to write; gives `done`."""
        request = self._request
        request.setHeader(b"content-type", b"text/event-stream")
        request.setHeader(b"cache-control", b"no-store")
        request.notifyFinish().addErrback(self._connection_lost)
        request.registerProducer(self, True)
        request.write(b"")
        if not self._run.ended:
            self._model.attach(self._run, self)
        self.run_progressed(self._run)
        return self.done

    def run_progressed(self, run: EngineRun) -> None:
        """Write what is new, and the end."""
        if self._is_paused or self._is_over:
            return
        if run.events > self._next_event:
            rendered = render_events(run, self._next_event, run.events)
            self._next_event = run.events
            self._request.write(rendered)
        if run.ended and not self._is_paused:
            self._end()
            self.done.callback(None)

    def run_broken(self, run: EngineRun) -> None:
        """Cut the connection."""
        if not self._is_over:
            self._end()
            abort(self._request)

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Wait: the caller does not read."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Write again."""
        self._is_paused = False
        self.run_progressed(self._run)

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Stop: the caller has disconnected."""
        self._end()

    def _connection_lost(self, _: Failure) -> None:
        self._end()

    def _end(self) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._model.detach(self._run, self)
        self._request.unregisterProducer()
