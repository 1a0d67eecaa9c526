"""Writes log lines to a file descriptor: bounded, and never waiting for its reader."""

import errno
import os
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.interfaces import IReactorTime

MOST_BYTES = 512 * 1024
"""So much waits for a slow reader; beyond it lines are dropped."""
ROUTINE_SHARE = 0.5
"""Routine lines may fill so much of it."""
ROUTINE_LINES_A_SECOND = 60
"""Lines of 370 bytes at 20 us: 22 KB and 1.2 ms a second (docs/OPERATIONS.md)."""
FLUSH_SECONDS = 0.1
"""Lines are written together; one waits no longer than this."""
WRITE_BYTES = 64 * 1024
"""Given to one write: the size of a pipe's buffer."""


class LogOutput:
    """A destination of eliot's messages."""

    def __init__(
        self,
        descriptor: int,
        clock: IReactorTime,
        routine: frozenset[int],
        write: Callable[[int, bytes], int] = os.write,
    ) -> None:
        """Write to a descriptor; `routine` are the numbers dropped first."""
        self._descriptor = descriptor
        self._clock = clock
        self._routine = routine
        self._write = write
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._is_flushing = False
        self._second = 0
        self._routine_lines = 0
        self.dropped_routine = 0
        self.dropped_others = 0
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message; nothing is written yet."""
        if message.get("event_number") in self._routine:
            if not self._takes_routine():
                self.dropped_routine += 1
                return
        elif self._bytes > MOST_BYTES:
            self.dropped_others += 1
            return
        line = self._encoder.encode(message) + b"\n"
        self._lines.append(line)
        self._bytes += len(line)
        if not self._is_flushing:
            self._is_flushing = True
            self._clock.callLater(FLUSH_SECONDS, self._flush_later)

    def _takes_routine(self) -> bool:
        second = int(self._clock.seconds())
        if second != self._second:
            self._second = second
            self._routine_lines = 0
        self._routine_lines += 1
        is_few = self._routine_lines <= ROUTINE_LINES_A_SECOND
        return is_few and self._bytes < MOST_BYTES * ROUTINE_SHARE

    def _flush_later(self) -> None:
        self._is_flushing = False
        self.flush()
        if self._lines:
            self._is_flushing = True
            self._clock.callLater(FLUSH_SECONDS, self._flush_later)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._lines:
            data = self._next_piece()
            try:
                written = self._write(self._descriptor, data)
            except OSError as error:
                if error.errno not in (errno.EAGAIN, errno.EINTR):
                    self._lines.clear()  # nobody will ever read them
                    self._bytes = 0
                    return
                written = 0
            self._bytes -= written
            if written < len(data):
                self._lines.appendleft(data[written:])
                return

    def _next_piece(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        return b"".join(parts)

    def take_dropped(self) -> tuple[int, int]:
        """Give how many routine and other lines were dropped since the last time."""
        dropped = (self.dropped_routine, self.dropped_others)
        self.dropped_routine = self.dropped_others = 0
        return dropped
