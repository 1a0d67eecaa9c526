"""Asks daemons whether they are ready, as the platform does before it sends callers."""

from collections.abc import Callable
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from deploy.soak.daemons import SoakDaemon
from deploy.soak.observations import Violation
from deploy.soak.ports import read_used_ports
from deploy.soak.recovery import ReadyAnswer, Recovery, judge_ready_answer
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
    """Which daemons get new connections, and whether their answers are true."""

    def __init__(
        self,
        reactor: Any,
        daemons: list[SoakDaemon],
        causes: Callable[[], list[str]] = list,
    ) -> None:
        """Take all for ready; `causes` tells what keeps every daemon from it."""
        self._reactor = reactor
        self._daemons = daemons
        self._causes = causes
        self._misses = {daemon.name: 0 for daemon in daemons}
        self._recoveries = {
            daemon.name: Recovery(daemon.name, reactor.seconds()) for daemon in daemons
        }
        self.untrue: list[Violation] = []
        """Answers with 200 whose callers were refused."""

    def start(self) -> None:
        """Ask all daemons, each second."""
        for daemon in self._daemons:
            Question(self._reactor, daemon, self._hear, self._check_answer).ask()
        self._reactor.callLater(ASK_SECONDS, self.start)

    def observe(self) -> None:
        """Note what may keep each daemon from being ready now."""
        used = read_used_ports()
        for daemon in self._daemons:
            causes = self._causes() + daemon.causes(used)
            self._recoveries[daemon.name].observe(self._reactor.seconds(), causes)

    @property
    def is_settled(self) -> bool:
        """Whether every daemon was ready after its last cause, or had the time to be."""
        return all(recovery.is_settled for recovery in self._recoveries.values())

    @property
    def slowest(self) -> float:
        """The longest time until a daemon was ready."""
        return max(recovery.slowest for recovery in self._recoveries.values())

    def violations(self) -> list[Violation]:
        """Return what was wrong."""
        late = [v for r in self._recoveries.values() for v in r.violations]
        return late + self.untrue

    def _hear(self, daemon: SoakDaemon, said: str, *, is_ready: bool) -> None:
        daemon.is_ready = is_ready
        misses = 0 if is_ready else self._misses[daemon.name] + 1
        self._misses[daemon.name] = misses
        recovery = self._recoveries[daemon.name]
        recovery.last_answer = said
        if is_ready:
            recovery.heard_ready(self._reactor.seconds())

    def _check_answer(self, daemon: SoakDaemon, interruptions: int) -> None:
        """Connect as a caller does, just after an answer with 200."""
        is_held = daemon.front_is_held

        def connected(connection: Protocol | None) -> None:
            if connection is not None and connection.transport is not None:
                connection.transport.loseConnection()
            daemon.collect_ends()
            answer = ReadyAnswer(
                daemon.name,
                was_interrupted=daemon.interruptions != interruptions,
                front_is_held=is_held,
                is_accepted=connection is not None,
            )
            self.untrue += judge_ready_answer(answer)

        factory = Factory.forProtocol(Protocol)
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self._reactor, HOST, daemon.front, CONNECT_SECONDS
        )
        endpoint.connect(factory).addCallbacks(connected, lambda _: connected(None))

    def ready(self) -> list[SoakDaemon]:
        """Give the daemons that get callers; all of them when fewer than half would."""
        found = [d for d in self._daemons if self._misses[d.name] < MOST_MISSES]
        return found if 2 * len(found) >= len(self._daemons) else self._daemons


class Question:
    """One question to one daemon; a `ResponseListener`."""

    def __init__(
        self,
        reactor: Any,
        daemon: SoakDaemon,
        hear: Any,
        check: Callable[[SoakDaemon, int], None],
    ) -> None:
        """Call `hear` once, and `check` after an answer with 200."""
        self._reactor = reactor
        self._daemon = daemon
        self._hear = hear
        self._check = check
        self._interruptions = daemon.interruptions
        self._is_told = False
        self._status = 0
        self._body = b""
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
        is_ready = self._status == READY
        said = f"{self._status} {self._body.decode(errors='replace')}".strip()
        self._hear(self._daemon, said, is_ready=is_ready)
        if is_ready:
            self._check(self._daemon, self._interruptions)
        if self._connection is not None:
            self._connection.close()

    def is_response(self, head: ResponseHead) -> bool:
        """Take every answer."""
        return True

    def head_received(self, head: ResponseHead) -> None:
        """Note the status."""
        self._status = head.status

    def data_received(self, data: bytes) -> None:
        """Keep the body: it tells the daemon's state."""
        self._body += data

    def completed(self) -> None:
        """Tell what was answered."""
        self._tell()

    def failed(self, failure: ResponseFailure) -> None:
        """Tell of a miss."""
        self._status = 0
        self._tell()
