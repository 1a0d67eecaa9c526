"""Reads a changed file once it is no longer being written.

Nothing in the file says where it ends, so a part of it may look like a whole one: with a
line cut short, or without its last lines.
"""

from collections.abc import Callable

from result import Err, Ok, Result
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

    def start(self, earlier: TextRead | None = None) -> None:
        """Begin to read the file.

        `earlier` is what a reading at least `SETTLE_SECONDS` ago gave. If the file is
        the same and looks whole, it is taken at once.
        """
        if not self._is_reading():
            self._reads = 0
        elif self._reads >= MAX_READS:
            # Requests that come more often than `SETTLE_SECONDS` would otherwise
            # postpone the end of the reading for as long as they come.
            return
        self.stop()
        self._text = self._read_once()
        if self._text == earlier and _looks_whole(self._text):
            self._then(self._text)
        else:
            self._wait()

    def stop(self) -> None:
        """End the reading under way."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _is_reading(self) -> bool:
        return self._timer is not None and self._timer.active()

    def _wait(self) -> None:
        self._timer = self._clock.callLater(SETTLE_SECONDS, self._read_again)

    def _read_once(self) -> TextRead:
        self._reads += 1
        try:
            return self._read()
        except Exception as error:
            # An exception would end the reading, and with it that of a later change.
            return Err([f"the settings can't be read: {error!r}"])

    def _read_again(self) -> None:
        text = self._read_once()
        is_same = text == self._text
        self._text = text
        if self._reads < MAX_READS and not (is_same and _looks_whole(text)):
            self._wait()
        else:
            self._then(text)


def _looks_whole(text: TextRead) -> bool:
    """Return whether nothing shows that the file is still being written."""
    return isinstance(text, Err) or not text.ok_value or text.ok_value.endswith("\n")
