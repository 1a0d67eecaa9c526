"""Frames that wait to be written to a peer, in order and within a bound."""

from collections import deque
from collections.abc import Callable

import msgspec

from notcharch.wire.open_requests import OpenRequest
from notcharch.wire.peer_memory import PeerMemory

FRAME_BYTES = 300
"""Memory of a frame that waits, besides its bytes; its request counts with its call."""


class OutgoingFrame(msgspec.Struct, frozen=True):
    """An encoded envelope; `request` is set for a request alone."""

    frame: bytes
    request: OpenRequest | None = None
    is_bound_to_connection: bool = True
    """A reply has no meaning on another connection; a request or notice has."""

    @property
    def is_wanted(self) -> bool:
        """Tell whether it still should be written: a settled request must not be."""
        return self.request is None or not self.request.is_settled


def frame_bytes(frame: OutgoingFrame) -> int:
    """Return how much memory a frame takes while it waits."""
    return len(frame.frame) + FRAME_BYTES


class OutgoingQueue:
    """A queue of frames bounded by their bytes; one frame always fits its own bound."""

    def __init__(self, max_bytes: int, memory: PeerMemory | None = None) -> None:
        """Begin empty; `memory` bounds what waits for all peers."""
        self._max_bytes = max_bytes
        self._memory = memory or PeerMemory()
        self._is_closed = False
        self._frames: deque[OutgoingFrame] = deque()
        self.size = 0
        """The bytes of all waiting frames."""

    def __len__(self) -> int:
        """Count the waiting frames."""
        return len(self._frames)

    def put(self, frame: OutgoingFrame) -> bool:
        """Add a frame; False, and nothing is added, when a bound is passed."""
        size = len(frame.frame)
        if self._frames and self.size + size > self._max_bytes:
            self._drop_unwanted()
            if self._frames and self.size + size > self._max_bytes:
                return False
        if self._is_closed or not self._memory.take_outgoing(frame_bytes(frame)):
            return False
        self._frames.append(frame)
        self.size += size
        return True

    def pop(self) -> OutgoingFrame | None:
        """Remove and give the next frame that is still wanted, or None."""
        while self._frames:
            frame = self._frames.popleft()
            self.size -= len(frame.frame)
            self._memory.release_outgoing(frame_bytes(frame))
            if frame.is_wanted:
                return frame
        return None

    def take_unbound(self) -> list[OutgoingFrame]:
        """Remove and give the wanted frames that may go on another connection."""
        unbound = [
            frame
            for frame in self._frames
            if frame.is_wanted and not frame.is_bound_to_connection
        ]
        self._keep(lambda frame: frame.is_bound_to_connection)
        return unbound

    def _drop_unwanted(self) -> None:
        self._keep(lambda frame: frame.is_wanted)

    def close(self) -> None:
        """Drop all frames, and take none any more."""
        self._is_closed = True
        self._keep(lambda frame: False)

    def _keep(self, is_kept: Callable[[OutgoingFrame], bool]) -> None:
        frames, self._frames = self._frames, deque()
        for frame in frames:
            if is_kept(frame):
                self._frames.append(frame)
            else:
                self._memory.release_outgoing(frame_bytes(frame))
        self.size = sum(len(frame.frame) for frame in self._frames)
