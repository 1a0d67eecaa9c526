"""Callers: programs of turns and tool calls, which retry as clients do."""

from collections.abc import Callable, Generator
from functools import partial
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.internet.task import deferLater

from deploy.soak.answers import RETRY_SECONDS, Answer
from deploy.soak.daemons import SoakDaemon
from deploy.soak.deadly import DEADLY_TRIES, draw_deadly
from deploy.soak.kept_connections import KeptConnections
from deploy.soak.large_turns import LargeTurns, WholeTurn
from deploy.soak.observations import OK, Asked
from deploy.soak.oracle import Oracle
from deploy.soak.settings import (
    BUDGET_TOKENS,
    CALL_SECONDS,
    HOME_PATH,
    HOST,
    HOST_NAME,
    KEPT_PATH,
    MOST_TOKENS,
    PLAIN_PATH,
    SAFE_PATH,
    WRITE_PATH,
)
from deploy.soak.tenants import SoakTenant, Tenants
from notcharch.http.client import ClientConnection
from notcharch.http.messages import Headers, RequestHead

CONNECT_SECONDS = 1.0
TRIES = 3
MOST_WAIT_SECONDS = CALL_SECONDS / 3
"""Callers come back within a third of their time, whatever they are told."""
PAUSE_SECONDS = 0.1
SLOW_READER_SHARE = 0.1
"""Share of the answers that their caller stops reading for a moment."""
SLOW_READER_SECONDS = 0.5
LOST_CONNECTION_SHARE = 0.2
"""Share of the streams whose connection is lost at the caller's side."""
COMING_BACK = (429, 503)
GIVEN_UP = (400, 401, 402, 404)


class Callers:
    """Keeps a number of programs running."""

    def __init__(
        self,
        reactor: Any,
        random: Random,
        oracle: Oracle,
        ready: Callable[[], list[SoakDaemon]],
        *,
        tenants: Tenants,
        large: LargeTurns,
    ) -> None:
        """Ask daemons at random of those that are `ready`."""
        self._large = large
        self._reactor = reactor
        self._random = random
        self._oracle = oracle
        self._ready = ready
        self._tenants = tenants
        self._kept = KeptConnections(reactor, random)
        self._numbers = 0
        self.is_running = True
        self.sends_deadly = False
        """Whether some requests end the engines that run them."""
        self.under_way = 0

    def start(self, programs: int) -> None:
        """Begin programs; another one follows each that ends."""
        for _ in range(programs):
            self._run_programs()

    @inlineCallbacks
    def _run_programs(self) -> Generator["Deferred[Any]", Any, None]:
        self.under_way += 1
        while self.is_running:
            yield self._program()
        self.under_way -= 1

    @inlineCallbacks
    def _program(self) -> Generator["Deferred[Any]", Any, None]:
        """Run some turns with tool calls between them."""
        tenant = self._tenants.choose()
        program = f"p{self._new_number()}"
        is_kept = self._random.random() < 0.5
        previous, chain = "", b""
        begins_from = self._large.draw_beginning(tenant.name, self._reactor.seconds())
        if is_kept and begins_from is not None:
            previous, chain = begins_from.id, begins_from.chain
        for _ in range(self._random.randint(2, 6)):
            new_input = f"{program} says {self._random.random()}\n".encode()
            deadly = self._draw_deadly(is_stream=True)
            new_input += self._large.draw_padding() + deadly
            turn: Asked | None = yield self._turn(
                tenant,
                program,
                new_input,
                previous,
                chain,
                is_kept=is_kept,
                tries=DEADLY_TRIES if deadly else TRIES,
            )
            if turn is None or not self.is_running:
                return
            if is_kept:
                previous = turn.id
                chain += new_input + b"".join(event + b"\n" for event in turn.events)
                now = self._reactor.seconds()
                self._large.add(WholeTurn(tenant.name, previous, chain, now))
            yield self._wait(self._random.random() * PAUSE_SECONDS)
            yield self._tool(tenant, program)

    @inlineCallbacks
    def _turn(
        self,
        tenant: SoakTenant,
        program: str,
        new_input: bytes,
        previous: str,
        chain: bytes,
        *,
        is_kept: bool,
        tries: int = TRIES,
    ) -> Generator["Deferred[Any]", Any, Asked | None]:
        """Run a turn; one that failed is sent again from its start."""
        for _ in range(tries):
            asked = Asked(
                id=f"t{self._new_number()}",
                path=f"{KEPT_PATH if is_kept else PLAIN_PATH}x",
                expected_body=chain + new_input,
                may_repeat=not is_kept,
                is_stream=True,
                program=program,
                previous=previous,
                tenant=tenant.name,
            )
            headers = [
                (b"X-Notcharch-Program-Id", program.encode()),
                (b"X-Notcharch-Session-Id", program.encode()),
                (b"X-Notcharch-Token-Budget", str(BUDGET_TOKENS).encode()),
                (b"X-Notcharch-Token-Usage", f"100,{MOST_TOKENS}".encode()),
            ]
            if previous:
                headers.append((b"X-Notcharch-Previous-Turn", previous.encode()))
            yield self._send(asked, new_input, headers)
            if asked.is_whole and asked.status == OK:
                return asked
            if asked.status in GIVEN_UP:
                return None
            if asked.events and not is_kept:
                whole: bool = yield self._take_up(asked, headers)
                if whole:
                    return asked
        return None

    @inlineCallbacks
    def _take_up(
        self, first: Asked, headers: Headers
    ) -> Generator["Deferred[Any]", Any, bool]:
        """Go on with a stream that broke, at any daemon; give whether it became whole."""
        last = len(first.events) - 1
        for _ in range(TRIES):
            asked = msgspec.structs.replace(
                first,
                id=f"u{self._new_number()}",
                first_attempt=first.id,
                after_event=last,
                events=[],
                status=0,
                is_connected=False,
                is_on_kept_connection=False,
                lost_by_caller=False,
                ends_inside_event=False,
                answered_id="",
                ended_at=0.0,
            )
            resumes = [
                (b"Resumes", first.id.encode()),
                (b"Last-Event-Id", str(last).encode()),
            ]
            yield self._send(asked, first.expected_body, [*headers, *resumes])
            last += len(asked.events)
            if asked.is_whole and asked.status == OK:
                return True
            if asked.status in GIVEN_UP:
                return False
        return False

    @inlineCallbacks
    def _tool(
        self, tenant: SoakTenant, program: str
    ) -> Generator["Deferred[Any]", Any, None]:
        """Call a tool once; a promise that it didn't run allows another try."""
        path = self._random.choice((SAFE_PATH, HOME_PATH, WRITE_PATH, WRITE_PATH))
        is_safe = path != WRITE_PATH
        deadly = self._draw_deadly(is_stream=False)
        body = f"{program} {self._random.random()}".encode() + deadly
        for _ in range(DEADLY_TRIES if deadly else TRIES):
            asked = Asked(
                id=f"c{self._new_number()}",
                path=f"{path}x",
                expected_body=body,
                may_repeat=is_safe,
                is_stream=False,
                tenant=tenant.name,
            )
            headers = [(b"X-Notcharch-Program-Id", program.encode())]
            yield self._send(asked, body, headers)
            if asked.status not in COMING_BACK and not deadly:
                return

    def _draw_deadly(self, *, is_stream: bool) -> bytes:
        if not self.sends_deadly:
            return b""
        return draw_deadly(self._random, is_stream=is_stream)

    @inlineCallbacks
    def _send(
        self, asked: Asked, body: bytes, headers: Headers
    ) -> Generator["Deferred[Any]", Any, None]:
        if not self.is_running:
            return  # who was told to come back later finds that the soak is over
        kept = self._kept.take()
        daemon = self._random.choice(self._ready())
        asked.daemon = daemon.name if kept is None else kept.daemon
        asked.is_on_kept_connection = kept is not None
        self._begin(asked)
        answer = Answer(self._reactor, asked)
        connection: ClientConnection
        if kept is not None:
            connection = kept.connection
        else:
            leads_elsewhere = daemon.front_leads_to_the_soak
            try:
                connection = yield self._connect(daemon)
            except Exception:
                asked.ended_at = self._reactor.seconds()
                yield self._wait(RETRY_SECONDS)
                return
            # The soak may have taken the port in the turn in which the connection was opened.
            if leads_elsewhere or daemon.front_leads_to_the_soak:
                connection.close()
                asked.ended_at = self._reactor.seconds()
                yield self._wait(RETRY_SECONDS)
                return
        asked.is_connected = True
        asked.sent_at = self._reactor.seconds()
        head = _request_head(asked, headers)
        timer = self._reactor.callLater(CALL_SECONDS + 0.5, answer.give_up, connection)
        is_first = asked.path.startswith(PLAIN_PATH) and not asked.first_attempt
        if is_first and self._random.random() < LOST_CONNECTION_SHARE:
            answer.lose_connection = partial(answer.lose, connection)
        if self._random.random() < SLOW_READER_SHARE:
            answer.begin_pause = partial(self._pause_reading, connection)
        connection.send(head, body, answer)
        yield answer.done
        if timer.active():
            timer.cancel()
        if answer.begin_pause is not None:
            # The next request on this connection has to see when it is closed.
            yield self._wait(SLOW_READER_SECONDS)
        self._keep_or_close(asked, connection)
        if asked.status in COMING_BACK:
            yield self._wait(min(answer.retry_after, MOST_WAIT_SECONDS))

    def _begin(self, asked: Asked) -> None:
        """Note a request that is about to be sent, with its tenant's key."""
        tenant = self._tenants.named(asked.tenant)
        assert tenant is not None
        asked.key = self._tenants.key(tenant, self._reactor.seconds())
        asked.at = self._reactor.seconds()
        self._oracle.asked[asked.id] = asked

    @inlineCallbacks
    def send_alone(
        self, asked: Asked, body: bytes, daemon: SoakDaemon
    ) -> Generator["Deferred[Any]", Any, None]:
        """Send a request to a daemon on a connection of its own."""
        asked.daemon = daemon.name
        self._begin(asked)
        leads_elsewhere = daemon.front_leads_to_the_soak
        try:
            connection: ClientConnection = yield self._connect(daemon)
        except Exception:
            asked.ended_at = self._reactor.seconds()
            return
        if not leads_elsewhere and not daemon.front_leads_to_the_soak:
            asked.is_connected = True
            asked.sent_at = self._reactor.seconds()
            answer = Answer(self._reactor, asked)
            timer = self._reactor.callLater(
                CALL_SECONDS + 0.5, answer.give_up, connection
            )
            connection.send(_request_head(asked, []), body, answer)
            yield answer.done
            if timer.active():
                timer.cancel()
        connection.close()

    def _keep_or_close(self, asked: Asked, connection: ClientConnection) -> None:
        if asked.is_whole:
            self._kept.keep(asked.daemon, connection)
        else:
            connection.close()

    def _pause_reading(self, connection: ClientConnection) -> None:
        connection.pause_reading()
        self._reactor.callLater(SLOW_READER_SECONDS, connection.resume_reading)

    def _connect(self, daemon: SoakDaemon) -> Any:
        """Give a Deferred of a new connection."""
        factory = Factory.forProtocol(ClientConnection)
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self._reactor, HOST, daemon.front, CONNECT_SECONDS
        )
        return endpoint.connect(factory)

    def _new_number(self) -> int:
        self._numbers += 1
        return self._numbers

    def _wait(self, seconds: float) -> "Deferred[None]":
        return deferLater(self._reactor, seconds, lambda: None)


def _request_head(asked: Asked, headers: Headers) -> RequestHead:
    return RequestHead(
        b"POST",
        asked.path.encode(),
        [
            (b"Host", HOST_NAME.encode()),
            (b"X-Notcharch-Request-Id", asked.id.encode()),
            (b"X-Notcharch-Deadline-Ms", str(int(CALL_SECONDS * 1000)).encode()),
            (b"X-Api-Key", asked.key.encode()),
            (b"X-Notcharch-Tenant", b"somebody-else"),
            (b"X-Notcharch-Hold", b"none"),
            *headers,
        ],
    )
