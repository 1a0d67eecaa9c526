"""Asks daemons whether they are ready, as the platform does before it sends callers."""

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from deploy.soak.daemons import SoakDaemon
from deploy.soak.settings import HOST, HOST_NAME
from notcharch.http.client import ClientConnection, ResponseFailure
from notcharch.http.messages import RequestHead, ResponseHead

ASK_SECONDS = 1.0
CONNECT_SECONDS = 0.8
MOST_MISSES = 2
"""A daemon that misses so often gets no new connections until it is ready again."""
READY = 200
QUESTION = RequestHead(b"GET", b"/readiness", [(b"Host", HOST_NAME.encode())])


class Readiness:
    """Which daemons get new connections."""

    def __init__(self, reactor: Any, daemons: list[SoakDaemon]) -> None:
        """Take all for ready."""
        self._reactor = reactor
        self._daemons = daemons
        self._misses = {daemon.name: 0 for daemon in daemons}

    def start(self) -> None:
        """Ask all daemons, each second."""
        for daemon in self._daemons:
            Question(self._reactor, daemon, self._hear).ask()
        self._reactor.callLater(ASK_SECONDS, self.start)

    def _hear(self, daemon: SoakDaemon, *, is_ready: bool) -> None:
        misses = 0 if is_ready else self._misses[daemon.name] + 1
        self._misses[daemon.name] = misses

    def ready(self) -> list[SoakDaemon]:
        """Give the daemons that get callers; all of them when fewer than half would."""
        found = [d for d in self._daemons if self._misses[d.name] < MOST_MISSES]
        return found if 2 * len(found) >= len(self._daemons) else self._daemons


class Question:
    """One question to one daemon; a `ResponseListener`."""

    def __init__(self, reactor: Any, daemon: SoakDaemon, hear: Any) -> None:
        """Call `hear` once."""
        self._reactor = reactor
        self._daemon = daemon
        self._hear = hear
        self._is_told = False
        self._status = 0
        self._connection: ClientConnection | None = None

    def ask(self) -> None:
        """Connect and ask; no answer in time is a miss."""
        factory = Factory.forProtocol(ClientConnection)
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self._reactor, HOST, self._daemon.readiness, CONNECT_SECONDS
        )
        connecting = endpoint.connect(factory)
        connecting.addCallbacks(self._connected, lambda _: self._tell())
        self._reactor.callLater(CONNECT_SECONDS, self._tell)

    def _connected(self, connection: ClientConnection) -> None:
        self._connection = connection
        connection.send(QUESTION, b"", self)

    def _tell(self) -> None:
        if self._is_told:
            return
        self._is_told = True
        self._hear(self._daemon, is_ready=self._status == READY)
        if self._connection is not None:
            self._connection.close()

    def is_response(self, head: ResponseHead) -> bool:
        """Take every answer."""
        return True

    def head_received(self, head: ResponseHead) -> None:
        """Note the status."""
        self._status = head.status

    def data_received(self, data: bytes) -> None:
        """Pass over the body."""

    def completed(self) -> None:
        """Tell what was answered."""
        self._tell()

    def failed(self, failure: ResponseFailure) -> None:
        """Tell of a miss."""
        self._status = 0
        self._tell()
