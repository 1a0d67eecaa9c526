"""Reads a changed file once it is no longer being written.

Nothing in the file says where it ends, so a part of it may look like a whole one: with a
line cut short, or without its last lines.
"""

from collections.abc import Callable

from result import Ok, Result
from twisted.internet.interfaces import IDelayedCall, IReactorTime

SETTLE_SECONDS = 0.1
"""The file has to stay the same for this time."""
MAX_READS = 10
"""Reads after which a file is taken as it is, also if its last line has no end."""

TextRead = Result[str, list[str]]
"""The text of a file, or why it can't be read."""


class SettledFile:
    """One reading at a time; a newer one takes the place of the one under way."""

    def __init__(
        self,
        clock: IReactorTime,
        read: Callable[[], TextRead],
        then: Callable[[TextRead], None],
    ) -> None:
        """Get the text of the file by `read`; `then` gets that of a settled one."""
        self._clock = clock
        self._read = read
        self._then = then
        self._timer: IDelayedCall | None = None
        self._text: TextRead = Ok("")
        self._reads = 0

    def start(self) -> None:
        """Begin to read the file."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._text = self._read()
        self._reads = 1
        self._wait()

    def _wait(self) -> None:
        self._timer = self._clock.callLater(SETTLE_SECONDS, self._read_again)

    def _read_again(self) -> None:
        text = self._read()
        is_same = text == self._text
        self._text = text
        self._reads += 1
        if self._reads < MAX_READS and not (is_same and _has_last_line(text)):
            self._wait()
        else:
            self._then(text)


def _has_last_line(text: TextRead) -> bool:
    """Return whether the last line of a file is ended."""
    return isinstance(text, Ok) and text.ok_value.endswith("\n")
