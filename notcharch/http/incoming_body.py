"""The body of a request that is being read, and the memory for it."""

from collections.abc import Callable

from notcharch.http.messages import RequestHead
from notcharch.http.request_room import RequestRoom, RoomDecision

PORTION_BYTES = 64 * 1024
"""Room that a body in chunks takes at a time: what one read from a socket gives at most."""


def _do_nothing() -> None:
    """Stand for an upload that is over."""


class IncomingBody:
    """Collects a body; what exceeds its room waits for more."""

    def __init__(
        self,
        room: RequestRoom,
        head: RequestHead,
        max_bytes: int,
        on_granted: Callable[[], None],
    ) -> None:
        """Hold nothing; `on_granted` is called when a body that waited may be read on."""
        self._room = room
        self._on_granted = on_granted
        self._base = room.call_bytes + head.memory_bytes
        self._max_bytes = min(max_bytes, room.large_limit - self._base)
        self._is_chunked = head.get(b"transfer-encoding") is not None
        length = head.get(b"content-length")
        self.length = None if self._is_chunked else int(length or 0)
        """Its length; None if it comes in chunks."""
        self._body = bytearray()
        """One buffer: a chunk of some bytes would take 33 bytes more than its content."""
        self._allowed = 0
        """How much of the body has room."""
        self._asked = 0
        self.memory = room.open()

    def begin(self) -> RoomDecision:
        """Ask for room for the whole request, or for a small one in chunks."""
        if self.length is not None:
            if self.length > self._max_bytes:
                return RoomDecision.TOO_LARGE
            return self._ask(self._base + self.length, 0, self.length)
        size = max(self._base, self._room.small_bytes)
        allowed = size - self._base
        if self.memory.is_small_with(size):
            return self._ask(size, 0, allowed)
        return self._ask(size, self._rest(allowed), allowed)

    def add(self, data: bytes | bytearray) -> RoomDecision:
        """Add bytes; ask for room for them and a portion more if they exceed it."""
        self._body += data
        if len(self._body) > self._max_bytes:
            return RoomDecision.TOO_LARGE
        missing = self.unadmitted
        if not missing:
            return RoomDecision.GRANTED
        left = self._max_bytes - len(self._body)
        more = missing + int(min(PORTION_BYTES, left))
        return self._ask(more, self._rest(self._allowed + more), more)

    def _rest(self, allowed: int) -> int:
        """Return what the body may need beyond `allowed`."""
        return max(int(self._max_bytes) - allowed, 0)

    def _ask(self, size: int, rest: int, allowed: int) -> RoomDecision:
        self._asked = allowed
        decision = self._room.ask(self.memory, size, rest, self._granted)
        if decision is RoomDecision.GRANTED:
            self._allowed += allowed
        return decision

    def _granted(self) -> None:
        self._allowed += self._asked
        self._on_granted()

    @property
    def unadmitted(self) -> int:
        """Bytes that were read and have no room yet."""
        return max(len(self._body) - self._allowed, 0)

    @property
    def received(self) -> int:
        """Bytes of the body so far."""
        return len(self._body)

    def take(self) -> bytes:
        """Return the whole body, and give back the room that it doesn't need."""
        body = bytes(self._body)
        self._let_go()
        self._room.whole(self.memory, self._base + len(body))
        return body

    def close(self) -> None:
        """Discard the body, and give its room back."""
        self._let_go()
        self.memory.close()

    def _let_go(self) -> None:
        """Free the buffer, and the upload with the request."""
        self._body.clear()
        self._on_granted = _do_nothing
