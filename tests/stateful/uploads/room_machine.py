"""Random uploads that share the room of requests, and its promises after each step."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet.task import Clock

from notcharch.http.incoming_body import IncomingBody
from notcharch.http.messages import RequestHead
from notcharch.http.request_room import RETRY_SECONDS, RequestRoom, RoomDecision
from notcharch.values.memory_pool import MemoryPool

KILOBYTE = 1024
POOL_BYTES = 1600 * KILOBYTE
CALLS_SHARE = 0.65
RESERVED_BYTES = 64 * KILOBYTE
CALL_BYTES = 12 * KILOBYTE
SMALL_BYTES = 32 * KILOBYTE
MAX_BODY_BYTES = 400 * KILOBYTE
MAX_WAITING = 12
READ_BYTES = 64 * KILOBYTE
"""What one read from a socket gives at most."""
SECONDS = 8.0
"""The time of a request, until which its body comes and its call ends."""
WAIT_SECONDS = 2.0
STEPS = 10_000


class Request:
    """One request: its body is read while it has room, then its call runs."""

    def __init__(self, machine: "RoomMachine", size: int, is_chunked: bool) -> None:
        headers = [(b"content-length", str(size).encode())]
        if is_chunked:
            headers = [(b"transfer-encoding", b"chunked")]
        head = RequestHead(b"POST", b"/", headers)
        self.size = size
        self.received = 0
        self.began = machine.clock.seconds()
        self.waits_since: float | None = None
        self.is_whole = self.is_refused = False
        self._machine = machine
        self.body = IncomingBody(machine.room, head, MAX_BODY_BYTES, self._granted)
        self.act_on(self.body.begin())

    def act_on(self, decision: RoomDecision) -> None:
        if decision is RoomDecision.WAITING:
            self.waits_since = self._machine.clock.seconds()
        elif decision is not RoomDecision.GRANTED:
            self.refuse()

    def _granted(self) -> None:
        assert not self.is_refused and not self.is_whole
        assert self.waits_since is not None, "room was given without being asked for"
        self.waits_since = None

    def refuse(self) -> None:
        self.is_refused = True
        self.body.close()

    def withdraw(self) -> None:
        self._machine.room.withdraw(self.body.memory)
        self.refuse()

    @property
    def is_read(self) -> bool:
        over = self.is_whole or self.is_refused
        return not over and self.waits_since is None

    def read(self, most: int) -> None:
        data = b"x" * min(most, self.size - self.received, READ_BYTES)
        self.received += len(data)
        if data:
            self.act_on(self.body.add(data))
        if self.is_read and self.received == self.size:
            self.is_whole = True
            assert len(self.body.take()) == self.size

    def end_call(self) -> None:
        self.is_refused = True
        self.body.memory.close()


class RoomMachine(RuleBasedStateMachine):
    """Requests come, are read in pieces, wait, end and leave; others share the pool."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.pool = MemoryPool(POOL_BYTES)
        self.held = self.pool.holder("calls", CALLS_SHARE, RESERVED_BYTES)
        self.turns = self.pool.holder("turns", 0.8)
        self.room = RequestRoom(
            self.clock,
            self.held,
            call_bytes=CALL_BYTES,
            small_bytes=SMALL_BYTES,
            max_waiting=MAX_WAITING,
        )
        self.requests: list[Request] = []
        self.have_others_given_back = False
        """Whether turns have shrunk since the last look."""

    def _where(self, condition) -> list[Request]:
        return [request for request in self.requests if condition(request)]

    def _is_open(self, request: Request) -> bool:
        return not request.is_refused

    @rule(
        size=st.integers(0, MAX_BODY_BYTES) | st.integers(0, 20 * KILOBYTE),
        is_chunked=st.booleans(),
        count=st.integers(1, 6),
    )
    def requests_come(self, size, is_chunked, count):
        for _ in range(count):
            self.requests.append(Request(self, size, is_chunked))
        self._forget()

    @precondition(lambda self: self._where(lambda r: r.is_read))
    @rule(data=st.data(), size=st.integers(1, READ_BYTES), times=st.integers(1, 8))
    def bytes_come(self, data, size, times):
        request = data.draw(st.sampled_from(self._where(lambda r: r.is_read)))
        for _ in range(times):
            if request.is_read:
                request.read(size)
        self._forget()

    @precondition(lambda self: self._where(lambda r: r.is_read))
    @rule(size=st.integers(1, READ_BYTES))
    def bytes_come_on_all(self, size):
        for request in self._where(lambda r: r.is_read):
            if request.is_read:
                request.read(size)
        self._forget()

    @precondition(lambda self: self._where(lambda r: r.is_whole))
    @rule(data=st.data())
    def a_call_ends(self, data):
        data.draw(st.sampled_from(self._where(lambda r: r.is_whole))).end_call()
        self._forget()

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def a_caller_leaves(self, data):
        request = data.draw(st.sampled_from(self.requests))
        if request.is_whole:
            request.end_call()
        else:
            request.refuse()
        self._forget()

    @rule(share=st.floats(0.0, 1.0))
    def turns_change(self, share):
        more = int(share * POOL_BYTES) - self.turns.held
        self.have_others_given_back |= more < 0
        self.turns.change(more)

    @rule(seconds=st.floats(0.01, 3.0))
    def time_passes(self, seconds):
        for _ in range(2 + int(seconds / RETRY_SECONDS)):
            self.clock.advance(RETRY_SECONDS)
            self._end_late_ones()
        self._forget()
        self.have_others_given_back = False

    def _end_late_ones(self) -> None:
        now = self.clock.seconds()
        for request in self.requests:
            if request.is_refused:
                continue
            if request.is_whole and now - request.began >= SECONDS:
                request.end_call()
            elif request.is_whole:
                continue
            elif request.waits_since is not None:
                if now - request.waits_since >= WAIT_SECONDS:
                    request.withdraw()
            elif now - request.began >= SECONDS:
                request.refuse()

    def _forget(self) -> None:
        self.requests = self._where(self._is_open)

    # Promises

    @invariant()
    def nothing_is_above_its_limit(self):
        assert self.room.large <= self.room.large_limit
        assert self.held.pooled <= self.held.limit_bytes
        assert self.pool.total <= POOL_BYTES or self.turns.held

    @invariant()
    def what_is_counted_is_what_requests_hold(self):
        sizes = [request.body.memory.size for request in self.requests]
        large = [request.body.memory.large for request in self.requests]
        assert self.held.held == sum(sizes)
        assert self.room.large == sum(large)
        assert all(part <= whole for part, whole in zip(large, sizes, strict=True))

    @invariant()
    def what_was_read_without_room_is_one_read_at_most(self):
        for request in self._where(lambda r: not r.is_whole):
            assert request.body.unadmitted <= READ_BYTES
            if request.waits_since is None:
                assert not request.body.unadmitted

    @invariant()
    def what_has_room_is_held(self):
        for request in self.requests:
            admitted = request.received - request.body.unadmitted
            if request.waits_since is None or admitted:
                assert request.body.memory.size >= CALL_BYTES + admitted

    @invariant()
    def those_that_wait_are_known_and_bounded(self):
        waiting = self._where(lambda r: r.waits_since is not None)
        assert self.room.waiting == len(waiting) <= MAX_WAITING

    @invariant()
    def nobody_waits_beyond_its_time(self):
        now = self.clock.seconds()
        for request in self._where(lambda r: r.waits_since is not None):
            assert now - request.waits_since <= WAIT_SECONDS + RETRY_SECONDS

    @invariant()
    def nobody_waits_beside_room(self):
        """Unless others have just given it back, which is found with the next look."""
        if not self.have_others_given_back:
            assert self.room._next_granted() is None

    def teardown(self):
        """Without any deadline, all requests end: no upload blocks another one for good."""
        self.turns.change(-self.turns.held)
        for _ in range(STEPS):
            self.clock.advance(RETRY_SECONDS)
            read = self._where(lambda r: r.is_read)
            for request in read:
                if request.is_read:
                    request.read(READ_BYTES)
            # Calls end last: room has to come from them alone.
            if not read:
                for request in self._where(lambda r: r.is_whole and not r.is_refused):
                    request.end_call()
            self._forget()
            if not self.requests:
                break
        assert not self.requests, "uploads wait for each other"
        assert self.held.held == self.room.large == self.room.waiting == 0
