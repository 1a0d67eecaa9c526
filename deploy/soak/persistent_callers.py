"""Callers that use a connection until the daemon closes it, in every manner of sending.

They follow no readiness: a planned stop meets them with long calls under way, pipelined and
half-sent requests, answers that are read slowly, and requests that follow at once.
"""

import enum
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from deploy.soak.daemons import SoakDaemon
from deploy.soak.observations import Asked
from deploy.soak.oracle import Oracle
from deploy.soak.persistent_connection import PendingAnswer, PersistentConnection
from deploy.soak.settings import (
    CALL_SECONDS,
    HOST,
    HOST_NAME,
    LONG_CALL_SECONDS,
    LONG_PATH,
    LONG_STREAM_PATH,
    PLAIN_PATH,
    SAFE_PATH,
    WRITE_PATH,
    long_body,
)
from deploy.soak.tenants import SoakTenant, Tenants

CONNECT_SECONDS = 1.0
PAUSE_SECONDS = 0.3
"""Between two connections, and at most between two requests on one."""
SHORT_PATHS = (SAFE_PATH, WRITE_PATH, PLAIN_PATH)
PATHS = (*SHORT_PATHS, LONG_PATH, LONG_STREAM_PATH)
STREAM_PATHS = (PLAIN_PATH, LONG_STREAM_PATH)
LONG_PATHS = (LONG_PATH, LONG_STREAM_PATH)
LEAST_LONG_SECONDS, MOST_LONG_SECONDS = 3.0, 7.0
MOST_PIPELINED = 4
MOST_PIECES = 8
MOST_SENDING_SECONDS = 1.0
MOST_LONG_SENDING_SECONDS = 2.5
"""Of a request with more time: the time of a call counts from its first bytes."""
MOST_READING_PAUSE_SECONDS = 2.0
GIVE_UP_SECONDS = 3.0
"""After the time of a request; a slowly sent or pipelined one has that time, too."""


class Manner(enum.Enum):
    """How a caller sends and reads."""

    AT_ONCE = "at once"
    """The next request follows each answer."""
    PIPELINED = "pipelined"
    """Several requests in one write."""
    SLOWLY_SENT = "slowly sent"
    SLOWLY_READ = "slowly read"


class PersistentCallers:
    """Keeps a number of such connections in use."""

    def __init__(
        self,
        reactor: Any,
        random: Random,
        oracle: Oracle,
        ready: Callable[[], list[SoakDaemon]],
        tenants: Tenants,
    ) -> None:
        """Connect to daemons at random of those that are `ready`."""
        self._reactor = reactor
        self._random = random
        self._oracle = oracle
        self._ready = ready
        self._tenants = tenants
        self._numbers = 0
        self._asked: list[Asked] = []
        self.is_running = True

    def start(self, connections: int) -> None:
        """Open connections; another one follows each that ends."""
        for _ in range(connections):
            self._connect()

    @property
    def are_waiting(self) -> bool:
        """Whether a request has no end yet; each has one when it is given up."""
        return any(asked.is_connected and not asked.ended_at for asked in self._asked)

    def _connect_later(self) -> None:
        self._reactor.callLater(self._random.uniform(0, PAUSE_SECONDS), self._connect)

    def _connect(self) -> None:
        if not self.is_running:
            return
        daemon = self._random.choice(self._ready())
        leads_elsewhere = daemon.front_leads_to_the_soak
        manner = self._random.choice(list(Manner))

        def on_idle(connection: PersistentConnection) -> None:
            pause = self._random.choice((0.0, self._random.uniform(0, PAUSE_SECONDS)))
            self._reactor.callLater(pause, self._ask, connection, daemon, manner)

        def connected(connection: PersistentConnection) -> None:
            # The soak may have taken the port in the turn in which the connection was opened.
            if leads_elsewhere or daemon.front_leads_to_the_soak:
                connection.transport.abortConnection()
            else:
                self._ask(connection, daemon, manner)

        factory = Factory.forProtocol(
            lambda: PersistentConnection(self._reactor, on_idle, self._connect_later)
        )
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self._reactor, HOST, daemon.front, CONNECT_SECONDS
        )
        endpoint.connect(factory).addCallbacks(
            connected, lambda _: self._connect_later()
        )

    def _ask(
        self, connection: PersistentConnection, daemon: SoakDaemon, manner: Manner
    ) -> None:
        """Send the next requests; none once the soak is over."""
        if connection.is_lost:
            return
        if not self.is_running:
            connection.transport.loseConnection()
            return
        count = 1
        if manner is Manner.PIPELINED:
            count = self._random.randint(2, MOST_PIPELINED)
        # At most one long call, or the last answer would come after half a minute.
        paths = [self._random.choice(SHORT_PATHS) for _ in range(count - 1)]
        paths.insert(self._random.randrange(len(paths) + 1), self._random.choice(PATHS))
        pending = [self._new_request(daemon, path) for path in paths]
        for one in pending:
            one.asked.manner = manner.value
            connection.add(one)
        data = b"".join(one.data for one in pending)
        if manner is Manner.SLOWLY_SENT:
            is_long = pending[0].asked.path.startswith(LONG_PATHS)
            most = MOST_LONG_SENDING_SECONDS if is_long else MOST_SENDING_SECONDS
            self._send_slowly(connection, data, most)
        else:
            connection.write(data)
        if manner is Manner.SLOWLY_READ:
            seconds = self._random.uniform(0, MOST_READING_PAUSE_SECONDS)
            connection.pause_at_answer(seconds)
        time = sum(self._time_of(one.asked) for one in pending) + GIVE_UP_SECONDS
        self._reactor.callLater(time, self._give_up, connection, pending[-1].asked)

    def _give_up(self, connection: PersistentConnection, asked: Asked) -> None:
        """Leave a connection whose answers don't come."""
        if not asked.ended_at and not connection.is_lost:
            connection.transport.abortConnection()

    def _send_slowly(
        self, connection: PersistentConnection, data: bytes, most_seconds: float
    ) -> None:
        """Send a request in pieces; the last one begins at the latest after some time."""
        count = self._random.randint(2, MOST_PIECES)
        cuts = sorted(self._random.sample(range(1, len(data)), count - 1))
        later = [self._random.uniform(0, most_seconds) for _ in cuts]
        times = [0.0, *sorted(later)]
        begins = [0, *cuts]
        ends = [*cuts, len(data)]
        for begin, end, at in zip(begins, ends, times, strict=True):
            if at:
                self._reactor.callLater(at, connection.write, data[begin:end])
            else:
                connection.write(data[begin:end])

    def _time_of(self, asked: Asked) -> float:
        is_long = asked.path.startswith(LONG_PATHS)
        return LONG_CALL_SECONDS if is_long else CALL_SECONDS

    def _new_request(self, daemon: SoakDaemon, path: str) -> PendingAnswer:
        self._numbers += 1
        id = f"k{self._numbers}"
        body = f"{id} {self._random.random()}\n".encode()
        if path in LONG_PATHS:
            seconds = self._random.uniform(LEAST_LONG_SECONDS, MOST_LONG_SECONDS)
            body = long_body(seconds) + body
        tenant = self._choose_tenant()
        now = self._reactor.seconds()
        asked = Asked(
            id=id,
            path=f"{path}x",
            expected_body=body,
            may_repeat=path not in (WRITE_PATH, LONG_PATH),
            is_stream=path in STREAM_PATHS,
            tenant=tenant.name,
            key=self._tenants.key(tenant, now),
            at=now,
            daemon=daemon.name,
        )
        self._oracle.asked[id] = asked
        self._asked.append(asked)
        deadline = int(self._time_of(asked) * 1000)
        return PendingAnswer(
            asked,
            [
                (b"Host", HOST_NAME.encode()),
                (b"X-Notcharch-Request-Id", id.encode()),
                (b"X-Notcharch-Deadline-Ms", str(deadline).encode()),
                (b"X-Api-Key", asked.key.encode()),
            ],
        )

    def _choose_tenant(self) -> SoakTenant:
        unlimited = [t for t in self._tenants.all if not t.rate_per_second]
        return self._random.choice(unlimited)
