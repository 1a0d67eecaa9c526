"""A listening port that is waited for: a failure to listen is retried until it succeeds.

A port may be held by a process that still ends, or be the local port of an outgoing
connection. Both pass without anybody's doing.
"""

import errno
import math
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import (
    IDelayedCall,
    IListeningPort,
    IReactorTime,
)
from twisted.python.failure import Failure

from notcharch.events.event import emit
from notcharch.events.process import PortOpened, PortTaken
from notcharch.http.listening_port import close_listening_port
from notcharch.http.metrics import LISTEN_FAILURES, PORTS_WAITING
from notcharch.values.delays import jittered_delay

FIRST_DELAY_SECONDS = 0.1
"""Upper bound of the delay after the first failure; it doubles with each one."""
MAX_DELAY_SECONDS = 1.0
"""A port that is free again is opened within this time."""
REPORT_INTERVAL_SECONDS = 10.0
"""Shortest interval between two log lines about a port that is still held."""
MAX_PORTS_AT_ONCE = 32
"""Ports tried in one turn of the reactor: each takes 0.1 ms or more."""

LISTEN_ERRORS = (CannotListenError, OSError)
"""Twisted wraps failures of `bind`, not those of `socket` and `listen`."""


def retry_delay(failures: int, max_seconds: float, random: Random) -> float:
    """Return the seconds to wait after so many consecutive failures (at least one)."""
    return jittered_delay(failures, FIRST_DELAY_SECONDS, max_seconds, random)


def is_of_one_port(error: Exception) -> bool:
    """Return whether a failure to listen says nothing of other ports of the address."""
    cause = error.socketError if isinstance(error, CannotListenError) else error
    return getattr(cause, "errno", None) in (errno.EADDRINUSE, errno.EACCES)


def is_report_due(reported_at: float | None, now: float) -> bool:
    """Return whether a failure is logged, given when the last one was."""
    return reported_at is None or now - reported_at >= REPORT_INTERVAL_SECONDS


class ListenAddress(msgspec.Struct, frozen=True):
    """Where to listen: the first free port of `ports`."""

    purpose: str
    host: str
    ports: tuple[int, ...]
    max_delay_seconds: float = MAX_DELAY_SECONDS

    def text(self) -> str:
        """Return `host:port`, or `host:first-last`."""
        first, last = self.ports[0], self.ports[-1]
        ports = str(first) if first == last else f"{first}-{last}"
        return f"{self.host}:{ports}"


class PortOpener(Protocol):
    """Opens and closes one listening port."""

    def open(self, host: str, port: int) -> None:
        """Listen; a failure leaves nothing open and raises one of `LISTEN_ERRORS`."""

    def close(self) -> "Deferred[Any]":
        """Stop listening."""


class TcpPortOpener:
    """Listens for TCP connections."""

    def __init__(self, reactor: Any, factory: Any, backlog: int) -> None:
        """Give connections to a protocol factory; `backlog` pending ones are queued at most."""
        self._reactor = reactor
        self._factory = factory
        self._backlog = backlog
        self.port: IListeningPort | None = None

    def open(self, host: str, port: int) -> None:
        """Listen at once."""
        self.port = self._reactor.listenTCP(port, self._factory, self._backlog, host)

    def close(self) -> "Deferred[Any]":
        """Stop listening; connections are kept."""
        port, self.port = self.port, None
        return succeed(None) if port is None else close_listening_port(port)


class Listener:
    """Listens as soon as a port is free, and until it is stopped."""

    def __init__(
        self,
        clock: IReactorTime,
        random: Random,
        address: ListenAddress,
        opener: PortOpener,
        *,
        on_open: Callable[[], None] = lambda: None,
        on_error: Callable[[Failure], None],
    ) -> None:
        """Call `on_open` after a port is open.

        `on_error` gets every exception that is no failure to listen, also those of
        `on_open`: they are defects, which waiting doesn't mend.
        """
        self._clock = clock
        self._random = random
        self.address = address
        self._opener = opener
        self._on_open = on_open
        self._on_error = on_error
        self._began_at = 0.0
        self._failures = 0
        self._reported_at: float | None = None
        self._retry: IDelayedCall | None = None
        self._is_stopped = False
        self.is_open = False
        """Whether the port is open."""
        self._waiting = PORTS_WAITING.labels(address.purpose)
        self._failed = LISTEN_FAILURES.labels(address.purpose)

    def start(self) -> None:
        """Listen now, or as soon as a port is free."""
        if not self._is_stopped:
            self._began_at = self._clock.seconds()
            self._attempt()

    def stop(self) -> "Deferred[Any]":
        """Wait no longer, and close the port if it is open."""
        self._is_stopped = True
        self._waiting.set(0)
        if self._retry is not None and self._retry.active():
            self._retry.cancel()
        if not self.is_open:
            return succeed(None)
        self.is_open = False
        return self._opener.close()

    def _attempt(self) -> None:
        try:
            self._open_first_free()
        except Exception:
            self._on_error(Failure())

    def _open_first_free(self) -> None:
        cause: Exception | None = None
        for port in self._candidates():
            try:
                self._opener.open(self.address.host, port)
            except LISTEN_ERRORS as error:
                cause = cause or error
                self._failed.inc()
                if not is_of_one_port(error):
                    break
            else:
                self._opened(port)
                return
        self._wait(cause)

    def _candidates(self) -> tuple[int, ...]:
        """Return the ports of this attempt; a wide range takes several attempts."""
        ports = self.address.ports
        attempts = math.ceil(len(ports) / MAX_PORTS_AT_ONCE)
        first = self._failures % attempts * MAX_PORTS_AT_ONCE
        return ports[first : first + MAX_PORTS_AT_ONCE]

    def _opened(self, port: int) -> None:
        self.is_open = True
        self._waiting.set(0)
        seconds = self._clock.seconds() - self._began_at
        purpose, host = self.address.purpose, self.address.host
        emit(PortOpened(purpose, host, port, self._failures, round(seconds, 3)))
        self._on_open()

    def _wait(self, cause: Exception | None) -> None:
        self._failures += 1
        self._waiting.set(1)
        now = self._clock.seconds()
        if is_report_due(self._reported_at, now):
            self._reported_at = now
            self._report(cause)
        limit = self.address.max_delay_seconds
        delay = retry_delay(self._failures, limit, self._random)
        self._retry = self._clock.callLater(delay, self._attempt)

    def _report(self, cause: Exception | None) -> None:
        address = self.address
        emit(
            PortTaken(
                address.purpose,
                address.host,
                address.ports[0],
                len(address.ports),
                _cause_text(cause),
                self._failures,
            )
        )


def _cause_text(error: Exception | None) -> str:
    if isinstance(error, CannotListenError):
        return str(error.socketError)
    return str(error)
