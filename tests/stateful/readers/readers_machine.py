"""Random callers that share what connections may hold, and its promises after each step.

A caller's socket takes bytes until it is full, and the caller reads from it. The reactor
fills sockets in turns of its own, so bytes that were written wait for the next one.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet.task import Clock

from notcharch.http.buffered_bytes import CONNECTION_BYTES
from notcharch.http.exchange import ServerLimits
from notcharch.http.peer_buffers import CHECK_CHANGES, CHECK_SHARE, PeerBuffers
from notcharch.http.send_buffer import MAX_TRANSPORT_BYTES
from notcharch.http.server_connection import PIPELINED_BYTES, ServerConnection
from tests.unit.http.pipe import Handler
from tests.unit.http.slow_peer import SlowPeerTransport

KILOBYTE = 1024
LIMIT = 400 * KILOBYTE
SOCKET_BYTES = 16 * KILOBYTE
MAX_HELD_ANSWER = 256 * KILOBYTE
ENGINE_READ_BYTES = 64 * KILOBYTE
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
MAX_CALLERS = 16
SIZES = st.sampled_from([0, 1, 800, 60_000, 100_000, MAX_HELD_ANSWER])
"""Bytes of whole answers."""


class Socket(SlowPeerTransport):
    """A transport over a socket of some size."""

    def __init__(self) -> None:
        super().__init__()
        self.in_socket = 0

    @property
    def room(self) -> int:
        return SOCKET_BYTES - self.in_socket

    def writeSomeData(self, data):  # noqa: N802
        self._room = self.room
        taken = super().writeSomeData(data)
        self.in_socket += taken
        return taken

    def turn(self) -> None:
        """Do what the reactor does in one turn."""
        if self.is_writing and self.room and not self.is_aborted:
            self.doWrite()


class Connection(ServerConnection):
    """A connection that tells the machine of its cut."""

    machine = None

    @property
    def takes_bytes(self) -> bool:
        return self.transport.room > 0

    def cut(self, buffered: int) -> None:
        self.machine.is_cut(self)
        super().cut(buffered)


class Caller:
    """A caller with one answer after the other."""

    def __init__(self, machine: "ReadersMachine") -> None:
        self.handler = Handler()
        self.handler.server_limits = ServerLimits()
        self.clock = Clock()
        self.connection = Connection(self.handler, self.clock, machine.buffers)
        self.connection.machine = machine
        self.transport = Socket()
        self.transport.attach(self.connection)
        self.connection.dataReceived(GET)
        self.answers = 0
        """Answers that were begun."""
        self.to_come = 0
        """Bytes of the answer under way that were not given yet."""
        self.given = 0
        self.read = 0
        self.last_read = machine.now()
        """When its buffer was last empty, or its transport handed on all it had."""
        self.unread = 0

    @property
    def is_open(self) -> bool:
        return not self.transport.is_aborted

    @property
    def is_stalled(self) -> bool:
        return self.connection._out.buffered > 0 and not self.transport.room

    @property
    def held(self) -> int:
        return self.connection._out.buffered + self.connection._inbound

    @property
    def can_begin(self) -> bool:
        waits = self.answers < len(self.handler.exchanges)
        return self.is_open and not self.to_come and waits

    @property
    def can_go_on(self) -> bool:
        return (
            self.is_open and self.to_come > 0 and not self.connection.is_client_behind
        )

    def begin(self, size: int) -> None:
        """Begin an answer, of which nothing is given yet."""
        exchange = self.handler.exchanges[self.answers]
        self.answers += 1
        length = (b"content-length", str(size).encode())
        exchange.start(200, [length])
        self.to_come = size
        if not size:
            exchange.finish()

    def give(self, size: int) -> None:
        """Give more of the answer under way."""
        exchange = self.handler.exchanges[self.answers - 1]
        piece = min(size, self.to_come)
        self.to_come -= piece
        self.given += piece
        exchange.write(b"x" * piece)
        if not self.to_come:
            exchange.finish()


class ReadersMachine(RuleBasedStateMachine):
    """Answers are given in pieces; callers read, stop, send more requests and leave."""

    def __init__(self) -> None:
        super().__init__()
        self.buffers = PeerBuffers(LIMIT)
        self.callers: list[Caller] = []
        self._now = 0

    def now(self) -> int:
        self._now += 1
        return self._now

    def _where(self, condition) -> list[Caller]:
        return [caller for caller in self.callers if condition(caller)]

    def _note_reading(self) -> None:
        """Note who has read: fewer bytes wait for it than before."""
        for caller in self.callers:
            unread = caller.connection._out.buffered
            if unread < caller.unread or not unread:
                caller.last_read = self.now()
            caller.unread = unread

    def is_cut(self, connection: Connection) -> None:
        """Check that a connection may be cut now, as `PeerBuffers` does it."""
        (cut,) = self._where(lambda caller: caller.connection is connection)
        others = self._where(lambda c: c is not cut and c.is_open and c.is_stalled)
        if not cut.is_stalled:
            assert cut.connection._inbound, "a caller that reads was cut"
            assert not others, "a sender was cut before one that does not read"
            return
        for other in others:
            known = other.unread > 0
            earlier = known and other.last_read < cut.last_read
            assert not earlier, "another one has not read for longer"

    @precondition(lambda self: len(self._where(lambda c: c.is_open)) < MAX_CALLERS)
    @rule(count=st.integers(2, 8))
    def callers_come(self, count):
        for _ in range(count):
            self.callers.append(Caller(self))

    @precondition(lambda self: self._where(lambda c: c.can_begin))
    @rule(data=st.data(), size=SIZES)
    def a_whole_answer_is_given(self, data, size):
        caller = data.draw(st.sampled_from(self._where(lambda c: c.can_begin)))
        caller.begin(size)
        if size:
            caller.give(size)
        self._note_reading()

    @precondition(lambda self: self._where(lambda c: c.can_begin))
    @rule(size=st.sampled_from([3 * MAX_HELD_ANSWER, MAX_HELD_ANSWER]))
    def answers_begin_for_all(self, size):
        for caller in self._where(lambda c: c.can_begin):
            caller.begin(size)
        self._note_reading()

    @precondition(lambda self: self._where(lambda c: c.can_go_on))
    @rule(size=st.sampled_from([ENGINE_READ_BYTES, 9000, 700]), times=st.integers(1, 6))
    def engines_are_read(self, size, times):
        for _ in range(times):
            for caller in self._where(lambda c: c.can_go_on):
                if caller.can_go_on:
                    caller.give(size)
                    self._note_reading()

    @rule(times=st.integers(1, 5))
    def the_reactor_turns(self, times):
        for _ in range(times):
            for caller in self._where(lambda c: c.is_open):
                caller.transport.turn()
                caller.clock.advance(0)
                self._note_reading()

    @precondition(lambda self: self.callers)
    @rule(data=st.data(), size=st.integers(1, 4 * SOCKET_BYTES))
    def a_caller_reads(self, data, size):
        caller = data.draw(st.sampled_from(self.callers))
        while size and caller.is_open:
            most = min(size, caller.transport.in_socket)
            caller.transport.in_socket -= most
            caller.transport.turn()
            self._note_reading()
            size -= most
            if not most:
                return

    @precondition(lambda self: self._where(lambda c: c.is_open))
    @rule(data=st.data(), count=st.integers(1, PIPELINED_BYTES // len(GET)))
    def a_caller_sends_more_requests(self, data, count):
        caller = data.draw(st.sampled_from(self._where(lambda c: c.is_open)))
        if caller.transport.is_reading:
            caller.connection.dataReceived(GET * count)
        self._note_reading()

    @precondition(lambda self: self.callers)
    @rule(data=st.data())
    def a_caller_leaves(self, data):
        caller = data.draw(st.sampled_from(self.callers))
        self.callers.remove(caller)
        caller.transport.is_aborted = True
        caller.transport.lose()

    @rule()
    def callers_that_were_cut_are_gone(self):
        for caller in self._where(lambda c: not c.is_open):
            caller.transport.lose()
            self.callers.remove(caller)

    @precondition(lambda self: self._where(lambda c: c.can_begin))
    @rule(data=st.data())
    def small_answers_are_given(self, data):
        """Find who does not read after some changes, whoever has read before."""
        caller = data.draw(st.sampled_from(self._where(lambda c: c.can_begin)))
        caller.begin(CHECK_CHANGES)
        while caller.is_open and caller.to_come:
            caller.give(1)
            self._note_reading()
        stalled = sum(c.held for c in self._where(lambda c: c.is_open and c.is_stalled))
        assert stalled <= LIMIT * (1 + CHECK_SHARE) + KILOBYTE

    # Promises

    @invariant()
    def what_is_counted_is_what_connections_hold(self):
        assert self.buffers.total == sum(
            c.held for c in self._where(lambda c: c.is_open)
        )

    @invariant()
    def one_connection_holds_little_beside_a_whole_answer(self):
        most = max(MAX_HELD_ANSWER, CONNECTION_BYTES + ENGINE_READ_BYTES) + KILOBYTE
        for caller in self._where(lambda c: c.is_open):
            behind = 0 if caller.connection.is_client_behind else CONNECTION_BYTES
            assert caller.connection._out.buffered <= most + behind

    @invariant()
    def transports_have_little(self):
        for caller in self._where(lambda c: c.is_open):
            assert caller.transport.held <= MAX_TRANSPORT_BYTES

    def teardown(self):
        """Everyone who was not cut reads all that it was given, and all is whole."""
        open_callers = self._where(lambda c: c.is_open)
        for caller in open_callers:
            while caller.is_open:
                if caller.can_go_on:
                    caller.give(ENGINE_READ_BYTES)
                caller.transport.in_socket = 0
                caller.transport.turn()
                caller.clock.advance(0)
                self._note_reading()
                if not caller.to_come and not caller.connection._out.buffered:
                    break
        for caller in self._where(lambda c: c.is_open):
            assert caller.transport.sent.count(b"x") == caller.given
            assert not caller.to_come
        for caller in self.callers:
            caller.transport.lose()
        assert self.buffers.total == 0
