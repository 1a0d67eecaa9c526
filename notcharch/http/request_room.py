"""Admits the memory of callers' requests before their bodies are read.

A request with a length takes its room at once; one in chunks takes it in portions. Without
room it waits, and its connection isn't read meanwhile. Small requests wait only for other
small ones: large ones leave them a share.

Uploads that grow can't block each other: what others are granted leaves the one that began
to grow first enough room to become whole (the banker's algorithm with one resource). A
request that is whole ends by its deadline, which gives its room to the next one.
"""

import math
from collections.abc import Callable
from enum import Enum

import msgspec
from prometheus_client import Gauge
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.values.memory_pool import HeldPart, PoolHolder, unbounded_holder

LARGE_SHARE = 3 / 4
"""Share of the calls' memory that large requests may take: the rest is for small ones."""
WAITING_BYTES = 128 * 1024
"""Memory of a request that waits: one read from its socket, and what the kernel received."""
RETRY_SECONDS = 0.05
"""Other holders of the pool give room back without telling."""

WAITING = Gauge(
    "notcharch_http_requests_waiting", "Requests that are not read for want of memory"
)


class RoomDecision(Enum):
    """What becomes of a request that asks for room."""

    GRANTED = "granted"
    WAITING = "waiting"
    FULL = "too many wait already"
    TOO_LARGE = "never fits"


class RequestMemory(HeldPart):
    """What one request holds, from its head to the end of its call."""

    def __init__(self, room: "RequestRoom", holder: PoolHolder, small: int) -> None:
        """Hold nothing; what is taken is small up to `small` bytes."""
        super().__init__(holder, small)
        self._room = room
        self.large = 0
        """What it holds of the room of large requests."""

    def close(self) -> None:
        """Hold nothing any more, and let others go on."""
        super().close()
        self._room.ended(self)


class _Ask(msgspec.Struct, frozen=True, eq=False):
    """A request for room."""

    memory: RequestMemory
    size: int
    rest: int
    """What it may still ask for later, as its body grows."""
    on_granted: Callable[[], None]

    @property
    def is_small(self) -> bool:
        return not self.memory.large and self.memory.is_small_with(self.size)


class RequestRoom:
    """The memory of callers' requests and of the calls that they become."""

    def __init__(
        self,
        clock: IReactorTime | None = None,
        held: PoolHolder | None = None,
        *,
        call_bytes: int = 0,
        small_bytes: int = 0,
        max_waiting: float = math.inf,
    ) -> None:
        """Share out what `held` has; without it there is always room.

        A request takes `call_bytes` beside its head and body. One of up to `small_bytes`
        in all is small. `clock` is needed where there is a bound.
        """
        self._clock = clock
        self._held = held or unbounded_holder()
        self.call_bytes = call_bytes
        self.small_bytes = small_bytes
        self._max_waiting = max_waiting
        self.large_limit = self._held.limit_bytes * LARGE_SHARE
        self.large = 0
        """What large requests hold of their limit."""
        self._growing: dict[RequestMemory, int] = {}
        """What each large request may still ask for; the one that began first is first."""
        self._growers: dict[RequestMemory, _Ask] = {}
        """Of those that grow, the ones that wait."""
        self._small: dict[RequestMemory, _Ask] = {}
        self._large: dict[RequestMemory, _Ask] = {}
        """New large requests that wait, the first one first."""
        self._retry: IDelayedCall | None = None
        self._shown = 0
        """The number of those that wait which the metric has."""

    def open(self) -> RequestMemory:
        """Return the memory of a request, which holds nothing so far."""
        return RequestMemory(self, self._held, self.small_bytes)

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._growers) + len(self._small) + len(self._large)

    def ask(
        self,
        memory: RequestMemory,
        size: int,
        rest: int,
        on_granted: Callable[[], None],
    ) -> RoomDecision:
        """Take room, or wait for it: `on_granted` is called then.

        `rest` is what the request may ask for later.
        """
        ask = _Ask(memory, size, rest, on_granted)
        if not ask.is_small and memory.large + size + rest > self.large_limit:
            return RoomDecision.TOO_LARGE
        if not self._is_behind_others(ask) and self._fits(ask):
            self._take(ask)
            return RoomDecision.GRANTED
        if self.waiting >= self._max_waiting:
            self._held.refused += 1
            return RoomDecision.FULL
        self._queue_of(ask)[memory] = ask
        self._changed()
        return RoomDecision.WAITING

    def whole(self, memory: RequestMemory, size: int) -> None:
        """Note that a body is whole, and that its request needs no more than `size`."""
        less = min(memory.shrink(size), memory.large)
        memory.large -= less
        self.large -= less
        self._growing.pop(memory, None)
        self._grant_waiting()

    def withdraw(self, memory: RequestMemory) -> None:
        """Wait no longer for a request that found no room in its time."""
        self._held.refused += 1
        self._forget(memory)
        self._grant_waiting()

    def ended(self, memory: RequestMemory) -> None:
        """Give the room of a request to others."""
        self.large -= memory.large
        memory.large = 0
        self._growing.pop(memory, None)
        self._forget(memory)
        self._grant_waiting()

    def _forget(self, memory: RequestMemory) -> None:
        for queue in (self._growers, self._small, self._large):
            queue.pop(memory, None)

    def _queue_of(self, ask: _Ask) -> dict[RequestMemory, _Ask]:
        if ask.is_small:
            return self._small
        return self._growers if ask.memory in self._growing else self._large

    def _is_behind_others(self, ask: _Ask) -> bool:
        """Return whether requests wait that come before this one."""
        if ask.is_small:
            return bool(self._small)
        if ask.memory in self._growing:
            return bool(self._growers) and ask.memory is not self._first_to_grow
        return bool(self._growers or self._large)

    @property
    def _first_to_grow(self) -> RequestMemory | None:
        return next(iter(self._growing), None)

    def _fits(self, ask: _Ask) -> bool:
        if ask.is_small:
            return self._held.fits(ask.size, is_small=True)
        needed = ask.size + self._kept_free(ask)
        return self.large + needed <= self.large_limit and self._held.fits(ask.size)

    def _kept_free(self, ask: _Ask) -> int:
        """Return the room that the request which began to grow first needs to be whole."""
        first = self._first_to_grow
        if first is None:
            return ask.rest
        return 0 if ask.memory is first else self._growing[first]

    def _take(self, ask: _Ask) -> None:
        memory, is_small = ask.memory, ask.is_small
        memory.take(ask.size)
        if is_small:
            return
        memory.large += ask.size
        self.large += ask.size
        if ask.rest or memory in self._growing:
            self._growing[memory] = ask.rest

    def _grant_waiting(self) -> None:
        if not self.waiting and not self._shown:
            return
        while (ask := self._next_granted()) is not None:
            self._forget(ask.memory)
            self._take(ask)
            ask.on_granted()
        self._changed()

    def _next_granted(self) -> _Ask | None:
        """Return a request that waits and has room: what has begun comes first."""
        for memory in self._growing:
            ask = self._growers.get(memory)
            if ask is not None and self._fits(ask):
                return ask
        queues = [self._small] if self._growers else [self._small, self._large]
        for queue in queues:
            ask = next(iter(queue.values()), None)
            if ask is not None and self._fits(ask):
                return ask
        return None

    def _changed(self) -> None:
        """Update the metric, and look again soon while requests wait."""
        self._shown = self.waiting
        WAITING.set(self._shown)
        is_scheduled = self._retry is not None and self._retry.active()
        if self.waiting and not is_scheduled and self._clock is not None:
            self._retry = self._clock.callLater(RETRY_SECONDS, self._grant_waiting)
