"""One run of a daemon: waits for its settings, then runs its process."""

import sys
import traceback
from typing import Any

from notcharch.events.event import emit
from notcharch.events.output import LogOutput
from notcharch.events.process import SettingsAwaited, SettingsRead
from notcharch.platform.awaited_settings import AwaitedSettings
from notcharch.platform.process import Process
from notcharch.platform.settings import ProcessSettings, read_settings_file
from notcharch.settings.mechanisms import Mechanism
from notcharch.settings.settled_file import TextRead

DEFECT_STATUS = 1
"""Exit status after an exception in the construction of the process."""


class DaemonRun:
    """Creates the process once there are settings, and passes signals on to it."""

    def __init__(
        self,
        reactor: Any,
        output: LogOutput,
        metrics_port: int | None,
        mechanisms: frozenset[Mechanism],
    ) -> None:
        """Prepare a run whose log lines go to `output`."""
        self._reactor = reactor
        self._output = output
        self._metrics_port = metrics_port
        self._mechanisms = mechanisms
        self._settings = AwaitedSettings(
            reactor, read_settings_file, self._on_findings, self._on_settings
        )
        self._process: Process | None = None
        self._is_stopped = False
        self._own_status = 0

    @property
    def exit_status(self) -> int:
        """Exit status of the process after the reactor has stopped."""
        if self._process is None:
            return self._own_status
        return self._own_status or self._process.exit_status

    def start(self, earlier: TextRead | None) -> None:
        """Read the settings; at once if they are the same as in an `earlier` reading."""
        if not self._is_stopped:
            self._settings.start(earlier)

    def on_stop_signal(self) -> None:
        """Drain the process; without one, end at once."""
        if self._process is not None:
            self._process.on_stop_signal()
        else:
            self._stop()

    def on_reload_signal(self) -> None:
        """Read the settings file now."""
        if self._process is not None:
            self._process.on_reload_signal()
        elif not self._is_stopped:
            self._settings.read_now()

    def _on_findings(self, findings: list[str], attempts: int) -> None:
        emit(SettingsAwaited(findings, attempts))

    def _on_settings(self, settings: ProcessSettings) -> None:
        emit(SettingsRead(settings.machine, [], is_changed=False))
        try:
            self._process = self._new_process(settings)
        except Exception as error:
            sys.stderr.write(f"the process can't be created: {error!r}\n")
            traceback.print_exc()
            self._own_status = DEFECT_STATUS
            self._stop()
            return
        self._process.start()

    def _new_process(self, settings: ProcessSettings) -> Process:
        return Process(
            settings,
            self._reactor,
            self._metrics_port,
            self._mechanisms,
            self._output,
        )

    def _stop(self) -> None:
        if self._is_stopped:
            return
        self._is_stopped = True
        self._settings.stop()
        self._output.flush()
        self._reactor.stop()
