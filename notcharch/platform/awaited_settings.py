"""Reads the settings file until it holds valid settings."""

from collections.abc import Callable

from result import Err
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.platform.settings import ProcessSettings, read_settings
from notcharch.settings.settled_file import SettledFile, TextRead

MIN_RETRY_SECONDS = 0.1
"""Delay until the file is read again after findings; each later delay is twice as long."""
MAX_RETRY_SECONDS = 1.0


class AwaitedSettings:
    """Reports the findings of an invalid file, and reads it again until it is valid."""

    def __init__(
        self,
        clock: IReactorTime,
        read: Callable[[], TextRead],
        on_findings: Callable[[list[str], int], None],
        on_settings: Callable[[ProcessSettings], None],
    ) -> None:
        """Get the text of the file by `read`.

        `on_findings` gets each new list of findings and the number of readings so far,
        `on_settings` the valid settings.
        """
        self._clock = clock
        self._file = SettledFile(clock, read, self._settled)
        self._on_findings = on_findings
        self._on_settings = on_settings
        self._timer: IDelayedCall | None = None
        self._delay = MIN_RETRY_SECONDS
        self._findings: list[str] = []
        self._attempts = 0
        self._last: TextRead | None = None

    def start(self, earlier: TextRead | None = None) -> None:
        """Read the file now, and again until it is valid.

        If it is the same as in the `earlier` reading, it is taken at once.
        """
        self._findings = []
        self._attempts = 0
        self.read_now(earlier)

    def read_now(self, earlier: TextRead | None = None) -> None:
        """Read the file now; findings that were reported are not reported again."""
        self._cancel_retry()
        self._delay = MIN_RETRY_SECONDS
        self._file.start(earlier)

    def stop(self) -> None:
        """Read the file no more."""
        self._cancel_retry()
        self._file.stop()

    def _cancel_retry(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _read_again(self) -> None:
        self._file.start(self._last)

    def _settled(self, text: TextRead) -> None:
        self._attempts += 1
        self._last = text
        loaded = text.and_then(read_settings)
        if not isinstance(loaded, Err):
            self._on_settings(loaded.ok_value)
            return
        self._timer = self._clock.callLater(self._delay, self._read_again)
        self._delay = min(self._delay * 2, MAX_RETRY_SECONDS)
        if loaded.err_value != self._findings:
            self._findings = loaded.err_value
            self._on_findings(self._findings, self._attempts)
