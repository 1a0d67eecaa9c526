"""Faults of starts: held ports, overlapping processes, early signals, late settings."""

import enum
from functools import partial

from deploy.soak.daemon_faults import DaemonFaults
from deploy.soak.daemons import SoakDaemon
from deploy.soak.fault_targets import FaultKinds, FaultTargets, Strike
from deploy.soak.ports import HoldKind
from deploy.soak.settings_file import LEAST_SECONDS, MOST_SECONDS, SettingsFault

LEAST_HOLD_SECONDS, MOST_HOLD_SECONDS = 0.3, 4.0
MOST_HEAD_START_SECONDS = 0.5
"""A port may be held for so long before the daemon starts."""
MOST_OVERLAP_DELAY_SECONDS = 2.0
"""Between SIGTERM and the start of the next process."""
EARLY_SECONDS = 0.1
"""Signals after a start come within this time."""


class EarlySignal(enum.Enum):
    """A signal just after a start."""

    RELOAD = "HUP"
    STOP = "TERM"
    PAUSE = "STOP"
    RESUME = "CONT"


SERIES = (
    (EarlySignal.RELOAD,),
    (EarlySignal.RELOAD, EarlySignal.RELOAD, EarlySignal.RELOAD),
    (EarlySignal.STOP,),
    (EarlySignal.RELOAD, EarlySignal.STOP),
    (EarlySignal.STOP, EarlySignal.RELOAD, EarlySignal.STOP),
)
PAUSED_SERIES = (
    (EarlySignal.PAUSE, EarlySignal.RESUME),
    (EarlySignal.PAUSE, EarlySignal.RELOAD, EarlySignal.RESUME),
)
"""Series that no planned work has."""


class StartFaults(FaultKinds):
    """Faults of the first moments of a process."""

    def __init__(self, targets: FaultTargets, daemons: DaemonFaults) -> None:
        """Restart daemons by `daemons`."""
        super().__init__(targets)
        self._daemons = daemons

    @property
    def planned(self) -> tuple[Strike, ...]:
        """What may go along with planned work."""
        return (
            self.restart_on_taken_ports,
            self.restart_several_on_taken_ports,
            self.start_beside_the_former,
            self.signal_early,
            self.start_with_late_settings,
            self.reload_late_settings,
        )

    def _restart(self, daemon: SoakDaemon) -> str:
        """End a daemon; give how."""
        is_planned = self._daemons.draw_planned()
        self._daemons.end(daemon, is_planned=is_planned)
        return "stop" if is_planned else "kill"

    # Ports

    def restart_on_taken_ports(self) -> str:
        """Hold ports of a daemon from its end on, beyond its next start."""
        return self._restart_on_taken_ports(self._daemons.some(0.0))

    def restart_several_on_taken_ports(self) -> str:
        """Hold ports of several daemons that end at once."""
        return self._restart_on_taken_ports(self._daemons.draw_several())

    def _restart_on_taken_ports(self, struck: list[SoakDaemon]) -> str:
        said = []
        for daemon in struck:
            why_not = self._daemons.why_not(daemon)
            if why_not is not None:
                said.append(why_not)
                continue
            ports = self._draw_ports(daemon)
            kind = self._random.choice(list(HoldKind))
            how = self._restart(daemon)
            start = partial(self._start_on_taken_ports, daemon, ports, kind)
            self._daemons.after_end(daemon, start)
            said.append(f"{how} {daemon.name}, {kind.value} sockets at {ports}")
        return "; ".join(said)

    def _draw_ports(self, daemon: SoakDaemon) -> list[int]:
        """Draw one port of a daemon, several, the range of its peers, or all."""
        ports = daemon.all_ports
        some = self._random.sample(ports, self._random.randint(1, len(ports)))
        return self._random.choice(
            ([self._random.choice(ports)], some, daemon.peers, ports)
        )

    def _start_on_taken_ports(
        self, daemon: SoakDaemon, ports: list[int], kind: HoldKind
    ) -> None:
        for port in ports:
            held = daemon.hold(port, kind)
            if held is not None:
                self._later(
                    LEAST_HOLD_SECONDS, MOST_HOLD_SECONDS, partial(daemon.release, held)
                )
        self._later(0.0, MOST_HEAD_START_SECONDS, daemon.start)

    # The former process

    def start_beside_the_former(self) -> str:
        """Start the next process of a daemon while the former one drains."""
        [daemon] = self._daemons.some(0.0)
        why_not = self._daemons.why_not(daemon)
        if why_not is not None:
            return why_not
        self._daemons.end(daemon, is_planned=True)
        seconds = self._later(0.0, MOST_OVERLAP_DELAY_SECONDS, daemon.start_next)
        return f"stop {daemon.name}, and start it after {seconds:.2f} s"

    # Signals

    def signal_early(self) -> str:
        """Restart a daemon, and send it signals within its first moments."""
        [daemon] = self._daemons.some(0.0)
        why_not = self._daemons.why_not(daemon)
        if why_not is not None:
            return why_not
        is_planned = self._targets.is_planned_only
        series = self._random.choice(SERIES if is_planned else SERIES + PAUSED_SERIES)
        times = sorted(self._random.uniform(0.0, EARLY_SECONDS) for _ in series)
        how = self._restart(daemon)
        self._daemons.after_end(
            daemon, lambda: self._start_and_signal(daemon, series, times)
        )
        signals = ", ".join(
            f"{signal.value} at {at * 1000:.0f} ms"
            for signal, at in zip(series, times, strict=True)
        )
        return f"{how} {daemon.name}, then {signals}"

    def _start_and_signal(
        self, daemon: SoakDaemon, series: tuple[EarlySignal, ...], times: list[float]
    ) -> None:
        daemon.start()
        for signal, at in zip(series, times, strict=True):
            self._targets.reactor.callLater(at, self._send, daemon, signal)

    def _send(self, daemon: SoakDaemon, signal: EarlySignal) -> None:
        if signal is EarlySignal.RELOAD:
            daemon.reload()
        elif signal is EarlySignal.STOP:
            daemon.terminate()
            self._daemons.note_outage(daemon, loses_memory=True)
            self._daemons.after_end(daemon, daemon.start)
        elif signal is EarlySignal.PAUSE:
            daemon.pause()
            self._daemons.note_outage(daemon, loses_memory=False)
        else:
            daemon.resume()

    # Settings

    def start_with_late_settings(self) -> str:
        """Restart a daemon whose settings are finished after its start."""
        [daemon] = self._daemons.some(0.0)
        why_not = self._daemons.why_not(daemon)
        if why_not is not None:
            return why_not
        fault = self._random.choice(list(SettingsFault))
        how = self._restart(daemon)

        def start() -> None:
            self._spoil(daemon, fault)
            daemon.start()

        self._daemons.after_end(daemon, start)
        return f"{how} {daemon.name}, its settings {fault.value} at the start"

    def reload_late_settings(self) -> str:
        """Tell a daemon to reload settings that are not finished."""
        [daemon] = self._daemons.some(0.0)
        fault = self._random.choice(list(SettingsFault))
        seconds = self._spoil(daemon, fault)
        daemon.reload()
        return f"reload {daemon.name}, its settings {fault.value} for {seconds:.2f} s"

    def _spoil(self, daemon: SoakDaemon, fault: SettingsFault) -> float:
        seconds = self._random.uniform(LEAST_SECONDS, MOST_SECONDS)
        daemon.spoil_settings(fault, self._random, seconds)
        return self._later(seconds, seconds, daemon.settings.write_whole)
